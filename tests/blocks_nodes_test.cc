// Tests team limits with blocks on, with complete controllers on loopback, a fake state service and
// a fake cloud. Several controllers place at the same time, and some of them end, are cut off or
// run an older version.
#include <algorithm>

#include "blocks/block_assignment.h"
#include "end_to_end.h"
#include "model/task.h"
#include "quota/allocation_record.h"

namespace hallpier {
namespace {

using namespace testing_support;

class BlocksNodesTest : public EndToEndTest {
 public:
  static constexpr int kLimit = 12;

  BlocksNodesTest() {
    operator_options_.membership.enabled = true;
    operator_options_.blocks.enabled = true;
    cpus_max_ = kLimit;
    run_s_ = 0.4;
  }

  void StartWithRecorder(int count) {
    StartServices(count);
    RecordPeakAndWrites();
    StartNodes(0, count, count);
  }
  // Measures the peak from the tasks that the fake workers run, not from records. Each task takes
  // one processor.
  void RecordPeakAndWrites() {
    cloud_->SetStartHook([this](const model::TaskId& /*task*/) {
      peak_ = std::max(peak_, cloud_->RunningWithPrefix("run-") + 1);
    });
    state_->SetWriteHook([this](const std::string& key, const std::string& value) {
      if (key == store::BlockAssignmentKey()) ++assignment_writes_;
      if (store::IsKeyOfKind<store::AllocationKeyName>(key) && !value.empty()) ++allocation_writes_;
    });
  }
  blocks::BlockAssignmentRecord CurrentAssignment() const {
    return blocks::ReadBlockAssignment(state_->Value(store::BlockAssignmentKey()))
        .value_or(blocks::BlockAssignmentRecord());
  }
  bool OwnsBlock(int node) const {
    const auto record = CurrentAssignment();
    return std::any_of(record.owners.begin(), record.owners.end(), [&](const auto& owner) {
      return owner.node == "node-" + std::to_string(node);
    });
  }
  async::Task<bool> WaitForBlockOwners(size_t count) {
    bool ok = co_await WaitFor(10, [&] { return CurrentAssignment().owners.size() == count; });
    EXPECT_TRUE(ok) << state_->Value(store::BlockAssignmentKey());
    co_return ok;
  }
  static std::string JobId(int i) { return "run-" + std::to_string(100 + i); }
  async::Task<> SubmitAll(int jobs, uint32_t tasks, int nodes) {
    for (int i = 0; i < jobs; ++i) {
      bool ok = co_await AskUntil(i % nodes, "POST", "/submissions",
                                  SubmissionBody(Spec(JobId(i), tasks)), 201, "", 10);
      EXPECT_TRUE(ok);
    }
  }
  async::Task<> WaitUntilAllDone(int jobs, int node, double limit_s) {
    for (int i = 0; i < jobs; ++i) {
      bool ok = co_await AskUntil(node, "GET", "/submissions/" + JobId(i), "", 200,
                                  R"("phase":"done")", limit_s);
      EXPECT_TRUE(ok) << JobId(i);
    }
  }
  int Leader() const {
    auto record = store::ReadLeader(state_->Value(store::LeaderKey()));
    return record ? record->node.back() - '0' : -1;
  }

  async::Task<> SubmitManyJobs() {
    co_await WaitForBlockOwners(3);
    co_await SubmitAll(30, 4, 3);
    co_await WaitUntilAllDone(30, 0, 40);
    EXPECT_LE(peak_, kLimit);
    EXPECT_GE(peak_, kLimit - 1) << "the limit must be used";
    EXPECT_GT(allocation_writes_, 2);
  }

  async::Task<> ShutDownABlockOwnerAndThenTheLeader() {
    co_await WaitForBlockOwners(3);
    co_await SubmitAll(20, 4, 3);
    const int leader = Leader();
    const int other = (leader + 1) % 3;
    ShutDownNode(other);
    co_await WaitForBlockOwners(2);
    EXPECT_FALSE(OwnsBlock(other));
    StartNodes(other, other + 1, 3);
    co_await WaitForBlockOwners(3);
    ShutDownNode(leader);
    bool ok = co_await WaitFor(
        10, [&] { return Leader() != leader && CurrentAssignment().owners.size() == 2; });
    EXPECT_TRUE(ok);
    co_await WaitUntilAllDone(20, other, 40);
    EXPECT_LE(peak_, kLimit);
  }

