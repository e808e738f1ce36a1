#include "controller/round_interval.h"

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::controller {
namespace {

// Rounds that something new calls for come at least this part of the reaction time apart...
constexpr double kRoundGap = 1.0 / 12;
// ...and leave this many times their own length to everything else.
constexpr double kRoundRest = 5;

}  // namespace

double RoundGapS(const config::Settings& settings, const config::OperatorOptions& operators,
                 double round_took_s) {
  const double least = kRoundGap * config::ReactionTimeS(settings, operators);
  return std::clamp(kRoundRest * round_took_s, least, std::max(operators.round_s, least));
}

}  // namespace hallpier::controller
