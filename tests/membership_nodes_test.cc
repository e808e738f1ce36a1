// Membership on whole nodes against fakes: joining, leaving, verdicts, old versions and what
// the command line shows of it.
#include <rapidjson/document.h>

#include <fstream>
#include <thread>
#include <valijson/adapters/rapidjson_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "cli/members_command.h"
#include "end_to_end.h"
#include "membership/member_record.h"
#include "model/member.h"
#include "net/address.h"
#include "wire/frame.h"
#include "wire/peer_codec.h"
#include "wire/varint.h"

namespace hallpier {
namespace {

using namespace testing_support;
using membership::MemberRecord;
using model::MemberState;

// What is wrong with a document by the published schema; empty: nothing.
std::string SchemaFaults(const std::string& json) {
  std::ifstream file(HALLPIER_SOURCE_DIR "/docs/schemas/members.schema.json");
  const std::string schema_text((std::istreambuf_iterator<char>(file)),
                                std::istreambuf_iterator<char>());
  rapidjson::Document schema_document, document;
  schema_document.Parse(schema_text.c_str());
  document.Parse(json.c_str());
  if (schema_document.HasParseError() || document.HasParseError()) return "not JSON";
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::RapidJsonAdapter(schema_document), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, valijson::adapters::RapidJsonAdapter(document), &results)) {
    return "";
  }
  std::string faults = "invalid";
  valijson::ValidationResults::Error error;
  while (results.popError(error)) faults += "; " + error.description;
  return faults;
}

class MembershipNodesTest : public EndToEnd {
 public:
  MembershipNodesTest() {
    operators_.membership.enabled = true;
    run_s_ = 60;
  }

  std::optional<MemberRecord> Record(int node) const {
    return membership::ReadMember(state_->Value(store::MemberKey("node-" + std::to_string(node))));
  }
  bool Is(int node, MemberState state) const {
    auto record = Record(node);
    return record && record->state == state;
  }
  async::Task<bool> AllJoined(int count) {
    bool ok = co_await Within(10, [&] {
      for (int i = 0; i < count; ++i) {
        if (!Is(i, MemberState::kAlive)) return false;
      }
      return true;
    });
    EXPECT_TRUE(ok);
    co_return ok;
  }
  std::string Leader() const {
    auto record = store::ReadLeader(state_->Value(store::LeaderKey()));
    return record ? record->node : std::string();
  }
  async::Task<> RunsAJob(int node) {
    bool ok = co_await Until(node, "POST", "/submissions", Body(Spec("run-1", 6)), 201, "", 10);
    EXPECT_TRUE(ok);
    ok = co_await Within(10, [&] { return cloud_->Running("run-1") == 6; });
    EXPECT_TRUE(ok);
  }
  // The command has a loop of its own and blocks, as on a console.
  async::Task<std::vector<cli::MembersAnswer>> Command(config::Settings settings) {
    std::vector<cli::MembersAnswer> answers;
    std::atomic<bool> done = false;
    std::thread console([&] {
      answers = cli::AskMembers(settings, 1);
      done = true;
    });
    while (!done) co_await Pause(0.01);
    console.join();
    co_return answers;
  }

  // Its lease would stand for 4 s more.
  async::Task<> LeavesInOrder() {
    co_await StartOthersOnceItLeads();
    co_await AllJoined(3);
    co_await RunsAJob(1);
    co_await Pause(2 * kReport);
    const double began = loop_.Now();
    co_await EndInOrder(0);
    EXPECT_NE(Leader(), "node-0") << "given up before the process ends, not for its refused port";
    bool ok = co_await Within(1.5, [&] { return !Leader().empty() && Leader() != "node-0"; });
    EXPECT_TRUE(ok) << "handed over at once, after " << loop_.Now() - began << " s";
    EXPECT_TRUE(Is(0, MemberState::kLeft));
    co_await Pause(1);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
    EXPECT_EQ(cloud_->starts(), 6);
    const uint64_t session = Record(0)->incarnation.session;
    StartNodes(0, 1, 3);
    co_await AllJoined(3);
    EXPECT_EQ(Record(0)->incarnation.session, session + 1);
  }

