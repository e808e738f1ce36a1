// Computes the gap between scheduling rounds. Does no I/O.
#pragma once

#include "config/operator_options.h"
#include "config/settings.h"

namespace hallpier::controller {

// Returns the minimum seconds from the end of a round to the start of the next requested one.
// `planning_s` is the planning time of the last round in seconds.
double RoundGapS(const config::Settings& settings, const config::OperatorOptions& operator_options,
                 double planning_s);

}  // namespace hallpier::controller
