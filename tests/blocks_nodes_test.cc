// Team limits on whole nodes against fakes, with blocks on: several controllers place at the
// same time, and some of them end, are cut off or are of an older version.
#include <algorithm>

#include "blocks/block_assignment.h"
#include "end_to_end.h"
#include "model/task.h"
#include "quota/allocation_record.h"

namespace hallpier {
namespace {

using namespace testing_support;

class BlocksNodesTest : public EndToEnd {
 public:
  static constexpr int kLimit = 12;

  BlocksNodesTest() {
    operators_.membership.enabled = true;
    operators_.blocks.enabled = true;
    cpus_max_ = kLimit;
    run_s_ = 0.4;
  }

  void StartWithRecorder(int count) {
    StartServices(count);
    Record();
    StartNodes(0, count, count);
  }
  // Reads only what the fake workers run; each task takes one processor.
  void Record() {
    cloud_->WatchStarts([this](const model::TaskId& /*task*/) {
      peak_ = std::max(peak_, cloud_->RunningWithPrefix("run-") + 1);
    });
    state_->Watch([this](const std::string& key, const std::string& value) {
      if (key == store::DivisionKey()) ++divisions_;
      if (store::IsKeyOfKind<store::ShareKeyName>(key) && !value.empty()) ++lendings_;
    });
  }
  blocks::BlockAssignmentRecord Division() const {
    return blocks::ReadBlockAssignment(state_->Value(store::DivisionKey()))
        .value_or(blocks::BlockAssignmentRecord());
  }
  bool Holds(int node) const {
    const auto record = Division();
    return std::any_of(record.owners.begin(), record.owners.end(), [&](const auto& holder) {
      return holder.node == "node-" + std::to_string(node);
    });
  }
  async::Task<bool> Divided(size_t holders) {
    bool ok = co_await Within(10, [&] { return Division().owners.size() == holders; });
    EXPECT_TRUE(ok) << state_->Value(store::DivisionKey());
    co_return ok;
  }
  static std::string Name(int i) { return "run-" + std::to_string(100 + i); }
  async::Task<> SubmitAll(int jobs, uint32_t tasks, int nodes) {
    for (int i = 0; i < jobs; ++i) {
      bool ok = co_await Until(i % nodes, "POST", "/submissions", Body(Spec(Name(i), tasks)), 201,
                               "", 10);
      EXPECT_TRUE(ok);
    }
  }
  async::Task<> AllDone(int jobs, int node, double limit_s) {
    for (int i = 0; i < jobs; ++i) {
      bool ok = co_await Until(node, "GET", "/submissions/" + Name(i), "", 200, R"("phase":"done")",
                               limit_s);
      EXPECT_TRUE(ok) << Name(i);
    }
  }
  int Leader() const {
    auto record = store::ReadLeader(state_->Value(store::LeaderKey()));
    return record ? record->node.back() - '0' : -1;
  }

  async::Task<> ManySubmissions() {
    co_await Divided(3);
    co_await SubmitAll(30, 4, 3);
    co_await AllDone(30, 0, 40);
    EXPECT_LE(peak_, kLimit);
    EXPECT_GE(peak_, kLimit - 1) << "the limit is used";
    EXPECT_GT(lendings_, 2);
  }

  async::Task<> AHolderAndThenTheLeaderEnd() {
    co_await Divided(3);
    co_await SubmitAll(20, 4, 3);
    const int leader = Leader();
    const int other = (leader + 1) % 3;
    End(other);
    co_await Divided(2);
    EXPECT_FALSE(Holds(other));
    StartNodes(other, other + 1, 3);
    co_await Divided(3);
    End(leader);
    bool ok =
        co_await Within(10, [&] { return Leader() != leader && Division().owners.size() == 2; });
    EXPECT_TRUE(ok);
    co_await AllDone(20, other, 40);
    EXPECT_LE(peak_, kLimit);
  }

  // A node is put back to a version, or to settings, without blocks, and then forward again.
  async::Task<> OneGoesBackAndForth() {
    co_await Divided(3);
    co_await SubmitAll(10, 4, 3);
    const int other = (Leader() + 1) % 3;
    co_await EndInOrder(other);
    operators_.blocks.enabled = false;
    StartNodes(other, other + 1, 3);
    co_await Divided(0);
    co_await AllDone(10, other, 40);
    co_await EndInOrder(other);
    operators_.blocks.enabled = true;
    StartNodes(other, other + 1, 3);
    co_await Divided(3);
    EXPECT_LE(peak_, kLimit);
  }

  // Somebody's hand, or a fault, has left records that can't be so.
  async::Task<> RecordsContradict() {
    co_await Divided(3);
    bool ok = co_await Within(5, [&] { return lendings_ >= 3; });
    EXPECT_TRUE(ok);
    const blocks::BlockOwner holder = Division().owners.back();
    quota::AllocationRecord beyond;
    beyond.allocation_epoch = holder.allocation_epoch;
    beyond.allocated["team"].cpus = 10.0 * kLimit;
    co_await WriteRecord(store::ShareKey(holder.node), quota::WriteAllocation(beyond));
    ok = co_await Within(5, [&] {
      const auto share = quota::ReadAllocation(state_->Value(store::ShareKey(holder.node)));
      return share && share->allocated.contains("team") &&
             share->allocated.at("team").cpus <= kLimit;
    });
    EXPECT_TRUE(ok) << state_->Value(store::ShareKey(holder.node));
    co_await WriteRecord(store::DivisionKey(), R"({"odd":1})");
    co_await Divided(3);
    co_await SubmitAll(6, 4, 3);
    co_await AllDone(6, 0, 30);
  }

  async::Task<> Off() {
    co_await SubmitAll(4, 4, 3);
    co_await AllDone(4, 0, 30);
    co_await Pause(5 * kReport);
    EXPECT_EQ(divisions_ + lendings_, 0);
    EXPECT_EQ(store::ReadNodeFormat(state_->Value(store::NodeFormatKey("node-0"))).value_or(0),
              store::kMembershipFormat);
  }

 protected:
  int peak_ = 0;
  int divisions_ = 0;
  int lendings_ = 0;
};

TEST_F(BlocksNodesTest, ThreePlaceAtATimeAndTheLimitHolds) {
  StartWithRecorder(3);
  Run(ManySubmissions());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(BlocksNodesTest, TheBlocksOfAHolderAndOfALeaderThatEndPassOn) {
  StartWithRecorder(3);
  Run(AHolderAndThenTheLeaderEnd());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(BlocksNodesTest, WithANodeThatKnowsNoBlocksNobodyHoldsOne) {
  StartWithRecorder(3);
  Run(OneGoesBackAndForth());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(BlocksNodesTest, RecordsThatContradictEachOtherAreSetRight) {
  StartWithRecorder(3);
  Run(RecordsContradict());
}

TEST_F(BlocksNodesTest, OffNothingOfItIsWritten) {
  operators_.blocks.enabled = false;
  StartWithRecorder(3);
  Run(Off());
}

}  // namespace
}  // namespace hallpier
