// What the parts of BlocksCluster share.
#pragma once

namespace hallpier::testing_support {

// Processors of a machine.
inline constexpr double kMachineCpus = 4;
// Seconds between two looks of a node at what there is to do.
inline constexpr double kTickS = 0.2;

}  // namespace hallpier::testing_support
