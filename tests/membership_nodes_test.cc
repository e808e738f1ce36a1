// Tests membership of complete controllers on loopback with a fake state service and a fake cloud:
// joining, leaving, failure declarations, nodes with membership off as after a change of settings
// or with an older version, and the output of `hallpier members`.
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

// Returns how a document violates the published schema; empty if it is valid.
std::string SchemaErrors(const std::string& json) {
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
  std::string errors = "invalid";
  valijson::ValidationResults::Error error;
  while (results.popError(error)) errors += "; " + error.description;
  return errors;
}

class MembershipNodesTest : public EndToEndTest {
 public:
  MembershipNodesTest() {
    operator_options_.membership.enabled = true;
    run_s_ = 60;
  }

  std::optional<MemberRecord> Record(int node) const {
    return membership::ReadMember(state_->Value(store::MemberKey("node-" + std::to_string(node))));
  }
  bool HasState(int node, MemberState state) const {
    auto record = Record(node);
    return record && record->state == state;
  }
  async::Task<bool> WaitUntilAllJoined(int count) {
    bool ok = co_await WaitFor(10, [&] {
      for (int i = 0; i < count; ++i) {
        if (!HasState(i, MemberState::kAlive)) return false;
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
  async::Task<> RunJob(int node) {
    bool ok = co_await AskUntil(node, "POST", "/submissions", SubmissionBody(Spec("run-1", 6)), 201,
                                "", 10);
    EXPECT_TRUE(ok);
    ok = co_await WaitFor(10, [&] { return cloud_->Running("run-1") == 6; });
    EXPECT_TRUE(ok);
  }
  // Runs the query in a thread: as on the command line, it blocks and has a separate event loop.
  async::Task<std::vector<cli::MembersResponse>> RunMembersQuery(config::Settings settings) {
    std::vector<cli::MembersResponse> responses;
    std::atomic<bool> done = false;
    std::thread query_thread([&] {
      responses = cli::AskMembers(settings, 1);
      done = true;
    });
    while (!done) co_await Pause(0.01);
    query_thread.join();
    co_return responses;
  }

  // Without a handover, the leader's lease would remain valid for 4 s after its process has ended.
  async::Task<> LeaderShutsDown() {
    co_await StartOthersOnceNode0Leads();
    co_await WaitUntilAllJoined(3);
    co_await RunJob(1);
    co_await Pause(2 * kHeartbeatIntervalS);
    const double started_at = loop_.Now();
    co_await ShutDownAndWait(0);
    EXPECT_NE(Leader(), "node-0")
        << "the lease must be released before the process ends, not because "
           "its port refuses connections";
    bool ok = co_await WaitFor(1.5, [&] { return !Leader().empty() && Leader() != "node-0"; });
    EXPECT_TRUE(ok) << "no new leader " << loop_.Now() - started_at
                    << " s after the shutdown began";
    EXPECT_TRUE(HasState(0, MemberState::kLeft));
    co_await Pause(1);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
    EXPECT_EQ(cloud_->starts(), 6);
    const uint64_t session = Record(0)->incarnation.session;
    StartNodes(0, 1, 3);
    co_await WaitUntilAllJoined(3);
    EXPECT_EQ(Record(0)->incarnation.session, session + 1);
  }

  // A leader that reads its own record as failed resigns and joins with a new session. No running
  // task is started a second time.
  async::Task<> LeaderIsDeclaredFailed() {
    co_await StartOthersOnceNode0Leads();
    co_await WaitUntilAllJoined(3);
    co_await RunJob(1);
    MemberRecord record = *Record(0);
    const uint64_t session = record.incarnation.session;
    record.state = MemberState::kFailed;
    record.by = "node-2";
    const std::string token_before = state_->Value(store::FencingTokenKey());
    co_await WriteRecord(store::MemberKey("node-0"), membership::WriteMember(record));
    bool ok = co_await WaitFor(5, [&] {
      return HasState(0, MemberState::kAlive) && Record(0)->incarnation.session == session + 1;
    });
    EXPECT_TRUE(ok);
    ok = co_await WaitFor(5, [&] { return !Leader().empty(); });
    EXPECT_TRUE(ok);
    co_await Pause(1);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
    EXPECT_EQ(cloud_->starts(), 6);
  }

  // No other node runs that could end the lease, so the leader must release it without help.
  async::Task<> SingleNodeIsDeclaredFailed() {
    co_await WaitUntilAllJoined(1);
    co_await RunJob(0);
    MemberRecord record = *Record(0);
    record.state = MemberState::kFailed;
    record.by = "node-2";
    const std::string lease_before = state_->Value(store::LeaderKey());
    co_await WriteRecord(store::MemberKey("node-0"), membership::WriteMember(record));
    bool ok = co_await WaitFor(5, [&] {
      return HasState(0, MemberState::kAlive) && !Leader().empty() &&
             state_->Value(store::LeaderKey()) != lease_before;
    });
    EXPECT_TRUE(ok) << "it still leads by the lease from before it was declared failed";
    co_await Pause(1);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
  }

  async::Task<> QueryMembers() {
    co_await WaitUntilAllJoined(3);
    bool ok = co_await WaitFor(5, [&] { return !Leader().empty(); });
    EXPECT_TRUE(ok);
    co_await Pause(2 * kHeartbeatIntervalS);
    auto responses = co_await RunMembersQuery(NodeSettings(0, 3));
    EXPECT_EQ(SchemaErrors(cli::MembersJson(responses)), "");
    for (const cli::MembersResponse& response : responses) {
      EXPECT_TRUE(response.report && response.report->enabled) << response.error;
      if (!response.report) continue;
      EXPECT_EQ(response.report->rows.size(), 3U);
      for (const wire::MemberRow& row : response.report->rows) {
        EXPECT_EQ(row.state, MemberState::kAlive);
        EXPECT_TRUE(row.has_record);
        EXPECT_EQ(row.leading, row.node == Leader());
      }
    }
    co_await ShutDownAndWait(2);
    responses = co_await RunMembersQuery(NodeSettings(0, 3));
    EXPECT_EQ(SchemaErrors(cli::MembersJson(responses)), "");
    EXPECT_FALSE(responses.at(2).report);
    EXPECT_NE(cli::MembersText(responses).find("node-2: can't be reached"), std::string::npos);
    EXPECT_NE(cli::MembersText(responses).find("left"), std::string::npos);
    EXPECT_NE(SchemaErrors(R"({"controllers":[{"node":"a"}]})"), "")
        << "the schema check must reject an invalid document";
  }

  // One node has membership off, as after a change of its settings or with an older version.
  async::Task<> OneNodeHasMembershipOff() {
    operator_options_.membership.enabled = false;
    StartNodes(2, 3, 3);
    operator_options_.membership.enabled = true;
    StartNodes(0, 2, 3);
    co_await WaitUntilAllJoined(2);
    co_await Pause(10 * kHeartbeatIntervalS);
    EXPECT_EQ(state_->Value(store::MemberKey("node-2")), "");
    EXPECT_EQ(store::ReadNodeFormat(state_->Value(store::NodeFormatKey("node-2"))).value_or(0),
              store::kCancellationReportFormat);
    EXPECT_TRUE(HasState(0, MemberState::kAlive));
    auto responses = co_await RunMembersQuery(NodeSettings(0, 3));
    EXPECT_EQ(SchemaErrors(cli::MembersJson(responses)), "");
    EXPECT_FALSE(responses.at(0).report->rows.at(2).has_record)
        << "a node that answers no probe must not be declared failed";
    EXPECT_FALSE(responses.at(2).report->enabled);
    co_await RunJob(2);
  }

  static constexpr char kUnknownType = 99;
  // Frames that no node would send must be ignored or close the connection, without other effects.
  async::Task<> SendMalformedFrames() {
    co_await WaitUntilAllJoined(3);
    wire::MemberStatus unknown_sender;
    unknown_sender.node = "node-77";
    unknown_sender.incarnation = {99, 0};
    unknown_sender.observations = {{"node-0", {UINT64_MAX, 5}, MemberState::kFailed, 1}};
    const std::string probe = wire::WritePeerMessage(wire::MemberProbe{1, unknown_sender});
    for (const std::string& bytes :
         {std::string("\xff\xff\xff\xff\x7f"), wire::EncodeFrame(std::string(1, kUnknownType)),
          wire::EncodeFrame(probe.substr(3)), wire::EncodeFrame(probe)}) {
      auto to = net::ParseAddress(AddressAt(1));
      int error = 0;
      auto stream = co_await net::Stream::Connect(scope_, *to, loop_.Now() + 1, &error);
      EXPECT_TRUE(stream);
      if (!stream) co_return;
      co_await stream->Write(scope_, bytes, loop_.Now() + 1);
      co_await Pause(0.1);
    }
    co_await Pause(5 * kHeartbeatIntervalS);
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(HasState(i, MemberState::kAlive)) << i;
    EXPECT_EQ(state_->Value(store::MemberKey("node-77")), "");
  }

  async::Task<> RunWithMembershipOff() {
    co_await StartOthersOnceNode0Leads();
    state_->SetWriteHook([this](const std::string& key, const std::string& /*value*/) {
      if (store::IsKeyOfKind<store::MemberKeyName>(key)) ++member_writes_;
    });
    co_await RunJob(1);
    co_await ShutDownAndWait(0);
    co_await Pause(5 * kHeartbeatIntervalS);
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

TEST_F(MembershipNodesTest, LeaderThatShutsDownHandsOverAtOnce) {
  operator_options_.leader_ttl_ratio = 20;
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(LeaderShutsDown());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(MembershipNodesTest, LeaderDeclaredFailedRejoinsAndStartsNoTaskTwice) {
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(LeaderIsDeclaredFailed());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(MembershipNodesTest, SingleNodeDeclaredFailedReplacesItsLease) {
  Start(1);
  Run(SingleNodeIsDeclaredFailed());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(MembershipNodesTest, MembersCommandShowsTheTableOfEachNode) {
  Start(3);
  Run(QueryMembers());
}

TEST_F(MembershipNodesTest, NodeWithMembershipOffAcceptsJobsAndIsNeverDeclaredFailed) {
  StartServices(3);
  Run(OneNodeHasMembershipOff());
}

TEST_F(MembershipNodesTest, MalformedFramesAndUnknownSendersChangeNoRecord) {
  Start(3);
  Run(SendMalformedFrames());
}

TEST_F(MembershipNodesTest, WritesNoMemberRecordsWhenOff) {
  operator_options_.membership.enabled = false;
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(RunWithMembershipOff());
}

TEST(MembersCommand, ExitsWithStatus1WhenNoNodeIsReachable) {
  config::Settings settings = TestSettings();
  settings.peer_bind = "127.0.0.1:1";
  settings.seeds = {{"node-1", "a", "127.0.0.1:1"}};
  EXPECT_EQ(cli::RunMembersCommand(settings, false), 1);
  const auto responses = cli::AskMembers(settings, 1);
  EXPECT_EQ(SchemaErrors(cli::MembersJson(responses)), "");
  EXPECT_EQ(responses.size(), 2U);
}

}  // namespace
}  // namespace hallpier
