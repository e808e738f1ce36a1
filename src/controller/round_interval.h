// How far apart rounds of mapping are.
#pragma once

#include "config/operator_options.h"
#include "config/settings.h"

namespace hallpier::controller {

// Seconds from the end of a round to the next, if something new calls for one. `round_took_s`: how
// long the last one took to plan.
double RoundGapS(const config::Settings& settings, const config::OperatorOptions& operators,
                 double round_took_s);

}  // namespace hallpier::controller
