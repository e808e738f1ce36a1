// The upgrade, with both versions at work on the same data: what the new one writes beside the old
// one, what it does with the old one's records, and when newer forms begin.
#include "end_to_end.h"
#include "model/job.h"
#include "model/key_value.h"
#include "model/task.h"
#include "store/packed_task_group.h"
#include "wire/json.h"

namespace hallpier {
namespace {

using namespace testing_support;

bool HasOnly(const wire::JsonValue& object, const std::set<std::string>& names) {
  for (const auto& m : object.GetObject()) {
    if (!names.contains(m.name.GetString())) return false;
  }
  return true;
}

// Whether the version before pipelines reads a record whole and writes it back unharmed: no field
// that it does not know, no form that it can't read. Marks lie under a name that it passes over.
bool OldVersionKeeps(const std::string& key, const std::string& value) {
  auto d = wire::ParseObject(value);
  if (!d) return false;
  auto under = [&](const char* prefix) { return key.starts_with(prefix); };
  if (under("hallpier/a/node/")) return true;
  if (key == "hallpier/a/leader") return HasOnly(*d, {"node", "permit"});
  if (key == "hallpier/a/block/0") return HasOnly(*d, {"holder"});
  if (key == "hallpier/a/flavors") return HasOnly(*d, {"flavors"});
  if (under("hallpier/f/")) return HasOnly(*d, {"phase", "done"});
  if (under("hallpier/a/t/")) {
    return HasOnly(*d, {"done", "on", "runs"}) && (*d)["on"].IsObject() &&
           key.find('.') == std::string::npos;
  }
  if (!under("hallpier/a/j/") || !HasOnly(*d, {"spec", "at", "cancelled"})) return false;
  return HasOnly((*d)["spec"], {"id",       "lane",    "tenant",         "shape",     "urgency",
                                "pieces",   "vcpus",   "cards",          "memGb",     "bundle",
                                "sizeGb",   "flavors", "hall",           "oneZone",   "spread",
                                "lendable", "expectS", "snapshotEveryS", "snapshotS", "dueS"});
}

TEST(OldVersion, WouldLoseWhatIsWrittenTooEarly) {
  const std::string job = store::JobKey("run-1"), group = store::TaskGroupKey("run-1", 0);
  store::JobRecord record;
  record.spec = Spec("run-1", 4);
  EXPECT_TRUE(OldVersionKeeps(job, store::WriteJob(record)));
  record.tasks_per_group = 9;
  EXPECT_FALSE(OldVersionKeeps(job, store::WriteJob(record)));
  record.tasks_per_group = 0;
  record.spec.dependencies = {"run-2"};
  EXPECT_FALSE(OldVersionKeeps(job, store::WriteJob(record)));
  EXPECT_TRUE(OldVersionKeeps(group, store::WriteTaskGroup({})));
  EXPECT_FALSE(OldVersionKeeps(group, store::WritePackedTaskGroup({}, 0, 4)));
  EXPECT_FALSE(
      OldVersionKeeps(store::FinalKey("run-1"), store::WriteFinal({model::JobPhase::kDone, 4, 1})));
}

class UpgradeTest : public EndToEnd {
 public:
  // Everything that is written is looked at, until the formats may change.
  void WatchWrites() {
    state_->Watch([this](const std::string& key, const std::string& value) {
      if (key == store::FormatKey()) changed_ = true;
      if (value.empty()) return;
      if (!changed_ && !OldVersionKeeps(key, value)) too_early_.push_back(key + " " + value);
      if (changed_ && value.find("\"of\":") != std::string::npos) ++packed_;
      if (changed_ && key.starts_with("hallpier/f/") && value.find("\"at\"") != std::string::npos) {
        ++timed_;
      }
    });
  }

  // As a node of the old version takes the lead; the lease, 0 if it can't.
  async::Task<uint64_t> OldNodeLeads(std::string node) {
    auto lease_id = co_await state_client_.GrantLease(60);
    EXPECT_TRUE(lease_id.ok());
    std::vector<model::Precondition> preconditions = {{store::LeaderKey(), 0}};
    std::vector<model::KeyWrite> writes = {
        {store::LeaderKey(),
         R"({"node":")" + node + R"(","permit":)" + std::to_string(lease_id.value) + "}",
         lease_id.value},
        {store::FencingTokenKey(), R"({"holder":")" + node + R"("})", 0}};
    auto r = co_await state_client_.Commit(std::move(preconditions), std::move(writes));
    co_return r.ok() ? lease_id.value : 0;
  }

