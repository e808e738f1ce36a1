#include "controller/round_interval.h"

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::controller {
namespace {

// Minimum gap before a requested round, as a fraction of the reaction time.
constexpr double kMinGapRatio = 1.0 / 12;
// Gap as a multiple of the planning time, so that most of the time is left for other work.
constexpr double kGapPlanningRatio = 5;

}  // namespace

double RoundGapS(const config::Settings& settings, const config::OperatorOptions& operator_options,
                 double planning_s) {
  const double min_gap_s = kMinGapRatio * config::ReactionTimeS(settings, operator_options);
  return std::clamp(kGapPlanningRatio * planning_s, min_gap_s,
                    std::max(operator_options.round_s, min_gap_s));
}

}  // namespace hallpier::controller
