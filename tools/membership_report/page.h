// The HTML report: a plot (PLplot) and a table for each experiment, put together from a template
// (ctemplate).
#pragma once

#include <string>
#include <vector>

#include "experiments.h"

namespace hallpier::report {

// Writes DIR/NAME.svg.
void DrawPlot(const Experiment& experiment, const std::string& folder);
// Writes DIR/index.html from the template; false if that can't be read.
bool WritePage(const std::vector<Experiment>& experiments, const Effort& effort,
               const std::string& template_file, const std::string& folder);

}  // namespace hallpier::report