  static std::string OldJob(const std::string& id, int tasks) {
    return R"({"spec":{"id":")" + id +
           R"(","lane":"lane","tenant":"team","shape":"array","urgency":"normal","pieces":)" +
           std::to_string(tasks) +
           R"(,"vcpus":1.0,"cards":0.0,"memGb":1.0,"bundle":"img","sizeGb":0.0,"oneZone":false,)"
           R"("spread":false,"lendable":true,"expectS":10.0,"snapshotEveryS":0.0,)"
           R"("snapshotS":0.0},"at":1764633600.25})";
  }

  // Node 0 of three is new. An old node leads, with a job of which some tasks are done and one
  // waits for its third attempt.
  async::Task<> SideBySide() {
    uint64_t lease_id = co_await OldNodeLeads("node-1");
    EXPECT_NE(lease_id, 0U);
    co_await WriteRecord(store::JobKey("run-1"), OldJob("run-1", 400));
    co_await WriteRecord(store::TaskGroupKey("run-1", 0),
                         R"({"done":[0,299],"on":{"":[300,-2]},"runs":{"c4":[300,90.0]}})");
    StartNodes(0, 1, 3);
    bool ok = co_await Until(0, "GET", "/submissions/run-1", "", 200, "pending", 5);
    EXPECT_TRUE(ok);
    wire::HttpResponse r = co_await Ask(0, "POST", "/checkin", Report(1));
    EXPECT_EQ(r.status, 421) << "the old node leads";
    EXPECT_NE(r.body.find("node-1"), std::string::npos);
    // The old one ends; it is followed at once, and its data are worked on in its own forms.
    auto ended = co_await state_client_.RevokeLease(lease_id);
    EXPECT_TRUE(ended.ok());
    ok = co_await Until(0, "POST", "/submissions", Body(Spec("run-2", 700)), 201, "", 10);
    EXPECT_TRUE(ok);
    ok = co_await Until(0, "GET", "/submissions/run-1", "", 200, R"("done","done":400)", 20);
    EXPECT_TRUE(ok);
    EXPECT_EQ(starts_of_["run-1"], 100) << "nothing that was done starts anew";
    r = co_await Ask(0, "POST", "/submissions", Body(Spec("run-3", 3)));
    EXPECT_EQ(r.status, 201);
    r = co_await Ask(0, "POST", "/submissions/run-3/withdraw");
    EXPECT_EQ(r.status, 200);
    // It dies, and comes back when an old one has led and left tasks placed with its own means.
    co_await EndInOrder(0);
    ok = co_await Within(5, [&] { return state_->Value(store::LeaderKey()).empty(); });
    EXPECT_TRUE(ok);
    lease_id = co_await OldNodeLeads("node-2");
    EXPECT_NE(lease_id, 0U);
    co_await WriteRecord(store::JobKey("run-4"), OldJob("run-4", 340));
    co_await WriteRecord(store::TaskGroupKey("run-4", 1),
                         R"({"done":[],"on":{"vm-999999":[335,336,-4]},"runs":{}})");
    StartNodes(0, 1, 3);
    ended = co_await state_client_.RevokeLease(lease_id);
    EXPECT_TRUE(ended.ok());
    ok = co_await Until(0, "GET", "/submissions/run-4", "", 200, R"("done","done":340)", 30);
    EXPECT_TRUE(ok) << "what was on the unknown machine, once its lease is over";
    // The second node is new. One is still old: whatever is written must be good for it.
    StartNodes(1, 2, 3);
    ok = co_await Within(5, [&] { return !state_->Value(store::NodeFormatKey("node-1")).empty(); });
    EXPECT_TRUE(ok);
    co_await Pause(3 * kReport);
    r = co_await Ask(1, "POST", "/submissions", Body(Spec("run-5", 5)));
    EXPECT_EQ(r.status, 201);
    ok = co_await Until(1, "GET", "/submissions/run-5", "", 200, R"("done","done":5)", 20);
    EXPECT_TRUE(ok);
    EXPECT_FALSE(changed_);
    EXPECT_EQ(too_early_, std::vector<std::string>());
    // The last one: the formats change by themselves, and a takeover keeps to that.
    StartNodes(2, 3, 3);
    ok = co_await Within(5, [&] { return changed_; });
    EXPECT_TRUE(ok);
    for (int job = 6; job < 9; ++job) {
      const std::string id = "run-" + std::to_string(job);
      ok = co_await Until(job - 6, "POST", "/submissions", Body(Spec(id, 20)), 201, "", 10);
      EXPECT_TRUE(ok);
      ok = co_await Until(2, "GET", "/submissions/" + id, "", 200, R"("done","done":20)", 20);
      EXPECT_TRUE(ok);
      if (job == 6) co_await EndInOrder(0);
    }
    EXPECT_GT(packed_, 0);
    EXPECT_EQ(timed_, 3);
    EXPECT_EQ(cloud_->duplicate_starts(), 0);
  }

