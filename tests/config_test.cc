#include <gtest/gtest.h>

#include "config/settings.h"
#include "model/job.h"
#include "wire/json.h"
#include "wire/user_codec.h"
#include "wire/worker_codec.h"

namespace hallpier {
namespace {

const char* const kGoodSettings = R"(
node = "n-0"
area = "a"
listen = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
unknown = 1
[[seeds]]
node = "n-1"
area = "b"
endpoint = "127.0.0.1:3"
[services]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[params]
size = 2
[[params.teams]]
name = "t"
cpus = 4
[params.workers]
report_s = 3.0
lease_s = 45
cancel_s = 70.0
[params.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 5.0
list_lag_s = 3.0
)";

TEST(Settings, AreReadAndUnknownFieldsIgnored) {
  std::vector<std::string> faults;
  auto s = config::ParseSettings(kGoodSettings, &faults);
  EXPECT_TRUE(faults.empty()) << faults[0];
  EXPECT_EQ(s.seeds.at(0).endpoint, "127.0.0.1:3");
  EXPECT_EQ(s.lease_s, 45);
  EXPECT_EQ(s.FindTeam("t")->cpus, 4);
  EXPECT_EQ(s.FindTeam("x"), nullptr);
}

TEST(Settings, EveryFaultGetsALineWithItsField) {
  std::string text = kGoodSettings;
  text.replace(text.find("lease_s = 45"), 12, "lease_s = -1");
  text.replace(text.find("127.0.0.1:5"), 11, "state.local");
  std::vector<std::string> faults;
  config::ParseSettings(text, &faults);
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0], "services.state: not an address: state.local");
  EXPECT_EQ(faults[1], "params.workers.lease_s: -1 is out of range");
}

TEST(Operator, OverridesRatiosAndNamesFaults) {
  std::vector<std::string> faults;
  auto o = config::ParseOperator("round_s = 1.5 # seconds\nheadroom = 0.5\n", &faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(o.round_s, 1.5);
  EXPECT_EQ(o.headroom, 0.5);
  EXPECT_EQ(o.silent_ratio, config::Operator().silent_ratio);
  config::ParseOperator("silent_ratio = 0.1\n", &faults);
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0], "silent_ratio: 0.1 is not between 2 and 100");
  faults.clear();
  config::ParseOperator("no_such = 1\n", &faults);
  EXPECT_EQ(faults.size(), 1U);
}

TEST(Operator, MembershipIsOffUnlessSwitchedOnAndItsRangesAreChecked) {
  std::vector<std::string> faults;
  EXPECT_FALSE(config::ParseOperator("round_s = 1.5\n", &faults).membership.enabled);
  auto o = config::ParseOperator("membership {\n enabled = true\n missed_probes = 5\n}\n", &faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_TRUE(o.membership.enabled);
  EXPECT_EQ(o.membership.missed_probes, 5);
  EXPECT_EQ(o.membership.probe_ratio, config::Membership().probe_ratio);
  config::ParseOperator("membership {\n probe_ratio = 7\n confirm_probes = 0\n}\n", &faults);
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0], "membership.probe_ratio: 7 is not between 0.01 and 1");
  EXPECT_EQ(faults[1], "membership.confirm_probes: 0 is not between 1 and 100");
  faults.clear();
  config::ParseOperator("membership {\n enabled = perhaps\n}\n", &faults);
  EXPECT_EQ(faults.size(), 1U);
}

TEST(Operator, BadBlocksGetOneLineEach) {
  auto faults_of = [](const std::string& text) {
    std::vector<std::string> faults;
    config::ParseOperator(text, &faults);
    return faults;
  };
  const std::string membership = "membership {\n enabled = true\n}\n";
  EXPECT_TRUE(faults_of(membership + "blocks {\n enabled = true\n holders = 3\n}\n").empty());
  EXPECT_EQ(faults_of("blocks {\n enabled = true\n}\n"),
            std::vector<std::string>{"blocks.enabled: needs membership.enabled"});
  EXPECT_EQ(faults_of("blocks {\n holders = 1\n}\n"),
            std::vector<std::string>{"blocks.holders: 1 is not between 2 and 64"});
  EXPECT_EQ(faults_of("blocks {\n holders = 2.5\n}\n"),
            std::vector<std::string>{"blocks.holders: not a whole number"});
  EXPECT_EQ(faults_of("blocks {\n lease_ratio = 0\n widen_ratio = 101\n}\n").size(), 2U);
}