  // A leader that reads a verdict on itself gives up, joins as a new session, and nothing that runs
  // is started twice.
  async::Task<> IsJudged() {
    co_await StartOthersOnceItLeads();
    co_await AllJoined(3);
    co_await RunsAJob(1);
    MemberRecord record = *Record(0);
    const uint64_t session = record.incarnation.session;
    record.state = MemberState::kFailed;
    record.by = "node-2";
    const std::string token_before = state_->Value(store::FencingTokenKey());
    co_await WriteRecord(store::MemberKey("node-0"), membership::WriteMember(record));
    bool ok = co_await Within(5, [&] {
      return Is(0, MemberState::kAlive) && Record(0)->incarnation.session == session + 1;
    });
    EXPECT_TRUE(ok);
    ok = co_await Within(5, [&] { return !Leader().empty(); });
    EXPECT_TRUE(ok);
    co_await Pause(1);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
    EXPECT_EQ(cloud_->starts(), 6);
  }

  // Nobody else is there to end its lease.
  async::Task<> IsJudgedAlone() {
    co_await AllJoined(1);
    co_await RunsAJob(0);
    MemberRecord record = *Record(0);
    record.state = MemberState::kFailed;
    record.by = "node-2";
    const std::string lease_before = state_->Value(store::LeaderKey());
    co_await WriteRecord(store::MemberKey("node-0"), membership::WriteMember(record));
    bool ok = co_await Within(5, [&] {
      return Is(0, MemberState::kAlive) && !Leader().empty() &&
             state_->Value(store::LeaderKey()) != lease_before;
    });
    EXPECT_TRUE(ok) << "it leads by a lease from before the verdict";
    co_await Pause(1);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
  }

  async::Task<> Commands() {
    co_await AllJoined(3);
    bool ok = co_await Within(5, [&] { return !Leader().empty(); });
    EXPECT_TRUE(ok);
    co_await Pause(2 * kReport);
    auto answers = co_await Command(NodeSettings(0, 3));
    EXPECT_EQ(SchemaFaults(cli::MembersJson(answers)), "");
    for (const cli::MembersAnswer& answer : answers) {
      EXPECT_TRUE(answer.report && answer.report->enabled) << answer.error;
      if (!answer.report) continue;
      EXPECT_EQ(answer.report->rows.size(), 3U);
      for (const wire::MemberRow& row : answer.report->rows) {
        EXPECT_EQ(row.state, MemberState::kAlive);
        EXPECT_TRUE(row.has_record);
        EXPECT_EQ(row.leading, row.node == Leader());
      }
    }
    co_await EndInOrder(2);
    answers = co_await Command(NodeSettings(0, 3));
    EXPECT_EQ(SchemaFaults(cli::MembersJson(answers)), "");
    EXPECT_FALSE(answers.at(2).report);
    EXPECT_NE(cli::MembersText(answers).find("node-2: can't be reached"), std::string::npos);
    EXPECT_NE(cli::MembersText(answers).find("left"), std::string::npos);
    EXPECT_NE(SchemaFaults(R"({"controllers":[{"node":"a"}]})"), "") << "the schema does check";
  }

  // One node has membership off, as after its settings were changed back, or as an older version.
  async::Task<> OneIsOff() {
    operators_.membership.enabled = false;
    StartNodes(2, 3, 3);
    operators_.membership.enabled = true;
    StartNodes(0, 2, 3);
    co_await AllJoined(2);
    co_await Pause(10 * kReport);
    EXPECT_EQ(state_->Value(store::MemberKey("node-2")), "");
    EXPECT_EQ(store::ReadNodeFormat(state_->Value(store::NodeFormatKey("node-2"))).value_or(0),
              store::kCancellationReportFormat);
    EXPECT_TRUE(Is(0, MemberState::kAlive));
    auto answers = co_await Command(NodeSettings(0, 3));
    EXPECT_EQ(SchemaFaults(cli::MembersJson(answers)), "");
    EXPECT_FALSE(answers.at(0).report->rows.at(2).has_record)
        << "never failed for answering no probe";
    EXPECT_FALSE(answers.at(2).report->enabled);
    co_await RunsAJob(2);
  }

