// Compares everything that is stored, sent or printed with fixed bytes. A refactoring that leaves
// these tests unchanged has not changed a format. Expected values follow docs/state-schema.md and
// the protocol of the interfaces.
//
// The tests name as few types as possible, so that renaming a type changes little here.
#include <gtest/gtest.h>

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "blocks/block_assignment.h"
#include "cli/members_command.h"
#include "membership/member_record.h"
#include "quota/allocation_record.h"
#include "store/keys.h"
#include "store/machine_type_pages.h"
#include "store/packed_task_group.h"
#include "store/records.h"
#include "store/task_group.h"
#include "wire/cloud_codec.h"
#include "wire/frame.h"
#include "wire/http.h"
#include "wire/json.h"
#include "wire/peer_codec.h"
#include "wire/peer_messages.h"
#include "wire/state_codec.h"
#include "wire/user_codec.h"
#include "wire/varint.h"
#include "wire/worker_codec.h"

namespace hallpier {
namespace {

std::string Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (const unsigned char c : bytes) {
    out.push_back(kDigits[c >> 4U]);
    out.push_back(kDigits[c & 15U]);
  }
  return out;
}

// Returns the value of an optional. Fails the test if there is none.
template <class T>
T Checked(std::optional<T> value) {
  EXPECT_TRUE(value.has_value());
  return std::move(value).value_or(T{});
}

template <class T>
T Checked(store::DecodeResult<T> result) {
  return Checked(std::move(result).ToOptional());
}

template <class... E>
std::string NumericValues(E... enumerators) {
  return ((std::to_string(static_cast<int>(enumerators)) + " ") + ...);
}

// Expects that `message` is encoded as `hex`, decoded to the same message and encoded again to the
// same bytes. Spaces in `hex` separate fields.
template <class T>
void ExpectFrame(const T& message, std::string hex) {
  std::erase(hex, ' ');
  const std::string payload = wire::WritePeerMessage(message);
  EXPECT_EQ(Hex(payload), hex);
  const auto decoded = wire::ReadPeerMessage(payload);
  ASSERT_TRUE(decoded.has_value());
  ASSERT_TRUE(std::holds_alternative<T>(*decoded));
  EXPECT_EQ(Hex(wire::WritePeerMessage(*decoded)), hex);
  if constexpr (std::equality_comparable<T>) {
    EXPECT_TRUE(std::get<T>(*decoded) == message);
  }
}

// --- Records -----------------------------------------------------------------------------------

TEST(GoldenRecord, Keys) {
  EXPECT_EQ(store::kActivePrefix, "hallpier/a/");
  EXPECT_EQ(store::LeaderKey(), "hallpier/a/leader");
  EXPECT_EQ(store::FencingTokenKey(), "hallpier/a/block/0");
  EXPECT_EQ(store::MachineTypesKey(), "hallpier/a/flavors");
  EXPECT_EQ(store::MachineTypesKey(2), "hallpier/a/flavors.2");
  EXPECT_EQ(store::FormatKey(), "hallpier/a/format");
  EXPECT_EQ(store::NodeFormatKey("hallnode-0"), "hallpier/a/node/hallnode-0");
  EXPECT_EQ(store::MemberKey("hallnode-0"), "hallpier/a/member/hallnode-0");
  EXPECT_EQ(store::BlockAssignmentKey(), "hallpier/a/division");
  EXPECT_EQ(store::AllocationKey("hallnode-0"), "hallpier/a/share/hallnode-0");
  EXPECT_EQ(store::JobKey("run-000412"), "hallpier/a/j/run-000412");
  EXPECT_EQ(store::TaskGroupKey("run-000412", 3), "hallpier/a/t/run-000412/00003");
  EXPECT_EQ(store::TaskGroupPartKey("run-000412", 3, 12), "hallpier/a/t/run-000412/00003.12");
  EXPECT_EQ(store::FinalKey("run-000412"), "hallpier/f/run-000412");
}

TEST(GoldenRecord, KeysAreParsed) {
  using Key = store::ParsedKey;
  const std::map<std::string, Key> expected = {
      {"a/leader", store::LeaderKeyName{}},
      {"a/block/0", store::FencingTokenKeyName{}},
      {"a/flavors", store::MachineTypesKeyName{0}},
      {"a/flavors.2", store::MachineTypesKeyName{2}},
      {"a/flavors.0", store::UnknownKeyName{}},
      {"a/format", store::FormatKeyName{}},
      {"a/node/n", store::NodeFormatKeyName{"n"}},
      {"a/member/n", store::MemberKeyName{"n"}},
      {"a/division", store::BlockAssignmentKeyName{}},
      {"a/share/n", store::AllocationKeyName{"n"}},
      {"a/j/run-1", store::JobKeyName{"run-1"}},
      {"a/t/run-1/00003", store::TaskGroupKeyName{"run-1", 3, std::nullopt}},
      {"a/t/run-1/00003.12", store::TaskGroupKeyName{"run-1", 3, 12}},
      {"a/t/run-1", store::UnknownKeyName{}},
      {"a/t/run-1/3.x", store::UnknownKeyName{}},
      {"a/what", store::UnknownKeyName{}},
      {"f/run-1", store::FinalKeyName{"run-1"}}};
  for (const auto& [key, name] : expected) {
    EXPECT_TRUE(store::ParseKey("hallpier/" + key) == name) << key;
  }
  EXPECT_TRUE(store::IsKeyOfKind<store::FinalKeyName>("hallpier/f/run-1"));
  EXPECT_EQ(std::get<store::MachineTypesKeyName>(store::ParseKey("hallpier/a/flavors.2")).page, 2U);
  const auto part =
      std::get<store::TaskGroupKeyName>(store::ParseKey("hallpier/a/t/run-1/00003.12"));
  EXPECT_EQ(std::tie(part.job, part.task_group, part.part), std::tuple("run-1", 3U, 12U));
}

TEST(GoldenRecord, Leader) {
  constexpr std::string_view kText = R"({"node":"hallnode-0","permit":7})";
  EXPECT_EQ(store::WriteLeader({.node = "hallnode-0", .lease_id = 7}), kText);
  EXPECT_EQ(store::WriteLeader(Checked(store::ReadLeader(kText))), kText);
}

TEST(GoldenRecord, FencingToken) {
  EXPECT_EQ(store::WriteFencingTokenRecord("hallnode-0"), R"({"holder":"hallnode-0"})");
}

TEST(GoldenRecord, MachineTypes) {
  constexpr std::string_view kMachineTypeG8 =
      R"({"sku":"g8","vcpus":96.0,"cards":8.0,"memGb":768.0,"fetchGbPerS":1.0,"rate":12.0,)"
      R"("marketPrice":4.5,"readyS":45.0,"halls":["a","b"]})";
  constexpr std::string_view kMachineTypeC4 =
      R"({"sku":"c4","vcpus":4.0,"cards":0.0,"memGb":16.5,"fetchGbPerS":0.0,"rate":0.0,)"
      R"("marketPrice":0.0,"readyS":0.0,"halls":[]})";
  const std::string both =
      R"({"flavors":[)" + std::string(kMachineTypeG8) + "," + std::string(kMachineTypeC4) + "]}";
  const auto json = Checked(wire::ParseObject(both));
  const auto machine_types = Checked(wire::ReadMachineTypes(json));
  EXPECT_EQ(wire::WriteMachineTypes(machine_types), both);
  const auto pages = store::WriteMachineTypePages(machine_types, 200);
  ASSERT_EQ(pages.size(), 2U);
  EXPECT_EQ(pages[0], R"({"flavors":[)" + std::string(kMachineTypeG8) + R"(],"pages":2})");
  EXPECT_EQ(pages[1], R"({"flavors":[)" + std::string(kMachineTypeC4) + "]}");
}

TEST(GoldenRecord, NodeFormat) {
  EXPECT_EQ(store::WriteNodeFormat(store::kCancellationReportFormat), R"({"format":3})");
  EXPECT_EQ(store::WriteNodeFormat(store::kMembershipFormat), R"({"format":4})");
  EXPECT_EQ(store::WriteNodeFormat(store::kBlocksFormat), R"({"format":5})");
  EXPECT_EQ(Checked(store::ReadNodeFormat(R"({"format":5})")), 5U);
}

TEST(GoldenRecord, Member) {
  constexpr std::string_view kText =
      R"({"state":"failed","session":3,"refutation":2,"instance":18446744073709551615,)"
      R"("by":"hallnode-0","reason":"silent for 2.1 s"})";
  EXPECT_EQ(
      membership::WriteMember(
          {model::MemberState::kFailed, {3, 2}, ~uint64_t{0}, "hallnode-0", "silent for 2.1 s"}),
      kText);
  EXPECT_EQ(membership::WriteMember(Checked(membership::ReadMember(kText))), kText);
  for (const std::string state : {"alive", "suspect", "failed", "left"}) {
    const std::string text =
        R"({"state":")" + state + R"(","session":1,"refutation":0,"instance":7})";
    EXPECT_EQ(membership::WriteMember(Checked(membership::ReadMember(text))), text);
  }
}

TEST(GoldenRecord, BlockAssignment) {
  constexpr std::string_view kText =
      R"({"token":412,"holders":[{"node":"hallnode-0","session":3,"grant":9},)"
      R"({"node":"hallnode-2","session":1,"grant":10}]})";
  EXPECT_EQ(blocks::WriteBlockAssignment(
                {model::FencingToken(412), {{"hallnode-0", 3, 9}, {"hallnode-2", 1, 10}}}),
            kText);
  EXPECT_EQ(blocks::WriteBlockAssignment(Checked(blocks::ReadBlockAssignment(kText))), kText);
}

TEST(GoldenRecord, QuotaAllocation) {
  constexpr std::string_view kText = R"({"grant":9,"lent":{"ml":[0.5,0.0],"vision":[96.0,8.0]}})";
  EXPECT_EQ(quota::WriteAllocation({9, {{"vision", {96, 8}}, {"none", {0, 0}}, {"ml", {0.5, 0}}}}),
            kText);
  EXPECT_EQ(quota::WriteAllocation(Checked(quota::ReadAllocation(kText))), kText);
}

TEST(GoldenRecord, Format) {
  constexpr std::string_view kText = R"({"format":2,"group":335,"parts":1})";
  EXPECT_EQ(
      store::WriteFormat({.format = store::kRecordFormat,
                          .layout = {.tasks_per_base_group = 335, .parts_per_base_group = 1}}),
      kText);
  EXPECT_EQ(store::WriteFormat(Checked(store::ReadFormat(kText))), kText);
}

TEST(GoldenRecord, JobWithoutOptionalFields) {
  using enum model::Priority;
  for (const auto& [word, priority] : {std::pair{"prod", kProd},
                                       {"urgent", kUrgent},
                                       {"normal", kNormal},
                                       {"best_effort", kBestEffort}}) {
    const std::string text =
        R"({"spec":{"id":"run-1","lane":"serve","tenant":"ml","shape":"standing","urgency":")" +
        std::string(word) +
        R"(","pieces":1,"vcpus":0.5,"cards":0.0,"memGb":2.0,"bundle":"img-01","sizeGb":0.1,)"
        R"("oneZone":false,"spread":true,"lendable":false,"expectS":0.0,"snapshotEveryS":0.0,)"
        R"("snapshotS":0.0},"at":1764633600.25})";
    const auto job = Checked(store::ReadJob(text));
    EXPECT_EQ(job.spec.priority, priority);
    EXPECT_EQ(store::WriteJob(job), text);
  }
}

