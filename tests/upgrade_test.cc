// Upgrades with both versions running on the same data: the records that the new version writes
// next to the old one, its handling of the old version's records, and the start of the newer
// formats.
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

// Returns true if the version without job dependencies can read a record and write it back without
// loss: it knows all fields and the format. It ignores node format records because of their key
// prefix.
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

TEST(OldVersionKeeps, RejectsRecordsInNewerFormats) {
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

class UpgradeTest : public EndToEndTest {
 public:
  // Until the formats change, collects the writes that the old version could not keep. After that,
  // counts the records in newer formats.
  void WatchWrites() {
    state_->SetWriteHook([this](const std::string& key, const std::string& value) {
      if (key == store::FormatKey()) formats_changed_ = true;
      if (value.empty()) return;
      if (!formats_changed_ && !OldVersionKeeps(key, value))
        premature_writes_.push_back(key + " " + value);
      if (formats_changed_ && value.find("\"of\":") != std::string::npos) ++packed_groups_;
      if (formats_changed_ && key.starts_with("hallpier/f/") &&
          value.find("\"at\"") != std::string::npos) {
        ++timed_final_records_;
      }
    });
  }

  // Acquires leadership as a node of the old version does. Returns the lease id, 0 on failure.
  async::Task<uint64_t> AcquireLeadershipAsOldNode(std::string node) {
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

  static std::string OldJobRecord(const std::string& id, int tasks) {
    return R"({"spec":{"id":")" + id +
           R"(","lane":"lane","tenant":"team","shape":"array","urgency":"normal","pieces":)" +
           std::to_string(tasks) +
           R"(,"vcpus":1.0,"cards":0.0,"memGb":1.0,"bundle":"img","sizeGb":0.0,"oneZone":false,)"
           R"("spread":false,"lendable":true,"expectS":10.0,"snapshotEveryS":0.0,)"
           R"("snapshotS":0.0},"at":1764633600.25})";
  }

  // Upgrades three nodes one by one. Node 0 is new. An old node leads, with a job of which some
  // tasks are done and one waits for its third attempt.
  async::Task<> UpgradeNodes() {
    uint64_t lease_id = co_await AcquireLeadershipAsOldNode("node-1");
    EXPECT_NE(lease_id, 0U);
    co_await WriteRecord(store::JobKey("run-1"), OldJobRecord("run-1", 400));
    co_await WriteRecord(store::TaskGroupKey("run-1", 0),
                         R"({"done":[0,299],"on":{"":[300,-2]},"runs":{"c4":[300,90.0]}})");
    StartNodes(0, 1, 3);
    bool ok = co_await AskUntil(0, "GET", "/submissions/run-1", "", 200, "pending", 5);
    EXPECT_TRUE(ok);
    wire::HttpResponse r = co_await Ask(0, "POST", "/checkin", HeartbeatBody(1));
    EXPECT_EQ(r.status, 421) << "the old node leads";
    EXPECT_NE(r.body.find("node-1"), std::string::npos);
    // The old leader ends. The new node takes over at once and keeps the data in the old formats.
    auto ended = co_await state_client_.RevokeLease(lease_id);
    EXPECT_TRUE(ended.ok());
    ok = co_await AskUntil(0, "POST", "/submissions", SubmissionBody(Spec("run-2", 700)), 201, "",
                           10);
    EXPECT_TRUE(ok);
    ok = co_await AskUntil(0, "GET", "/submissions/run-1", "", 200, R"("done","done":400)", 20);
    EXPECT_TRUE(ok);
    EXPECT_EQ(starts_by_job_["run-1"], 100) << "done tasks must not start again";
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(Spec("run-3", 3)));
    EXPECT_EQ(r.status, 201);
    r = co_await Ask(0, "POST", "/submissions/run-3/withdraw");
    EXPECT_EQ(r.status, 200);
    // Node 0 stops. It restarts after an old node has led and left tasks placed in the old format.
    co_await ShutDownAndWait(0);
    ok = co_await WaitFor(5, [&] { return state_->Value(store::LeaderKey()).empty(); });
    EXPECT_TRUE(ok);
    lease_id = co_await AcquireLeadershipAsOldNode("node-2");
    EXPECT_NE(lease_id, 0U);
    co_await WriteRecord(store::JobKey("run-4"), OldJobRecord("run-4", 340));
    co_await WriteRecord(store::TaskGroupKey("run-4", 1),
                         R"({"done":[],"on":{"vm-999999":[335,336,-4]},"runs":{}})");
    StartNodes(0, 1, 3);
    ended = co_await state_client_.RevokeLease(lease_id);
    EXPECT_TRUE(ended.ok());
    ok = co_await AskUntil(0, "GET", "/submissions/run-4", "", 200, R"("done","done":340)", 30);
    EXPECT_TRUE(ok) << "tasks on the unknown machine must run again after its lease expires";
    // The second node is new. One is still old, so all records must stay readable for it.
    StartNodes(1, 2, 3);
    ok =
        co_await WaitFor(5, [&] { return !state_->Value(store::NodeFormatKey("node-1")).empty(); });
    EXPECT_TRUE(ok);
    co_await Pause(3 * kHeartbeatIntervalS);
    r = co_await Ask(1, "POST", "/submissions", SubmissionBody(Spec("run-5", 5)));
    EXPECT_EQ(r.status, 201);
    ok = co_await AskUntil(1, "GET", "/submissions/run-5", "", 200, R"("done","done":5)", 20);
    EXPECT_TRUE(ok);
    EXPECT_FALSE(formats_changed_);
    EXPECT_EQ(premature_writes_, std::vector<std::string>());
    // The last node is new. The formats change automatically, and a new leader keeps the new ones.
    StartNodes(2, 3, 3);
    ok = co_await WaitFor(5, [&] { return formats_changed_; });
    EXPECT_TRUE(ok);
    for (int job = 6; job < 9; ++job) {
      const std::string id = "run-" + std::to_string(job);
      ok = co_await AskUntil(job - 6, "POST", "/submissions", SubmissionBody(Spec(id, 20)), 201, "",
                             10);
      EXPECT_TRUE(ok);
      ok = co_await AskUntil(2, "GET", "/submissions/" + id, "", 200, R"("done","done":20)", 20);
      EXPECT_TRUE(ok);
      if (job == 6) co_await ShutDownAndWait(0);
    }
    EXPECT_GT(packed_groups_, 0);
    EXPECT_EQ(timed_final_records_, 3);
    EXPECT_EQ(cloud_->duplicate_starts(), 0);
  }

 protected:
  bool formats_changed_ = false;
  std::vector<std::string> premature_writes_;
  int packed_groups_ = 0;
  int timed_final_records_ = 0;
  std::map<std::string, int> starts_by_job_;
};

