// The HTML report: a plot (PLplot) and a table for each experiment, put together from a template
// (ctemplate).
#pragma once

#include <string>
#include <vector>

#include "experiment.h"

namespace hallpier::report {

struct Page {
  std::string title;
  std::string introduction;
  std::vector<Experiment> experiments;
  std::string template_file;
};

// One line for each point, on the console.
void Print(const Experiment& experiment);
// Writes DIR/NAME.svg. An experiment has three series at the most.
void DrawPlot(const Experiment& experiment, const std::string& folder);
// Writes DIR/index.html from the template; false if that can't be read.
bool WritePage(const Page& contents, const std::string& folder);

// The command line of a tool that writes a report: its exit status. `measure` gets the effort asked
// for.
using Measure = std::vector<Experiment> (*)(const Effort& effort);
int RunReport(int argc, char** argv, const std::string& title, const std::string& introduction,
              Measure measure);

}  // namespace hallpier::report