TEST(GoldenRecord, JobWithAllFields) {
  constexpr std::string_view kText =
      R"({"spec":{"id":"run-000412","lane":"train","tenant":"vision","shape":"array",)"
      R"("urgency":"best_effort","pieces":16,"vcpus":8.0,"cards":1.0,"memGb":64.5,)"
      R"("bundle":"img-07","sizeGb":6.2,"flavors":["g8","g9"],"hall":"a","oneZone":true,)"
      R"("spread":false,"lendable":true,"expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,)"
      R"("dueS":900.0,"awaits":["run-1","run-2"]},"at":1764633600.25,"cancelled":true,"group":335})";
  const auto job = Checked(store::ReadJob(kText));
  EXPECT_EQ(store::WriteJob(job), kText);
  EXPECT_EQ(store::WriteCancelledJob(job, kText.size()), kText);
  // Over the size limit, fields that only matter to a job that may still run are left out.
  EXPECT_EQ(store::WriteCancelledJob(job, kText.size() - 1),
            R"({"spec":{"id":"run-000412","lane":"-","tenant":"vision","shape":"array",)"
            R"("urgency":"best_effort","pieces":16,"vcpus":8.0,"cards":1.0,"memGb":64.5,)"
            R"("bundle":"-","sizeGb":6.2,"oneZone":true,"spread":false,"lendable":true,)"
            R"("expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0},)"
            R"("at":1764633600.25,"cancelled":true,"group":335})");
}