 protected:
  bool changed_ = false;
  std::vector<std::string> too_early_;
  int packed_ = 0;
  int timed_ = 0;
  std::map<std::string, int> starts_of_;
};

// A format that this version can't read is somebody's all the same: it is never written over.
class UnreadableFormat : public EndToEnd {
 public:
  async::Task<> Script() {
    const std::string record = R"({"format":9})";
    co_await WriteRecord(store::FormatKey(), record);
    StartNodes(0, 3, 3);
    bool marked = co_await Within(5, [&] {
      return !state_->Value(store::NodeFormatKey("node-0")).empty() &&
             !state_->Value(store::NodeFormatKey("node-1")).empty() &&
             !state_->Value(store::NodeFormatKey("node-2")).empty();
    });
    EXPECT_TRUE(marked);
    co_await Pause(5 * kReport);
    EXPECT_EQ(state_->Value(store::FormatKey()), record);
  }
};

TEST_F(UnreadableFormat, IsNeverWrittenOver) {
  StartServices(3);
  Run(Script());
}

TEST_F(UpgradeTest, BothVersionsWorkOnTheSameData) {
  StartServices(3);
  WatchWrites();
  cloud_->WatchStarts([this](const model::TaskId& task) { ++starts_of_[task.job]; });
  Run(SideBySide());
}

// The state service's limits go down without notice.
class LoweredLimits : public UpgradeTest {
 public:
  LoweredLimits() { state_next_ = config::StateLimits{2000, 300, 2, 4}; }

  async::Task<> Lowered(int nodes, double large_by) {
    bool ok = co_await Until(0, "POST", "/submissions", Body(Spec("run-1", 900)), 201, "", 10);
    EXPECT_TRUE(ok);
    ok = co_await Until(0, "GET", "/submissions/run-1", "", 200, "running", 10);
    EXPECT_TRUE(ok);
    model::JobSpec listed = Spec("run-2", 2);
    for (int i = 0; i < 150; ++i)
      listed.machine_types.push_back("flavor-" + std::to_string(1000 + i));
    listed.machine_types.emplace_back("c4");
    // Production took it, when a value might still be as large.
    store::JobRecord record;
    record.spec = listed;
    record.submitted_at = 1764633600;
    EXPECT_GT(store::WriteJob(record).size(), 2048U);
    co_await WriteRecord(store::JobKey("run-2"), store::WriteJob(record));
    state_->SetLimits({2048, 4, 300});
    const int before = state_->refused();
    ok = co_await Until(0, "POST", "/submissions/run-2/withdraw", "", 200, "cancelled", 5);
    EXPECT_TRUE(ok) << "however large its record is";
    wire::HttpResponse r = co_await Ask(0, "POST", "/submissions", Body(listed));
    EXPECT_EQ(r.status, 200) << "what was accepted once";
    listed.id = "run-3";
    r = co_await Ask(0, "POST", "/submissions", Body(listed));
    EXPECT_EQ(r.status, 400) << "can never fit";
    ok =
        co_await Until(nodes - 1, "GET", "/submissions/run-1", "", 200, R"("done","done":900)", 60);
    EXPECT_TRUE(ok);
    ok = co_await Until(0, "GET", "/submissions/run-2", "", 200, "cancelled", 5);
    EXPECT_TRUE(ok);
    EXPECT_LE(state_->refused() - before, large_by);
    EXPECT_TRUE(changed_);
    EXPECT_EQ(too_early_, std::vector<std::string>());
  }
};

TEST_F(LoweredLimits, FindNothingTooLargeOnceAllNodesAreNew) {
  StartServices(3);
  WatchWrites();
  StartNodes(0, 3, 3);
  Run(Lowered(3, 3));
}

// One node has never been able to record that it is new. The refusal itself proves it, and what was
// refused is sent in its newer form.
TEST_F(LoweredLimits, ProveThatAllNodesAreNew) {
  StartServices(3);
  WatchWrites();
  StartNodes(0, 2, 3);
  Run(Lowered(2, 8));
}

}  // namespace
}  // namespace hallpier
