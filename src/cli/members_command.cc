#include "cli/members_command.h"

#include <fmt/format.h>

#include <cstdio>

#include "async/wait.h"
#include "membership/record.h"
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
constexpr int kNobodyAnswered = 1;

struct Target {
  std::string node;
  std::string endpoint;
};

std::vector<Target> Targets(const config::Settings& settings) {
  std::vector<Target> targets = {{settings.node, settings.peer_bind}};
  for (config::Seed& seed : settings.OtherSeeds()) {
    targets.push_back({std::move(seed.node), std::move(seed.endpoint)});
  }
  return targets;
}

void TakeAnswer(const std::string& payload, MembersAnswer* answer) {
  auto message = wire::ReadPeerMessage(payload);
  if (!message) {
    answer->error = "gives an answer that can't be read: " + message.error().reason;
    return;
  }
  if (auto* report = std::get_if<wire::MembersReport>(&*message)) {
    answer->report = std::move(*report);
    return;
  }
  answer->error = fmt::format("answers with {}", wire::PeerMessageName(*message));
}

async::Task<> Ask(async::Scope& scope, Target target, double deadline, MembersAnswer* answer) {
  answer->node = target.node;
  auto to = net::ParseAddress(target.endpoint);
  int error = 0;
  std::optional<net::Stream> stream = co_await net::Stream::Connect(scope, *to, deadline, &error);
  if (!stream) {
    answer->error = "can't be reached at " + target.endpoint;
    co_return;
  }
  const std::string request = wire::Frame(wire::WritePeerMessage(wire::MembersRequest{}));
  bool open = co_await stream->Write(scope, request, deadline);
  wire::FrameBuffer frames(wire::kMaxPeerFrame);
  while (open && !frames.corrupt()) {
    if (auto payload = frames.Next()) {
      TakeAnswer(*payload, answer);
      co_return;
    }
    std::string data;
    open = co_await stream->Read(scope, data, deadline);
    frames.Feed(data);
  }
  answer->error = "gives no answer; its version may be older";
}

async::Task<> AskAll(async::EventLoop& loop, const std::vector<Target>& targets, double timeout_s,
                     std::vector<MembersAnswer>* answers) {
  async::Scope scope(loop);
  const double deadline = loop.Now() + timeout_s;
  for (size_t i = 0; i < targets.size(); ++i) {
    scope.Spawn(Ask(scope, targets[i], deadline, &answers->at(i)));
  }
  co_await scope.Join();
  loop.Stop();
}

double Seconds(uint64_t ms) { return static_cast<double>(ms) / kMsPerS; }

std::string RowText(const wire::MemberRow& row) {
  const std::string state(row.known ? membership::StateName(row.state) : "no record");
  std::string line = fmt::format("  {:<20} {:<9} {:>8.1f} s  session {:<4} refuted {:<3}{}",
                                 row.node, state, Seconds(row.since_ms), row.incarnation.session,
                                 row.incarnation.refutation, row.leading ? "  leads" : "");
  if (!row.suspected_by.empty()) {
    line += fmt::format("  suspected by {}", fmt::join(row.suspected_by, ", "));
  }
  if (!row.reason.empty()) line += fmt::format(" ({})", row.reason);
  return line + "\n";
}

void WriteRow(wire::JsonWriter& w, const wire::MemberRow& row) {
  w.StartObject();
  w.Field("node").Text(row.node);
  w.Field("state").Text(row.known ? membership::StateName(row.state) : "unknown");
  w.Field("sinceS").Double(Seconds(row.since_ms));
  w.Field("session").Uint64(row.incarnation.session);
  w.Field("refutation").Uint64(row.incarnation.refutation);
  w.Field("leading").Bool(row.leading);
  w.Field("suspectedBy").StartArray();
  for (const std::string& node : row.suspected_by) w.Text(node);
  w.EndArray();
  w.Field("reason").TextOrNull(row.reason);
  w.EndObject();
}

void WriteHandover(wire::JsonWriter& w, const wire::MembersReport& report) {
  w.Field("lastHandover");
  if (report.handover_to.empty()) {
    w.Null();
    return;
  }
  w.StartObject();
  w.Field("from").TextOrNull(report.handover_from);
  w.Field("to").Text(report.handover_to);
  w.Field("agoS").Double(Seconds(report.handover_ms_ago));
  w.EndObject();
}

void WriteAnswer(wire::JsonWriter& w, const MembersAnswer& answer) {
  w.StartObject();
  w.Field("node").Text(answer.node);
  w.Field("answered").Bool(answer.report.has_value());
  w.Field("error").TextOrNull(answer.error);
  if (answer.report) {
    w.Field("enabled").Bool(answer.report->enabled);
    w.Field("members").StartArray();
    for (const wire::MemberRow& row : answer.report->rows) WriteRow(w, row);
    w.EndArray();
    WriteHandover(w, *answer.report);
  }
  w.EndObject();
}

}  // namespace

std::vector<MembersAnswer> AskMembers(const config::Settings& settings, double timeout_s) {
  const std::vector<Target> targets = Targets(settings);
  std::vector<MembersAnswer> answers(targets.size());
  async::EventLoop loop;
  async::Scope scope(loop);
  scope.Spawn(AskAll(loop, targets, timeout_s, &answers));
  loop.Run();
  return answers;
}

std::string MembersText(const std::vector<MembersAnswer>& answers) {
  std::string text;
  for (const MembersAnswer& answer : answers) {
    if (!answer.report) {
      text += fmt::format("{}: {}\n", answer.node, answer.error);
      continue;
    }
    if (!answer.report->enabled) {
      text += fmt::format("{}: membership is off there\n", answer.node);
      continue;
    }
    text += fmt::format("as {} sees it:\n", answer.node);
    for (const wire::MemberRow& row : answer.report->rows) text += RowText(row);
    if (!answer.report->handover_to.empty()) {
      const std::string& from = answer.report->handover_from;
      text +=
          fmt::format("  last handover: {} to {}, {:.1f} s ago\n", from.empty() ? "nobody" : from,
                      answer.report->handover_to, Seconds(answer.report->handover_ms_ago));
    }
  }
  return text;
}

std::string MembersJson(const std::vector<MembersAnswer>& answers) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("controllers").StartArray();
  for (const MembersAnswer& answer : answers) WriteAnswer(w, answer);
  w.EndArray();
  w.EndObject();
  return w.Take();
}

int RunMembersCommand(const config::Settings& settings, bool json) {
  const std::vector<MembersAnswer> answers = AskMembers(settings, kTimeoutS);
  const std::string text = json ? MembersJson(answers) + "\n" : MembersText(answers);
  std::fputs(text.c_str(), stdout);
  for (const MembersAnswer& answer : answers) {
    if (answer.report) return 0;
  }
  std::fputs("no controller could be reached\n", stderr);
  return kNobodyAnswered;
}

}  // namespace hallpier::cli
