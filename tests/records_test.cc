// Records in all stored formats: as written by versions without job dependencies, packed, and
// within lowered limits.
#include <gtest/gtest.h>

#include "fixtures.h"
#include "jobs/transaction_builder.h"
#include "model/job.h"
#include "model/machine_type.h"
#include "store/machine_type_pages.h"
#include "store/packed_task_group.h"
#include "wire/base64_digits.h"
#include "wire/cloud_codec.h"
#include "wire/peer_codec.h"
#include "wire/peer_messages.h"

namespace hallpier::store {
namespace {

using namespace testing_support;

// Bytes written by the production version before job dependencies were introduced.
constexpr std::string_view kOldJob =
    R"({"spec":{"id":"run-000412","lane":"train","tenant":"vision","shape":"array",)"
    R"("urgency":"urgent","pieces":16,"vcpus":8.0,"cards":1.0,"memGb":64.5,"bundle":"img-07",)"
    R"("sizeGb":6.2,"flavors":["g8","g9"],"hall":"a","oneZone":true,"spread":false,)"
    R"("lendable":true,"expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0},)"
    R"("at":1764633600.25})";
constexpr std::string_view kOldGroup =
    R"({"done":[0,1,4,4],"on":{"":[5,-3],"vm-000231":[2,3,-2]},"runs":{"g8":[3,61.5]}})";

std::string Hex(std::string_view bytes) {
  std::string out;
  char digits[3];
  for (unsigned char c : bytes) {
    std::snprintf(digits, sizeof(digits), "%02x", c);
    out += digits;
  }
  return out;
}

// Guards against writing newer formats while a node of the old production version runs. That
// version drops unknown fields when it cancels a job, and rejects longer frames. So until every
// node is new, all bytes written must equal those that the old version writes.
TEST(OldFormat, RecordsAreWrittenByteForByte) {
  auto job = ReadJob(kOldJob);
  ASSERT_TRUE(job);
  EXPECT_EQ(WriteJob(*job), kOldJob);
  const std::string cancelled =
      std::string(kOldJob.substr(0, kOldJob.size() - 1)) + R"(,"cancelled":true})";
  EXPECT_EQ(WriteCancelledJob(*job, 8192), cancelled);
  auto group = ReadTaskGroup(kOldGroup);
  ASSERT_TRUE(group);
  EXPECT_EQ(WriteTaskGroup(*group), kOldGroup);
  EXPECT_EQ(WriteFinal({model::JobPhase::kDone, 16, 0}), R"({"phase":"done","done":16})");
  EXPECT_EQ(WriteLeader({"hallnode-0", 7}), R"({"node":"hallnode-0","permit":7})");
  EXPECT_EQ(WriteFencingTokenRecord("hallnode-0"), R"({"holder":"hallnode-0"})");
  EXPECT_EQ(TaskGroupKey("run-000412", 3), "hallpier/a/t/run-000412/00003");
  EXPECT_EQ(FinalKey("run-000412"), "hallpier/f/run-000412");
  // A group number stands for a range of tasks. If another version computed a different range,
  // tasks would start twice.
  EXPECT_EQ(TasksPerTextGroup(8), 335U);
  EXPECT_EQ(TasksPerTextGroup(2), 83U);
  EXPECT_EQ(TasksPerTextGroup(64), 2681U);
}

TEST(OldFormat, PeerFramesAreWrittenByteForByte) {
  EXPECT_EQ(Hex(wire::WritePeerMessage(
                wire::PeerStatus{"hallnode-1", model::FencingToken(412), true, true})),
            "010a68616c6c6e6f64652d319c030101");
  wire::RelayRequest request;
  request.id = 9;
  request.request.method = "POST";
  request.request.target = "/txn";
  request.request.body = "{}";
  EXPECT_EQ(Hex(wire::WritePeerMessage(request)), "020904504f5354042f74786e027b7d");
  wire::RelayResponse response;
  response.id = 9;
  response.has_response = true;
  response.response.status = 200;
  response.response.body = R"({"rev":5})";
  EXPECT_EQ(Hex(wire::WritePeerMessage(response)), "030901c801097b22726576223a357d");
}

