// Writes the HTML report: a plot (PLplot) and a table for each experiment, laid out by a template
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

// Prints one line for each point to standard output.
void Print(const Experiment& experiment);
// Writes `folder`/NAME.svg, where NAME is the name of the experiment. Supports up to three series.
void DrawPlot(const Experiment& experiment, const std::string& folder);
// Writes `folder`/index.html from the template. Returns false if the template cannot be read or the
// file cannot be written.
bool WritePage(const Page& contents, const std::string& folder);

// Runs a report tool: parses its command line, calls `measure` with the requested runs and seed,
// and writes the report. Returns the exit status.
using Measure = std::vector<Experiment> (*)(const RunOptions& run_options);
int RunReport(int argc, char** argv, const std::string& title, const std::string& introduction,
              Measure measure);

}  // namespace hallpier::report