TEST(GoldenRecord, FinalRecord) {
  constexpr std::string_view kText = R"({"phase":"cancelled","done":3,"at":1764633600.5})";
  EXPECT_EQ(store::WriteFinal({.phase = model::JobPhase::kDone, .done = 16}),
            R"({"phase":"done","done":16})");
  EXPECT_EQ(store::WriteFinal(Checked(store::ReadFinal(kText))), kText);
}

// Tasks 0, 1 and 4 are done, task 5 waits after its third attempt, tasks 2 and 3 are on a machine.
constexpr std::string_view kTaskGroup =
    R"({"done":[0,1,4,4],"on":{"":[5,-3],"vm-000231":[2,3,-2]},"runs":{"g8":[3,61.5]}})";

TEST(GoldenRecord, TaskGroupAsText) {
  const auto group = Checked(store::ReadTaskGroup(kTaskGroup));
  EXPECT_EQ(store::WriteTaskGroup(group), kTaskGroup);
  EXPECT_TRUE(group.done.Contains(4));
  EXPECT_EQ(group.open.at(5).attempt, 3U);
  EXPECT_EQ(group.open.at(3).machine, "vm-000231");
  EXPECT_EQ(group.runs.at("g8").count, 3U);
  EXPECT_EQ(store::WriteTaskGroup({}), R"({"done":[],"on":{},"runs":{}})");
}