// The records in the leader's transactions must also equal those of the old version. Other code
// sets the fields of these records.
TEST(OldFormat, TransactionsWriteOldRecordsUntilPackedGroupsAreEnabled) {
  jobs::JobTable job_table(335);
  job_table.Apply(ParseKey(JobKey("run-000412")), std::string(kOldJob));
  job_table.Apply(ParseKey(TaskGroupKey("run-000412", 0)), std::string(kOldGroup));
  jobs::TransactionLimits limits{8, {{"block", 5}}, 8192, 0, false, 1764633700};
  auto build = [&](jobs::TaskTransition::Kind kind, uint32_t index, uint64_t attempt) {
    jobs::TaskTransition transition;
    transition.kind = kind;
    transition.task = {"run-000412", index};
    transition.attempt = attempt;
    transition.machine = "vm-000231";
    return jobs::BuildTransactions(job_table, {transition}, limits,
                                   [](const std::string&) { return 1; });
  };
  EXPECT_EQ(build(jobs::TaskTransition::Kind::kPlace, 5, 4).at(0).writes.at(0).value,
            R"({"done":[0,1,4,4],"on":{"vm-000231":[2,3,-2,5,-4]},"runs":{"g8":[3,61.5]}})");
  TaskGroup last_open;
  for (uint32_t i = 0; i < 15; ++i) last_open.done.Insert(i);
  last_open.open[15] = {1, "vm-000231"};
  job_table.Apply(ParseKey(TaskGroupKey("run-000412", 0)), WriteTaskGroup(last_open));
  EXPECT_EQ(build(jobs::TaskTransition::Kind::kDone, 15, 1).at(0).writes.at(0).value,
            R"({"phase":"done","done":16})");
  limits.packed_groups = true;
  EXPECT_EQ(build(jobs::TaskTransition::Kind::kDone, 15, 1).at(0).writes.at(0).value,
            R"({"phase":"done","done":16,"at":1764633700.0})");
}

TEST(Base64Digits, RoundTripsAndRejectsInvalidText) {
  std::string text;
  for (uint64_t n : {0U, 63U, 64U, 4095U}) wire::PutDigits(text, n, 2);
  std::string_view left = text;
  for (uint64_t n : {0U, 63U, 64U, 4095U}) EXPECT_EQ(wire::TakeDigits(left, 2), n);
  EXPECT_EQ(wire::TakeDigits(left, 1), std::nullopt);
  left = "A*";
  EXPECT_EQ(wire::TakeDigits(left, 2), std::nullopt);
  EXPECT_EQ(wire::DigitsNeeded(63), 1U);
  EXPECT_EQ(wire::DigitsNeeded(64), 2U);
  const std::vector<bool> flags = {true, false, false, true, true, false, true};
  EXPECT_EQ(wire::UnpackFlags(wire::PackFlags(flags), 7), flags);
  EXPECT_FALSE(wire::UnpackFlags(wire::PackFlags(flags), 6)) << "one flag too many";
  EXPECT_FALSE(wire::UnpackFlags("0", 7));
}

TEST(Records, CancelledJobFitsValueLimitForAnyRecord) {
  JobRecord job;
  job.spec = Spec("run-1", 900);
  for (int i = 0; i < 300; ++i) job.spec.machine_types.push_back("flavor-" + std::to_string(i));
  job.spec.image = std::string(200, '\x01');
  job.tasks_per_group = 77;
  ASSERT_GT(WriteJob(job).size(), 4000U);
  const std::string value = WriteCancelledJob(job, 1024);
  EXPECT_LE(value.size(), 1024U);
  auto decoded = ReadJob(value);
  ASSERT_TRUE(decoded);
  EXPECT_TRUE(decoded->cancelled);
  EXPECT_EQ(decoded->tasks_per_group, 77U) << "the layout of its task groups must not change";
  EXPECT_EQ(decoded->spec.tasks, 900U);
  EXPECT_EQ(decoded->spec.team, "team");
}

