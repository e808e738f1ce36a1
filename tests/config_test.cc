#include <gtest/gtest.h>

#include "config/consistency_check.h"
#include "config/operator_options.h"
#include "config/settings_parser.h"

namespace hallpier {
namespace {

const char* const kValidSettings = R"(
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

// Returns the line that is printed for each error.
template <class T>
std::vector<std::string> ErrorLines(const config::ParseResult<T>& parsed) {
  std::vector<std::string> lines;
  for (const config::ConfigError& error : parsed.errors) lines.push_back(error.Text());
  return lines;
}

TEST(ParseSettings, ReadsFieldsAndIgnoresUnknownOnes) {
  const auto parsed = config::ParseSettings(kValidSettings);
  EXPECT_TRUE(parsed.ok()) << parsed.errors[0].Text();
  const config::Settings& s = parsed.value;
  EXPECT_EQ(s.seeds.at(0).endpoint, "127.0.0.1:3");
  EXPECT_EQ(s.lease_s, 45);
  EXPECT_EQ(s.FindTeam("t")->cpus, 4);
  EXPECT_EQ(s.FindTeam("x"), nullptr);
}

TEST(ParseSettings, ReportsEveryErrorWithItsField) {
  std::string text = kValidSettings;
  text.replace(text.find("lease_s = 45"), 12, "lease_s = -1");
  text.replace(text.find("127.0.0.1:5"), 11, "state.local");
  const auto errors = ErrorLines(config::ParseSettings(text));
  ASSERT_EQ(errors.size(), 2U);
  EXPECT_EQ(errors[0], "services.state: not an IPv4 address with a port: state.local");
  EXPECT_EQ(errors[1], "params.workers.lease_s: -1 is not between 0.1 and 1e+15");
}

TEST(ParseOperatorOptions, OverridesDefaultsAndReportsErrors) {
  const auto parsed = config::ParseOperatorOptions("round_s = 1.5 # seconds\nheadroom = 0.5\n");
  EXPECT_TRUE(parsed.ok());
  EXPECT_EQ(parsed.value.round_s, 1.5);
  EXPECT_EQ(parsed.value.headroom, 0.5);
  EXPECT_EQ(parsed.value.silent_ratio, config::OperatorOptions().silent_ratio);
  const auto errors = ErrorLines(config::ParseOperatorOptions("silent_ratio = 0.1\n"));
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0], "silent_ratio: 0.1 is not between 2 and 100");
  EXPECT_EQ(config::ParseOperatorOptions("no_such = 1\n").errors.size(), 1U);
}

TEST(ParseOperatorOptions, MembershipIsOffByDefaultAndItsRangesAreChecked) {
  EXPECT_FALSE(config::ParseOperatorOptions("round_s = 1.5\n").value.membership.enabled);
  const auto parsed =
      config::ParseOperatorOptions("membership {\n enabled = true\n missed_probes = 5\n}\n");
  EXPECT_TRUE(parsed.ok());
  EXPECT_TRUE(parsed.value.membership.enabled);
  EXPECT_EQ(parsed.value.membership.missed_probes, 5);
  EXPECT_EQ(parsed.value.membership.probe_ratio, config::MembershipOptions().probe_ratio);
  const auto errors = ErrorLines(
      config::ParseOperatorOptions("membership {\n probe_ratio = 7\n confirm_probes = 0\n}\n"));
  ASSERT_EQ(errors.size(), 2U);
  EXPECT_EQ(errors[0], "membership.probe_ratio: 7 is not between 0.01 and 1");
  EXPECT_EQ(errors[1], "membership.confirm_probes: 0 is not between 1 and 100");
  EXPECT_EQ(config::ParseOperatorOptions("membership {\n enabled = perhaps\n}\n").errors.size(),
            1U);
}

TEST(ParseOperatorOptions, ReportsEveryErrorInBlocksSection) {
  auto error_lines = [](const std::string& text) {
    return ErrorLines(config::ParseOperatorOptions(text));
  };
  const std::string membership = "membership {\n enabled = true\n}\n";
  EXPECT_TRUE(error_lines(membership + "blocks {\n enabled = true\n holders = 3\n}\n").empty());
  EXPECT_EQ(error_lines("blocks {\n enabled = true\n}\n"),
            std::vector<std::string>{"blocks.enabled: needs membership.enabled"});
  EXPECT_EQ(error_lines("blocks {\n holders = 1\n}\n"),
            std::vector<std::string>{"blocks.holders: 1 is not between 2 and 64"});
  EXPECT_EQ(error_lines("blocks {\n holders = 2.5\n}\n"),
            std::vector<std::string>{"blocks.holders: 2.500000 is not a whole number"});
  EXPECT_EQ(error_lines("blocks {\n lease_ratio = 0\n widen_ratio = 101\n}\n").size(), 2U);
}

TEST(CheckConsistency, RejectsGuaranteeOverLimitIfBlocksAreOn) {
  config::Settings settings;
  settings.teams = {{"well", 4, 4, 1, 0}, {"beyond", 5, 4, 0, 0}};
  config::OperatorOptions operator_options;
  EXPECT_TRUE(config::CheckConsistency(settings, operator_options).empty())
      << "no error while blocks are off";
  operator_options.blocks.enabled = true;
  const auto inconsistencies = config::CheckConsistency(settings, operator_options);
  ASSERT_EQ(inconsistencies.size(), 1U);
  EXPECT_EQ(inconsistencies[0].Text(),
            "params.teams: beyond is guaranteed 5 cpus, more than its limit of 4");
}

TEST(ParseSettings, RejectsDuplicateNodeName) {
  std::string text = kValidSettings;
  text.insert(text.find("[services]"),
              "[[seeds]]\nnode = \"n-1\"\narea = \"a\"\nendpoint = \"127.0.0.1:9\"\n");
  const auto errors = ErrorLines(config::ParseSettings(text));
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0], "seeds: two nodes are named n-1");
}

}  // namespace
}  // namespace hallpier
