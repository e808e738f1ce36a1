#include "cli/members_command.h"

#include <fmt/format.h>

#include <cstdio>

#include "async/wait.h"
#include "membership/member_record.h"
#include "net/address.h"
#include "net/stream.h"
#include "wire/frame.h"
#include "wire/json.h"
#include "wire/peer_codec.h"
#include "wire/varint.h"

namespace hallpier::cli {
namespace {

constexpr double kTimeoutS = 3;
constexpr double kMsPerS = 1000;
// Exit statuses.
constexpr int kAnswered = 0;
constexpr int kNoAnswer = 1;

// A controller from the settings and the address on which it listens for peers.
struct Target {
  std::string node;
  std::string endpoint;
};

// Returns this controller and all others from the settings.
std::vector<Target> Targets(const config::Settings& settings) {
  std::vector<Target> targets = {{settings.node, settings.peer_bind}};
  for (config::Seed& seed : settings.OtherSeeds()) {
    targets.push_back({std::move(seed.node), std::move(seed.endpoint)});
  }
  return targets;
}

// Parses a controller's response; returns an error if it is not a members report.
MembersResponse ReadAnswer(const std::string& node, const std::string& payload) {
  auto message = wire::ReadPeerMessage(payload);
  if (!message) {
    return {node, std::nullopt, "gives an answer that can't be read: " + message.error().reason};
  }
  if (auto* report = std::get_if<wire::MembersReport>(&*message)) {
    return {node, std::move(*report), {}};
  }
  return {node, std::nullopt, fmt::format("answers with {}", wire::PeerMessageName(*message))};
}

async::Task<MembersResponse> Ask(async::Scope& scope, Target target, double deadline) {
  auto address = net::ParseAddress(target.endpoint);
  int error = 0;
  std::optional<net::Stream> stream =
      co_await net::Stream::Connect(scope, *address, deadline, &error);
  if (!stream) {
    co_return MembersResponse{target.node, std::nullopt, "can't be reached at " + target.endpoint};
  }
  const std::string request = wire::EncodeFrame(wire::WritePeerMessage(wire::MembersRequest{}));
  bool connected = co_await stream->Write(scope, request, deadline);
  wire::FrameDecoder frames(wire::kMaxPeerFrameBytes);
  while (connected && !frames.corrupt()) {
    if (auto payload = frames.Next()) co_return ReadAnswer(target.node, *payload);
    std::string data;
    connected = co_await stream->Read(scope, data, deadline);
    frames.Feed(data);
  }
  co_return MembersResponse{target.node, std::nullopt, "gives no answer; its version may be older"};
}

// Asks one controller and stores its response in `response`.
async::Task<> AskInto(async::Scope& scope, Target target, double deadline,
                      MembersResponse* response) {
  MembersResponse received = co_await Ask(scope, std::move(target), deadline);
  *response = std::move(received);
}

// Asks all controllers at once, then stops the loop.
async::Task<> AskAll(async::EventLoop& loop, const std::vector<Target>& targets, double timeout_s,
                     std::vector<MembersResponse>* responses) {
  async::Scope scope(loop);
  const double deadline = loop.Now() + timeout_s;
  for (size_t i = 0; i < targets.size(); ++i) {
    scope.Spawn(AskInto(scope, targets[i], deadline, &responses->at(i)));
  }
  co_await scope.Join();
  loop.Stop();
}

double Seconds(uint64_t milliseconds) { return static_cast<double>(milliseconds) / kMsPerS; }

std::string RowText(const wire::MemberRow& row) {
  const std::string state(row.has_record ? membership::StateName(row.state) : "no record");
  std::string line =
      fmt::format("  {:<20} {:<9} {:>8.1f} s  session {:<4} refuted {:<3}{}", row.node, state,
                  Seconds(row.state_age_ms), row.incarnation.session, row.incarnation.refutation,
                  row.leading ? "  leads" : "");
  if (!row.suspected_by.empty()) {
    line += fmt::format("  suspected by {}", fmt::join(row.suspected_by, ", "));
  }
  if (!row.reason.empty()) line += fmt::format(" ({})", row.reason);
  return line + "\n";
}

void WriteRow(wire::JsonWriter& writer, const wire::MemberRow& row) {
  writer.StartObject();
  writer.Field("node").Text(row.node);
  writer.Field("state").Text(row.has_record ? membership::StateName(row.state) : "unknown");
  writer.Field("sinceS").Double(Seconds(row.state_age_ms));
  writer.Field("session").Uint64(row.incarnation.session);
  writer.Field("refutation").Uint64(row.incarnation.refutation);
  writer.Field("leading").Bool(row.leading);
  writer.Field("suspectedBy").StartArray();
  for (const std::string& node : row.suspected_by) writer.Text(node);
  writer.EndArray();
  writer.Field("reason").TextOrNull(row.reason);
  writer.EndObject();
}

void WriteHandover(wire::JsonWriter& writer, const wire::MembersReport& report) {
  writer.Field("lastHandover");
  if (report.handover_to.empty()) {
    writer.Null();
    return;
  }
  writer.StartObject();
  writer.Field("from").TextOrNull(report.handover_from);
  writer.Field("to").Text(report.handover_to);
  writer.Field("agoS").Double(Seconds(report.handover_ms_ago));
  writer.EndObject();
}

void WriteResponse(wire::JsonWriter& writer, const MembersResponse& response) {
  writer.StartObject();
  writer.Field("node").Text(response.node);
  writer.Field("answered").Bool(response.report.has_value());
  writer.Field("error").TextOrNull(response.error);
  if (response.report) {
    writer.Field("enabled").Bool(response.report->enabled);
    writer.Field("members").StartArray();
    for (const wire::MemberRow& row : response.report->rows) WriteRow(writer, row);
    writer.EndArray();
    WriteHandover(writer, *response.report);
  }
  writer.EndObject();
}

}  // namespace

std::vector<MembersResponse> AskMembers(const config::Settings& settings, double timeout_s) {
  const std::vector<Target> targets = Targets(settings);
  std::vector<MembersResponse> responses(targets.size());
  async::EventLoop loop;
  async::Scope scope(loop);
  scope.Spawn(AskAll(loop, targets, timeout_s, &responses));
  loop.Run();
  return responses;
}

std::string MembersText(const std::vector<MembersResponse>& responses) {
  std::string text;
  for (const MembersResponse& response : responses) {
    if (!response.report) {
      text += fmt::format("{}: {}\n", response.node, response.error);
      continue;
    }
    if (!response.report->enabled) {
      text += fmt::format("{}: membership is disabled on this controller\n", response.node);
      continue;
    }
    text += fmt::format("members as seen by {}:\n", response.node);
    for (const wire::MemberRow& row : response.report->rows) text += RowText(row);
    if (!response.report->handover_to.empty()) {
      const std::string& from = response.report->handover_from;
      text +=
          fmt::format("  last handover: {} to {}, {:.1f} s ago\n", from.empty() ? "nobody" : from,
                      response.report->handover_to, Seconds(response.report->handover_ms_ago));
    }
  }
  return text;
}

std::string MembersJson(const std::vector<MembersResponse>& responses) {
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("controllers").StartArray();
  for (const MembersResponse& response : responses) WriteResponse(writer, response);
  writer.EndArray();
  writer.EndObject();
  return writer.Take();
}

int RunMembersCommand(const config::Settings& settings, bool json) {
  const std::vector<MembersResponse> responses = AskMembers(settings, kTimeoutS);
  const std::string text = json ? MembersJson(responses) + "\n" : MembersText(responses);
  std::fputs(text.c_str(), stdout);
  for (const MembersResponse& response : responses) {
    if (response.report) return kAnswered;
  }
  std::fputs("no controller answered\n", stderr);
  return kNoAnswer;
}

}  // namespace hallpier::cli