TEST(Operator, AGuaranteeBeyondItsLimitIsAFaultWhereBlocksAreOn) {
  config::Settings settings;
  settings.teams = {{"well", 4, 4, 1, 0}, {"beyond", 5, 4, 0, 0}};
  config::Operator operators;
  EXPECT_TRUE(config::ContradictionsOf(settings, operators).empty()) << "off changes nothing";
  operators.blocks.enabled = true;
  EXPECT_EQ(config::ContradictionsOf(settings, operators),
            std::vector<std::string>{
                "params.teams: beyond is guaranteed 5 cpus, more than its limit of 4"});
}

TEST(Settings, TwoNodesOfOneNameAreAFault) {
  std::string text = kGoodSettings;
  text.insert(text.find("[services]"),
              "[[seeds]]\nnode = \"n-1\"\narea = \"a\"\nendpoint = \"127.0.0.1:9\"\n");
  std::vector<std::string> faults;
  config::ParseSettings(text, &faults);
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0], "seeds: two nodes are named n-1");
}

const char* const kJob = R"({"id":"run-000412","lane":"train","tenant":"vision","shape":"array",
 "urgency":"urgent","pieces":16,"vcpus":8.0,"cards":1.0,"memGb":64.0,"bundle":"img-07",
 "sizeGb":6.2,"flavors":["g8"],"hall":null,"oneZone":true,"spread":false,"lendable":true,
 "expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0})";

TEST(Messages, ASubmissionSurvivesARoundTrip) {
  wire::BadField bad;
  auto spec = wire::ReadJobSpec(*wire::ParseObject(kJob), &bad);
  ASSERT_TRUE(spec) << bad.field;
  wire::JsonWriter w;
  wire::WriteJobSpec(w, *spec);
  auto again = wire::ReadJobSpec(*wire::ParseObject(w.Take()), &bad);
  ASSERT_TRUE(again) << bad.field;
  EXPECT_EQ(again->priority, model::Priority::kUrgent);
  EXPECT_EQ(again->machine_types, spec->machine_types);
  EXPECT_EQ(again->due_s, 900);
  EXPECT_TRUE(again->one_zone);
}

TEST(Messages, ABadSubmissionNamesTheField) {
  auto refuse = [](const std::string& from, const std::string& to) {
    std::string text = kJob;
    text.replace(text.find(from), from.size(), to);
    wire::BadField bad;
    EXPECT_FALSE(wire::ReadJobSpec(*wire::ParseObject(text), &bad));
    return bad.field;
  };
  EXPECT_EQ(refuse("\"pieces\":16", "\"pieces\":0"), "pieces");
  EXPECT_EQ(refuse("\"pieces\":16", "\"pieces\":100001"), "pieces");
  EXPECT_EQ(refuse("\"urgent\"", "\"soon\""), "urgency");
  EXPECT_EQ(refuse("\"memGb\":64.0", "\"memGb\":-1"), "memGb");
  EXPECT_EQ(refuse("run-000412", "job-1"), "id");
  EXPECT_EQ(refuse("[\"g8\"]", "[3]"), "flavors");
  EXPECT_EQ(refuse("\"spread\":false,", ""), "spread");
}

TEST(Messages, AReportWithAnUnreadablePieceIsRefusedWhole) {
  const std::string head =
      R"({"host":"vm-1","endpoint":"e","flavor":"f","hall":"a","tenure":1,"tick":2,"pieces":[)";
  EXPECT_TRUE(wire::ReadHeartbeat(
      head + R"({"piece":"run-1/0","try":1,"phase":"ended","cause":"done"}]})"));
  EXPECT_FALSE(wire::ReadHeartbeat(head + R"({"piece":"run-1/0","try":1,"phase":"odd"}]})"));
  EXPECT_FALSE(wire::ReadHeartbeat(head + R"({"piece":"nonsense","try":1,"phase":"running"}]})"));
}

}  // namespace
}  // namespace hallpier