TEST(GoldenRecord, TaskGroupPacked) {
  const std::string packed =
      R"({"first":0,"of":8,"done":"o0","open":"D0","hosts":[["vm-",6,231,1]],"on":"110",)"
      R"("tries":"123","runs":{"g8":[3,61.5]}})";
  const auto group = Checked(store::ReadTaskGroup(kTaskGroup));
  EXPECT_EQ(store::WritePackedTaskGroup(group, 0, 8), packed);
  EXPECT_EQ(store::WriteTaskGroup(Checked(store::ReadTaskGroup(packed))), kTaskGroup);
  // A group with a task outside the given range is written in the text format instead.
  EXPECT_EQ(store::WritePackedTaskGroup(group, 1, 8), kTaskGroup);
}

TEST(GoldenRecord, TaskGroupPackedWithManyMachinesAndAttempts) {
  constexpr std::string_view kText =
      R"({"done":[340,340],"on":{"gate":[336],"vm-0001":[335,-63],"vm-0100":[338,-64]},"runs":{}})";
  constexpr std::string_view kPacked =
      R"({"first":335,"of":6,"done":"1","open":"q","hosts":[["gate",0,0,1],["vm-",4,1,100]],)"
      R"("on":"02011b","tries":"_1_","many":[335,63,338,64],"runs":{}})";
  EXPECT_EQ(store::WritePackedTaskGroup(Checked(store::ReadTaskGroup(kText)), 335, 6), kPacked);
  EXPECT_EQ(store::WriteTaskGroup(Checked(store::ReadTaskGroup(kPacked))), kText);
}

// The mapping of tasks to groups is part of the format as well.
TEST(GoldenRecord, TaskGroupLayout) {
  EXPECT_EQ(store::TasksPerTextGroup(8), 335U);
  EXPECT_EQ(store::TasksPerPackedGroup(8), 1547U);
  const auto layout = Checked(store::ReadFormat(R"({"format":2,"group":335,"parts":4})")).layout;
  EXPECT_EQ(layout.GroupOf(335 + 84), 5U);
  EXPECT_EQ(layout.FirstTask(5), 419U);
  EXPECT_EQ(layout.EndTask(7), 670U);
}

// --- Messages ----------------------------------------------------------------------------------

