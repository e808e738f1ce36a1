#include "controller/round_interval.h"

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::controller {
namespace {

// Rounds that something new calls for come at least this part of the reaction time apart...
constexpr double kMinGap = 1.0 / 12;
// ...and leave this many times their own planning time to everything else.
constexpr double kGapPerPlanning = 5;

}  // namespace

double RoundGapS(const config::Settings& settings, const config::OperatorOptions& operators,
                 double planning_s) {
  const double min_gap_s = kMinGap * config::ReactionTimeS(settings, operators);
  return std::clamp(kGapPerPlanning * planning_s, min_gap_s,
                    std::max(operators.round_s, min_gap_s));
}

}  // namespace hallpier::controller
