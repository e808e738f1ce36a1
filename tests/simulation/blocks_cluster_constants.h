// Constants shared by the source files of BlocksCluster.
#pragma once

namespace hallpier::testing_support {

// Processors per machine.
inline constexpr double kMachineCpus = 4;
// Interval at which a node applies changes and runs its round.
inline constexpr double kTickIntervalS = 0.2;

}  // namespace hallpier::testing_support