  static constexpr char kUnknownType = 99;
  // Whoever sends what no node would is cut off, or ignored, and nothing else happens.
  async::Task<> BadFrames() {
    co_await AllJoined(3);
    wire::MemberStatus stranger;
    stranger.node = "node-77";
    stranger.incarnation = {99, 0};
    stranger.observations = {{"node-0", {UINT64_MAX, 5}, MemberState::kFailed, 1}};
    const std::string probe = wire::WritePeerMessage(wire::MemberProbe{1, stranger});
    for (const std::string& bytes :
         {std::string("\xff\xff\xff\xff\x7f"), wire::EncodeFrame(std::string(1, kUnknownType)),
          wire::EncodeFrame(probe.substr(3)), wire::EncodeFrame(probe)}) {
      auto to = net::ParseAddress(At(1));
      int error = 0;
      auto stream = co_await net::Stream::Connect(scope_, *to, loop_.Now() + 1, &error);
      EXPECT_TRUE(stream);
      if (!stream) co_return;
      co_await stream->Write(scope_, bytes, loop_.Now() + 1);
      co_await Pause(0.1);
    }
    co_await Pause(5 * kReport);
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(Is(i, MemberState::kAlive)) << i;
    EXPECT_EQ(state_->Value(store::MemberKey("node-77")), "");
  }

  async::Task<> Off() {
    co_await StartOthersOnceItLeads();
    state_->Watch([this](const std::string& key, const std::string& /*value*/) {
      if (store::IsKeyOfKind<store::MemberKeyName>(key)) ++member_writes_;
    });
    co_await RunsAJob(1);
    co_await EndInOrder(0);
    co_await Pause(5 * kReport);
    EXPECT_EQ(member_writes_, 0);
    for (int i = 0; i < 3; ++i) {
      EXPECT_EQ(
          store::ReadNodeFormat(state_->Value(store::NodeFormatKey("node-" + std::to_string(i))))
              .value_or(0),
          store::kCancellationReportFormat);
    }
  }

 private:
  int member_writes_ = 0;
};

TEST_F(MembershipNodesTest, AnOrderlyEndHandsOverAtOnce) {
  operators_.leader_ttl_ratio = 20;
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(LeavesInOrder());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(MembershipNodesTest, AJudgedLeaderJoinsAgainAndStartsNothingTwice) {
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(IsJudged());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(MembershipNodesTest, AJudgedLeaderGivesUpByItself) {
  Start(1);
  Run(IsJudgedAlone());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(MembershipNodesTest, TheCommandShowsWhatEachNodeSees) {
  Start(3);
  Run(Commands());
}

TEST_F(MembershipNodesTest, ANodeWithoutItIsServedAndNeverCalledFailed) {
  StartServices(3);
  Run(OneIsOff());
}

TEST_F(MembershipNodesTest, BadFramesChangeNothing) {
  Start(3);
  Run(BadFrames());
}

TEST_F(MembershipNodesTest, OffNothingOfItIsWritten) {
  operators_.membership.enabled = false;
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(Off());
}

TEST(MembersCommand, SaysSoWhereNobodyCanBeReached) {
  config::Settings settings = SettingsOf();
  settings.peer_bind = "127.0.0.1:1";
  settings.seeds = {{"node-1", "a", "127.0.0.1:1"}};
  EXPECT_EQ(cli::RunMembersCommand(settings, false), 1);
  const auto answers = cli::AskMembers(settings, 1);
  EXPECT_EQ(SchemaFaults(cli::MembersJson(answers)), "");
  EXPECT_EQ(answers.size(), 2U);
}

}  // namespace
}  // namespace hallpier