// Guards against overwriting a format record that this version can't read: another version may have
// written it and depend on it.
class UnreadableFormatTest : public EndToEndTest {
 public:
  async::Task<> Script() {
    const std::string record = R"({"format":9})";
    co_await WriteRecord(store::FormatKey(), record);
    StartNodes(0, 3, 3);
    bool node_formats_written = co_await WaitFor(5, [&] {
      return !state_->Value(store::NodeFormatKey("node-0")).empty() &&
             !state_->Value(store::NodeFormatKey("node-1")).empty() &&
             !state_->Value(store::NodeFormatKey("node-2")).empty();
    });
    EXPECT_TRUE(node_formats_written);
    co_await Pause(5 * kHeartbeatIntervalS);
    EXPECT_EQ(state_->Value(store::FormatKey()), record);
  }
};

TEST_F(UnreadableFormatTest, FormatRecordIsNotOverwritten) {
  StartServices(3);
  Run(Script());
}

TEST_F(UpgradeTest, RollingUpgradeChangesFormatsOnceAllNodesAreNew) {
  StartServices(3);
  WatchWrites();
  cloud_->SetStartHook([this](const model::TaskId& task) { ++starts_by_job_[task.job]; });
  Run(UpgradeNodes());
}

// The state service lowers its limits without notice.
class LoweredLimitsTest : public UpgradeTest {
 public:
  LoweredLimitsTest() { next_state_limits_ = config::StateLimits{2000, 300, 2, 4}; }

  async::Task<> LowerLimits(int nodes, double max_refused) {
    bool ok = co_await AskUntil(0, "POST", "/submissions", SubmissionBody(Spec("run-1", 900)), 201,
                                "", 10);
    EXPECT_TRUE(ok);
    ok = co_await AskUntil(0, "GET", "/submissions/run-1", "", 200, "running", 10);
    EXPECT_TRUE(ok);
    model::JobSpec large_spec = Spec("run-2", 2);
    for (int i = 0; i < 150; ++i)
      large_spec.machine_types.push_back("flavor-" + std::to_string(1000 + i));
    large_spec.machine_types.emplace_back("c4");
    // Production accepted this record while the limit was still high enough.
    store::JobRecord record;
    record.spec = large_spec;
    record.submitted_at = 1764633600;
    EXPECT_GT(store::WriteJob(record).size(), 2048U);
    co_await WriteRecord(store::JobKey("run-2"), store::WriteJob(record));
    state_->SetLimits({2048, 4, 300});
    const int refused_before = state_->refused();
    ok = co_await AskUntil(0, "POST", "/submissions/run-2/withdraw", "", 200, "cancelled", 5);
    EXPECT_TRUE(ok) << "the record is larger than the new limit";
    wire::HttpResponse r = co_await Ask(0, "POST", "/submissions", SubmissionBody(large_spec));
    EXPECT_EQ(r.status, 200) << "a repeated submission of an accepted job";
    large_spec.id = "run-3";
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(large_spec));
    EXPECT_EQ(r.status, 400) << "a new job whose record can never fit";
    ok = co_await AskUntil(nodes - 1, "GET", "/submissions/run-1", "", 200, R"("done","done":900)",
                           60);
    EXPECT_TRUE(ok);
    ok = co_await AskUntil(0, "GET", "/submissions/run-2", "", 200, "cancelled", 5);
    EXPECT_TRUE(ok);
    EXPECT_LE(state_->refused() - refused_before, max_refused);
    EXPECT_TRUE(formats_changed_);
    EXPECT_EQ(premature_writes_, std::vector<std::string>());
  }
};

TEST_F(LoweredLimitsTest, JobsFinishWithFewRejectionsOnceAllNodesAreNew) {
  StartServices(3);
  WatchWrites();
  StartNodes(0, 3, 3);
  Run(LowerLimits(3, 3));
}

// One node has never been able to record that it is new. The operators guarantee that the limits
// are not lowered before all nodes are new, so the rejection of a write proves that they are, and
// the rejected writes are sent again in the newer format.
TEST_F(LoweredLimitsTest, RejectionProvesThatAllNodesAreNew) {
  StartServices(3);
  WatchWrites();
  StartNodes(0, 2, 3);
  Run(LowerLimits(2, 8));
}

}  // namespace
}  // namespace hallpier