  // A node is returned to a version or to settings without blocks, and later upgraded again.
  async::Task<> TurnBlocksOffAndOnOnOneNode() {
    co_await WaitForBlockOwners(3);
    co_await SubmitAll(10, 4, 3);
    const int other = (Leader() + 1) % 3;
    co_await ShutDownAndWait(other);
    operator_options_.blocks.enabled = false;
    StartNodes(other, other + 1, 3);
    co_await WaitForBlockOwners(0);
    co_await WaitUntilAllDone(10, other, 40);
    co_await ShutDownAndWait(other);
    operator_options_.blocks.enabled = true;
    StartNodes(other, other + 1, 3);
    co_await WaitForBlockOwners(3);
    EXPECT_LE(peak_, kLimit);
  }

  // A manual edit or a fault has left an allocation above the limit and an unreadable block
  // assignment.
  async::Task<> WriteContradictoryRecords() {
    co_await WaitForBlockOwners(3);
    bool ok = co_await WaitFor(5, [&] { return allocation_writes_ >= 3; });
    EXPECT_TRUE(ok);
    const blocks::BlockOwner owner = CurrentAssignment().owners.back();
    quota::AllocationRecord excessive;
    excessive.allocation_epoch = owner.allocation_epoch;
    excessive.allocated["team"].cpus = 10.0 * kLimit;
    co_await WriteRecord(store::AllocationKey(owner.node), quota::WriteAllocation(excessive));
    ok = co_await WaitFor(5, [&] {
      const auto allocation =
          quota::ReadAllocation(state_->Value(store::AllocationKey(owner.node)));
      return allocation && allocation->allocated.contains("team") &&
             allocation->allocated.at("team").cpus <= kLimit;
    });
    EXPECT_TRUE(ok) << state_->Value(store::AllocationKey(owner.node));
    co_await WriteRecord(store::BlockAssignmentKey(), R"({"odd":1})");
    co_await WaitForBlockOwners(3);
    co_await SubmitAll(6, 4, 3);
    co_await WaitUntilAllDone(6, 0, 30);
  }

  async::Task<> RunWithBlocksOff() {
    co_await SubmitAll(4, 4, 3);
    co_await WaitUntilAllDone(4, 0, 30);
    co_await Pause(5 * kHeartbeatIntervalS);
    EXPECT_EQ(assignment_writes_ + allocation_writes_, 0);
    EXPECT_EQ(store::ReadNodeFormat(state_->Value(store::NodeFormatKey("node-0"))).value_or(0),
              store::kMembershipFormat);
  }

 protected:
  int peak_ = 0;
  int assignment_writes_ = 0;
  int allocation_writes_ = 0;
};

TEST_F(BlocksNodesTest, ThreeNodesPlaceConcurrentlyWithinTheLimit) {
  StartWithRecorder(3);
  Run(SubmitManyJobs());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(BlocksNodesTest, BlocksPassOnWhenABlockOwnerAndTheLeaderShutDown) {
  StartWithRecorder(3);
  Run(ShutDownABlockOwnerAndThenTheLeader());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(BlocksNodesTest, NoNodeOwnsABlockWhileOneHasBlocksOff) {
  StartWithRecorder(3);
  Run(TurnBlocksOffAndOnOnOneNode());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(BlocksNodesTest, ReplacesContradictoryRecords) {
  StartWithRecorder(3);
  Run(WriteContradictoryRecords());
}

TEST_F(BlocksNodesTest, WritesNoBlockRecordsWhenOff) {
  operator_options_.blocks.enabled = false;
  StartWithRecorder(3);
  Run(RunWithBlocksOff());
}

}  // namespace
}  // namespace hallpier