TEST(GoldenMessage, Submission) {
  const auto json = Checked(wire::ParseObject(
      R"({"id":"run-000412","lane":"train","tenant":"vision","shape":"array","urgency":"urgent",)"
      R"("pieces":16,"vcpus":8.0,"cards":1.0,"memGb":64.0,"bundle":"img-07","sizeGb":6.2,)"
      R"("flavors":["g8"],"hall":null,"oneZone":true,"spread":false,"lendable":true,)"
      R"("expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0,"awaits":["run-1"]})"));
  const auto spec = wire::ReadJobSpec(json);
  ASSERT_TRUE(spec) << spec.error().field;
  const model::JobSpec& s = *spec;
  EXPECT_EQ(std::tie(s.id, s.job_class, s.team, s.kind, s.priority, s.tasks),
            std::tuple("run-000412", "train", "vision", model::JobKind::kArray,
                       model::Priority::kUrgent, 16U));
  EXPECT_EQ(std::tie(s.cpus, s.gpus, s.memory_gb, s.image, s.image_gb),
            std::tuple(8.0, 1.0, 64.0, "img-07", 6.2));
  EXPECT_EQ(std::tie(s.zone, s.one_zone, s.spread, s.spot), std::tuple("", true, false, true));
  EXPECT_EQ(std::tie(s.estimated_run_s, s.checkpoint_every_s, s.checkpoint_s, s.deadline_s),
            std::tuple(240.0, 30.0, 4.0, 900.0));
  EXPECT_EQ(s.machine_types.at(0) + s.dependencies.at(0), "g8run-1");
}

TEST(GoldenMessage, Status) {
  EXPECT_EQ(wire::WriteJobStatus({"run-000412", model::JobPhase::kRunning, 3, 13}),
            R"({"id":"run-000412","phase":"running","done":3,"running":13})");
  EXPECT_EQ(wire::WriteJobPhase("run-000412", model::JobPhase::kPending),
            R"({"id":"run-000412","phase":"pending"})");
  EXPECT_EQ(wire::JobPhaseName(model::JobPhase::kDone), "done");
  EXPECT_EQ(wire::JobPhaseName(model::JobPhase::kCancelled), "cancelled");
}

TEST(GoldenMessage, Error) {
  EXPECT_EQ(wire::WriteError("no \"such\" job\n"), R"({"error":"no \"such\" job\n"})");
  EXPECT_EQ(wire::WriteError("is not a job id", "id"),
            R"({"error":"is not a job id","field":"id"})");
}

TEST(GoldenMessage, Heartbeat) {
  const auto r = Checked(wire::ReadHeartbeat(
      R"({"host":"vm-000231","endpoint":"10.1.0.232:9000","flavor":"g8","hall":"a",)"
      R"("lendable":true,"tenure":1,"tick":88,"epoch":41,"reclaimS":60.5,)"
      R"("pieces":[{"piece":"run-000412/3","try":2,"phase":"running"},)"
      R"({"piece":"run-000398/0","try":1,"phase":"ended","cause":"stopped","stored":true}]})"));
  EXPECT_EQ(std::tie(r.machine, r.endpoint, r.machine_type, r.zone, r.spot),
            std::tuple("vm-000231", "10.1.0.232:9000", "g8", "a", true));
  EXPECT_EQ(std::tie(r.agent_epoch, r.sequence, r.token, r.spot_notice_s),
            std::tuple(model::AgentEpoch(1), 88U, model::FencingToken(41), 60.5));
  EXPECT_EQ(model::TaskName(r.tasks.at(0).task), "run-000412/3");
  EXPECT_EQ(r.tasks[0].attempt, 2U);
  EXPECT_FALSE(r.tasks[0].checkpoint_saved);
  EXPECT_TRUE(r.tasks.at(1).checkpoint_saved);
}

