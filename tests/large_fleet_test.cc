// Tests components that have limits with a fleet of 4,000 machines, in simulated time and without
// I/O.
#include "large_fleet.h"

#include <gtest/gtest.h>

#include "fleet/task_outcomes.h"
#include "model/cloud.h"
#include "wire/peer_codec.h"
#include "wire/peer_messages.h"

namespace hallpier {
namespace {

using namespace testing_support;

constexpr size_t kMachines = 4000;

TEST(LargeFleet, TakeoverKeepsAllTasksAndRoundPlacesWork) {
  LargeFleet fleet(kMachines);
  fleet.PutRecords();
  fleet.TakeOver(LargeFleet::kStartTimeS);
  fleet.registry().OnCloudList(fleet.CloudList(), LargeFleet::kStartTimeS,
                               LargeFleet::kStartTimeS + 1);
  EXPECT_EQ(fleet.registry().machines().size(), kMachines);
  EXPECT_TRUE(fleet::CollectTaskTransitions(fleet.registry(), fleet.job_table(),
                                            LargeFleet::kStartTimeS + 1)
                  .empty())
      << "no running task has ended or is requeued";
  const plan::RoundResult plan = fleet.Plan(LargeFleet::kStartTimeS + 1);
  EXPECT_GE(plan.placements.size(), 500U);
  EXPECT_TRUE(plan.preemptions.empty());
  std::map<std::string, size_t> load;
  for (const jobs::TaskTransition& place : plan.placements) ++load[place.machine];
  for (const auto& [machine, tasks] : load)
    EXPECT_LE(tasks, LargeFleet::kCpusPerMachine / 2) << machine;
}

// Guards against restoring terminated machines: a cloud list may be as old as twice its usual lag,
// and still contains machines that were terminated since.
TEST(LargeFleet, DelayedCloudListDoesNotRestoreTerminatedMachines) {
  constexpr size_t kTerminatedMachines = 2 * kMachines;
  LargeFleet fleet(kTerminatedMachines);
  fleet.TakeOver(LargeFleet::kStartTimeS);
  const std::vector<model::CloudMachine> delayed_list = fleet.CloudList();
  for (size_t i = 0; i < kTerminatedMachines; ++i)
    fleet.registry().OnTerminated(LargeFleet::MachineName(i));
  fleet.registry().OnCloudList(delayed_list, LargeFleet::kStartTimeS, LargeFleet::kStartTimeS + 1);
  EXPECT_EQ(fleet.registry().machines().size(), 0U);
}

TEST(LargeFleet, LargestCancellationReportFitsInPeerFrame) {
  wire::CancellationReport report;
  report.complete = true;
  for (size_t i = 0; i < wire::kMaxCancellationsPerFrame; ++i) {
    report.cancelled.push_back({"run-" + std::to_string(100000000 + i), UINT64_MAX});
  }
  EXPECT_LT(wire::WritePeerMessage(report).size(), wire::kMaxPeerFrameBytes);
}

}  // namespace
}  // namespace hallpier
