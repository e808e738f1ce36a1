// How far apart scheduling rounds are. Does no I/O.
#pragma once

#include "config/operator_options.h"
#include "config/settings.h"

namespace hallpier::controller {

// Seconds from the end of a round to the next, if something new calls for one. `planning_s`: how
// long the last round took to plan, in seconds.
double RoundGapS(const config::Settings& settings, const config::OperatorOptions& operators,
                 double planning_s);

}  // namespace hallpier::controller