TEST(GoldenMessage, HeartbeatPhasesAndExitCauses) {
  const auto task = [](const std::string& words) {
    const auto report = Checked(wire::ReadHeartbeat(
        R"({"host":"h","endpoint":"e","flavor":"f","hall":"a","tenure":1,"tick":1,)"
        R"("pieces":[{"piece":"run-1/0","try":1,)" +
        words + "}]}"));
    return report.tasks.at(0);
  };
  using enum model::TaskPhase;
  for (const auto& [word, phase] : {std::pair{"pulling", kFetching},
                                    {"running", kRunning},
                                    {"flushing", kCheckpointing},
                                    {"ended", kExited}}) {
    EXPECT_EQ(task(R"("phase":")" + std::string(word) + '"').phase, phase) << word;
  }
  using enum model::ExitCause;
  for (const auto& [word, cause] : {std::pair{"", kNone},
                                    {"done", kDone},
                                    {"stopped", kStopped},
                                    {"error", kError},
                                    {"no_room", kNoRoom},
                                    {"busy", kBusy},
                                    {"unknown", kUnknown}}) {
    EXPECT_EQ(task(R"("phase":"ended","cause":")" + std::string(word) + '"').cause, cause) << word;
    EXPECT_EQ(model::ExitCauseName(cause), word);
  }
}

TEST(GoldenMessage, WorkerCommands) {
  const std::string text = R"("orders":[{"verb":"run","piece":"run-000412/4","try":2},)"
                           R"({"verb":"stop","piece":"run-000377/1","try":1,"windDownS":10.0},)"
                           R"({"verb":"forget","piece":"run-000398/0","try":1}]})";
  const std::vector<model::WorkerCommand> commands = {
      {model::CommandKind::kRun, {"run-000412", 4}, 2, 0},
      {model::CommandKind::kStop, {"run-000377", 1}, 1, 10},
      {model::CommandKind::kForget, {"run-000398", 0}, 1, 0}};
  EXPECT_EQ(wire::WriteHeartbeatResponse(model::FencingToken(41), commands),
            R"({"epoch":41,)" + text);
  EXPECT_EQ(wire::WriteDirectCommands(model::FencingToken(41), model::AgentEpoch(3), commands),
            R"({"epoch":41,"tenure":3,)" + text);
}

TEST(GoldenMessage, Redirect) {
  EXPECT_EQ(wire::WriteRedirect("hallnode-2"), R"({"foreman":"hallnode-2"})");
  EXPECT_EQ(wire::WriteRedirect(""), "{}");
}

TEST(GoldenMessage, MachineTypes) {
  const auto json = Checked(wire::ParseObject(
      R"({"flavors":[{"sku":"g8","vcpus":96,"cards":8,"memGb":768,"localGb":200,)"
      R"("fetchGbPerS":1.5,"rate":12.0,"marketPrice":4.5,"readyS":45,"halls":["a","b"]}]})"));
  const auto f = Checked(wire::ReadMachineTypes(json)).at(0);
  EXPECT_EQ(std::tie(f.name, f.cpus, f.gpus, f.memory_gb), std::tuple("g8", 96.0, 8.0, 768.0));
  EXPECT_EQ(std::tie(f.fetch_gb_per_s, f.price, f.spot_price, f.boot_s),
            std::tuple(1.5, 12.0, 4.5, 45.0));
  EXPECT_EQ(f.zones.at(0) + f.zones.at(1), "ab");
}

TEST(GoldenMessage, ScaleOut) {
  EXPECT_EQ(wire::WriteScaleOutRequest({"hallpier-41-7", "g8", "a", true, 12}),
            R"({"hire":"hallpier-41-7","flavor":"g8","hall":"a","lendable":true,"howMany":12})");
  EXPECT_EQ(Checked(wire::ReadScaleOutResponse(R"({"hosts":["vm-000231","vm-000232"]})")).at(1),
            "vm-000232");
}

TEST(GoldenMessage, ScaleIn) {
  EXPECT_EQ(wire::WriteScaleInRequest({"vm-000231", "vm-000232"}),
            R"({"hosts":["vm-000231","vm-000232"]})");
}

TEST(GoldenMessage, MachineList) {
  const auto list = Checked(wire::ReadMachineList(
      R"({"hosts":[{"id":"vm-000231","endpoint":"10.1.0.232:9000","flavor":"g8","hall":"a",)"
      R"("lendable":true,"phase":"running","heldS":61.5},)"
      R"({"id":"vm-000232","flavor":"g8","hall":"b","phase":"starting"},)"
      R"({"id":"vm-000233","flavor":"g8","hall":"b","phase":"failed"}],"truncated":true})"));
  EXPECT_TRUE(list.more);
  const auto& m = list.machines.at(0);
  EXPECT_EQ(std::tie(m.machine, m.endpoint, m.machine_type, m.zone, m.spot, m.age_s),
            std::tuple("vm-000231", "10.1.0.232:9000", "g8", "a", true, 61.5));
  EXPECT_EQ(m.state, model::CloudMachineState::kRunning);
  EXPECT_EQ(list.machines.at(1).state, model::CloudMachineState::kBooting);
  EXPECT_EQ(list.machines.at(2).state, model::CloudMachineState::kFailed);
}

TEST(GoldenMessage, KeyValues) {
  const auto entry =
      Checked(wire::ReadKeyValue(R"({"key":"a/b","data":{"n":[1, 2.5]},"stamp":412,"permit":7})"));
  EXPECT_EQ(std::tie(entry.key, entry.value, entry.version),
            std::tuple("a/b", R"({"n":[1,2.5]})", 412U));
  const auto list = Checked(wire::ReadKeyValueList(
      R"({"entries":[{"key":"c/8","data":{},"stamp":430}],"truncated":true,"rev":431})"));
  const auto& listed = list.entries.at(0);
  EXPECT_EQ(std::tie(listed.key, listed.version, list.more, list.revision),
            std::tuple("c/8", 430U, true, 431U));
}

TEST(GoldenMessage, Transaction) {
  EXPECT_EQ(wire::WriteTransaction({{"a/b", 0}, {"a/c", 412}},
                                   {{"a/b", R"({"n":1})", 7}, {"a/c", "{}", 0}, {"c/d", "", 0}}),
            R"({"guards":[{"key":"a/b","stamp":0},{"key":"a/c","stamp":412}],)"
            R"("then":[{"put":"a/b","data":{"n":1},"permit":7},{"put":"a/c","data":{}},)"
            R"({"drop":"c/d"}]})");
  EXPECT_EQ(wire::ReadRevision(R"({"rev":432})"), 432U);
  EXPECT_EQ(wire::ReadFailedPreconditions(R"({"failed":["a/b"],"rev":431})").at(0), "a/b");
}

TEST(GoldenMessage, WatchEvents) {
  const auto list = Checked(
      wire::ReadWatchResponse(R"({"rev":433,"news":[{"put":"c/9","data":{"n":1},"stamp":433},)"
                              R"({"drop":"c/d","stamp":432}]})"));
  EXPECT_EQ(list.revision, 433U);
  const auto& put = list.events.at(0);
  EXPECT_EQ(std::tie(put.key, put.value, put.version), std::tuple("c/9", R"({"n":1})", 433U));
  const auto& drop = list.events.at(1);
  EXPECT_EQ(std::tie(drop.key, drop.value, drop.version), std::tuple("c/d", "", 432U));
}

TEST(GoldenMessage, Lease) {
  EXPECT_EQ(wire::WriteLeaseRequest(5), R"({"ttlMs":5000})");
  EXPECT_EQ(wire::ReadLeaseId(R"({"permit":7})"), 7U);
}

TEST(GoldenMessage, Http) {
  EXPECT_EQ(wire::Serialize({.method = "POST", .target = "/txn", .body = "{}"}, "10.0.0.1:80"),
            "POST /txn HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Type: application/json\r\n"
            "Content-Length: 2\r\n\r\n{}");
  EXPECT_EQ(wire::Serialize({.status = 503, .body = "{}", .retry_after_s = 2, .keep_alive = false}),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            "Content-Length: 2\r\nRetry-After: 2\r\nConnection: close\r\n\r\n{}");
}

TEST(GoldenMessage, MembersCommandJson) {
  const wire::MembersReport report = {
      "n1",
      true,
      {{"n2", {4, 1}, model::MemberState::kFailed, true, false, 5000, {"n1"}, "silent"}},
      "n2",
      "n1",
      2000};
  EXPECT_EQ(cli::MembersJson({{"n1", report, ""}, {"n2", std::nullopt, "no answer"}}),
            R"({"controllers":[{"node":"n1","answered":true,"error":null,"enabled":true,)"
            R"("members":[{"node":"n2","state":"failed","sinceS":5.0,"session":4,"refutation":1,)"
            R"("leading":false,"suspectedBy":["n1"],"reason":"silent"}],)"
            R"("lastHandover":{"from":"n2","to":"n1","agoS":2.0}},)"
            R"({"node":"n2","answered":false,"error":"no answer"}]})");
}

// --- Peer frames -------------------------------------------------------------------------------

TEST(GoldenPeerFrame, LengthPrefix) {
  EXPECT_EQ(Hex(wire::EncodeFrame("abc")), "03616263");
  EXPECT_EQ(Hex(wire::EncodeFrame(std::string(200, 'x')).substr(0, 3)), "c80178");
}

// Enumerators are sent as their numeric values.
TEST(GoldenPeerFrame, MemberStateValues) {
  using enum model::MemberState;
  EXPECT_EQ(NumericValues(kAlive, kSuspect, kFailed, kLeft), "0 1 2 3 ");
}

TEST(GoldenPeerFrame, TaskPhaseValues) {
  using enum model::TaskPhase;
  EXPECT_EQ(NumericValues(kFetching, kRunning, kCheckpointing, kExited), "0 1 2 3 ");
}

TEST(GoldenPeerFrame, ExitCauseValues) {
  using enum model::ExitCause;
  EXPECT_EQ(NumericValues(kNone, kDone, kStopped, kError, kNoRoom, kBusy, kUnknown),
            "0 1 2 3 4 5 6 ");
}

TEST(GoldenPeerFrame, Status) {
  ExpectFrame(wire::PeerStatus{"n1", model::FencingToken(412), true, false},
              "01 026e31 9c03 01 00");
}

TEST(GoldenPeerFrame, RelayRequest) {
  ExpectFrame(wire::RelayRequest{9, {"POST", "/txn", "{}"}}, "02 09 04504f5354 042f74786e 027b7d");
}

TEST(GoldenPeerFrame, RelayResponse) {
  ExpectFrame(wire::RelayResponse{9, true, {503, "{}"}}, "03 09 01 f703 027b7d");
}

TEST(GoldenPeerFrame, CancellationReportRequest) {
  ExpectFrame(wire::CancellationReportRequest{300}, "04 ac02");
}

TEST(GoldenPeerFrame, CancellationReport) {
  ExpectFrame(wire::CancellationReport{true, 431, {{"run-1", 430}, {"run-2", 431}}},
              "05 01 af03 02 0572756e2d31 ae03 0572756e2d32 af03");
}

TEST(GoldenPeerFrame, CancelNotice) {
  ExpectFrame(wire::CancelNotice{{"run-1", 430}}, "06 0572756e2d31 ae03");
}

TEST(GoldenPeerFrame, MemberProbe) {
  using enum model::MemberState;
  ExpectFrame(wire::MemberProbe{130,
                                {"n1",
                                 {3, 2},
                                 kSuspect,
                                 {true, false, 250, 17},
                                 "n2",
                                 {{"n2", {4, 1}, kFailed, 1500}, {"n3", {}, kAlive, {}}}}},
              "07 8201 026e31 03 02 01 01 00 fa01 11 026e32 02"
              "026e32 04 01 02 dd0b"
              "026e33 00 00 00 00");
}

TEST(GoldenPeerFrame, MemberProbeResponse) {
  ExpectFrame(
      wire::MemberProbeResponse{
          1, {"n2", {5, 0}, model::MemberState::kLeft, {false, true, 0, 0}, "", {}}},
      "08 01 026e32 05 00 03 00 01 00 00 00 00");
}

TEST(GoldenPeerFrame, MembersRequest) { ExpectFrame(wire::MembersRequest{}, "09"); }

TEST(GoldenPeerFrame, MembersReport) {
  using enum model::MemberState;
  ExpectFrame(
      wire::MembersReport{"n1",
                          true,
                          {{"n2", {4, 1}, kFailed, true, false, 5000, {"n1", "n3"}, "silent"}},
                          "n2",
                          "n1",
                          2000},
      "0a 026e31 01 01"
      "026e32 04 01 02 01 00 8827 02 026e31 026e33 0673696c656e74"
      "026e32 026e31 d00f");
}

TEST(GoldenPeerFrame, BlockView) {
  const auto phase = model::TaskPhase::kExited;
  const auto cause = model::ExitCause::kError;
  ExpectFrame(wire::BlockView{model::FencingToken(41),
                              7,
                              {{"vm-1",
                                "g8",
                                "a",
                                true,
                                false,
                                {"img-07"},
                                {{{"run-1", 3}, 2, phase, cause, true, 61500}}},
                               {"vm-4", "", "b", false, true, {}, {}}},
                              {"vm-2"},
                              {{"run-2", true, false, {"vm-1", "vm-3"}}}},
              "0b 29 07 02"
              "04766d2d31 026738 0161 01 00 01 06696d672d3037 01 0572756e2d31 03 02 03 03 01 bce003"
              "04766d2d34 00 0162 00 01 00 00"
              "01 04766d2d32"
              "01 0572756e2d32 01 00 02 04766d2d31 04766d2d33");
}

TEST(GoldenPeerFrame, BlockAcknowledgement) {
  ExpectFrame(wire::BlockAcknowledgement{7, 3, true}, "0c 07 03 01");
}

}  // namespace
}  // namespace hallpier