TEST(Records, LongMachineTypeListsAreSplitIntoPages) {
  std::vector<model::MachineType> machine_types;
  machine_types.reserve(40);
  for (int i = 0; i < 40; ++i)
    machine_types.push_back(MakeMachineType("c" + std::to_string(i), i + 1));
  EXPECT_EQ(WriteMachineTypePages({machine_types[0]}, 2048).at(0),
            wire::WriteMachineTypes({machine_types[0]}));
  const auto pages = WriteMachineTypePages(machine_types, 2048);
  ASSERT_GT(pages.size(), 2U);
  MachineTypePages read;
  for (auto n = static_cast<uint32_t>(pages.size()); n-- > 0;) {
    EXPECT_LE(pages[n].size(), 2048U);
    EXPECT_FALSE(read.AllIfComplete()) << "an incomplete list must not be returned";
    read.Put(n, pages[n]);
  }
  ASSERT_TRUE(read.AllIfComplete());
  EXPECT_EQ(wire::WriteMachineTypes(*read.AllIfComplete()), wire::WriteMachineTypes(machine_types));
  ASSERT_TRUE(IsKeyOfKind<MachineTypesKeyName>(MachineTypesKey(3)));
  EXPECT_EQ(std::get<MachineTypesKeyName>(ParseKey(MachineTypesKey(3))).page, 3U);
}

TEST(Records, AwaitedJobsAndLayoutsRoundTrip) {
  JobRecord job;
  job.spec = Spec("run-3", 4);
  job.spec.dependencies = {"run-1", "run-2"};
  job.tasks_per_group = 388;
  auto decoded = ReadJob(WriteJob(job));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->spec.dependencies, job.spec.dependencies);
  EXPECT_EQ(decoded->tasks_per_group, 388U);
  EXPECT_EQ(ReadFinal(R"({"phase":"done","done":3})")->recorded_at, 0);
  EXPECT_EQ(ReadFinal(WriteFinal({model::JobPhase::kDone, 3, 99.5}))->recorded_at, 99.5);
  const auto format = ReadFormat(R"({"format":2,"group":335,"parts":0})");
  ASSERT_FALSE(format);
  EXPECT_EQ(format.error().field, "parts");
  const auto node_format = ReadNodeFormat("[]");
  ASSERT_FALSE(node_format);
  EXPECT_EQ(node_format.error().reason, "not a JSON object");
}

// An unreadable record is left unchanged. The error names the field so that its cause can be found.
TEST(Records, DecodeErrorsNameField) {
  auto field = [](const auto& result) {
    return result ? std::string("readable") : result.error().field;
  };
  EXPECT_EQ(field(ReadJob("[]")), "");
  EXPECT_EQ(field(ReadJob("{}")), "spec");
  EXPECT_EQ(field(ReadJob(R"({"spec":{}})")), "spec.id");
  const std::string job(kOldJob.substr(0, kOldJob.size() - 1));
  EXPECT_EQ(field(ReadJob(job + R"(,"group":100001})")), "group");
  EXPECT_EQ(field(ReadFinal(R"({"done":1})")), "phase");
  EXPECT_EQ(field(ReadFinal(R"({"phase":"running"})")), "phase");
  EXPECT_EQ(field(ReadLeader(R"({"permit":7})")), "node");
  EXPECT_EQ(field(ReadFormat(R"({"format":2,"parts":1})")), "group");
  EXPECT_EQ(field(ReadNodeFormat("{}")), "format");
  EXPECT_EQ(field(ReadTaskGroup(R"({"done":[1],"on":{}})")), "done");
  EXPECT_EQ(field(ReadTaskGroup(R"({"done":[],"on":{},"runs":{"c4":[1]}})")), "runs");
}

}  // namespace
}  // namespace hallpier::store
