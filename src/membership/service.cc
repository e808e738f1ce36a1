#include "membership/service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "config/operator_options.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::membership {
namespace {

constexpr double kMsPerS = 1000;
// Weight of the newest turn in the mean delay of turns.
constexpr double kTurnWeight = 0.2;
// Probes whose answers are still waited for, for each node.
constexpr size_t kMaxAsked = 64;
// A node whose links break so often in a row without an answer to a probe does not understand them,
// whatever its mark says: it was put back to an older version.
constexpr int kMaxUnansweredLinks = 2;
// Reviews of the lead in a report period.
constexpr double kReviews = 4;
// Time for which a named successor is left alone, in intervals of probes.
constexpr double kSuccessorIntervals = 4;
// An orderly end waits this part of a report period at the most until the lease has been ended.
constexpr double kLeavePart = 0.5;
constexpr double kLeavePolls = 20;

MemberTable::Options TableOptions(const config::Settings& settings,
                                  const config::MembershipOptions& options) {
  std::random_device device;
  std::uniform_int_distribution<uint64_t> draw(1);
  return {.node = settings.node,
          .others = settings.OtherNodes(),
          .probes = {options.probe_ratio * settings.heartbeat_interval_s, options.missed_probes},
          .confirm_probes = options.confirm_probes,
          .instance = draw(device)};
}

HandoverPolicy::Options YieldOptions(const config::Settings& settings,
                                     const config::MembershipOptions& options) {
  return {.heartbeat_interval_s = settings.heartbeat_interval_s,
          .lease_s = settings.lease_s,
          .min_handover_interval_leases = options.yield_leases,
          .max_relayed_leases = election::LeaderElection::kMaxRelayedRenewalRatio};
}

std::string_view KindName(Proposal::Kind kind) {
  switch (kind) {
    case Proposal::Kind::kJoin:
      return "join";
    case Proposal::Kind::kRefute:
      return "refutation";
    case Proposal::Kind::kSuspect:
      return "suspicion";
    case Proposal::Kind::kDeclareFailed:
      return "verdict";
    case Proposal::Kind::kLeave:
      return "leave";
  }
  return "";
}

}  // namespace

Service::Service(async::Scope& scope, Dependencies dependencies)
    : scope_(scope),
      deps_(std::move(dependencies)),
      probe_s_(deps_.options->probe_ratio * deps_.settings->heartbeat_interval_s),
      table_(TableOptions(*deps_.settings, *deps_.options), Now()),
      yield_policy_(YieldOptions(*deps_.settings, *deps_.options)),
      reports_(HandoverPolicy::kCountedPart * deps_.settings->heartbeat_interval_s, Now()),
      next_tick_(Now() + probe_s_),
      pause_seen_(Now()) {
  for (const std::string& node : deps_.settings->OtherNodes()) links_[node];
}

async::Task<> Service::Run() {
  while (!scope_.cancelled()) {
    if (!deps_.cache->loaded()) {
      auto wait = deps_.cache->changed().Await(scope_, probe_s_);
      co_await wait;
      next_tick_ = Now();
      continue;
    }
    Tick();
    async::Sleep pause(scope_, std::max(0.0, next_tick_ - Now()));
    co_await pause;
  }
}

void Service::Tick() {
  const double now = Now();
  const double late_s = std::max(0.0, now - next_tick_);
  turn_delay_s_ += kTurnWeight * (late_s - turn_delay_s_);
  next_tick_ = now + probe_s_;
  NotePause(now);
  table_.SetVitals(Vitals(now));
  for (Proposal& proposal : table_.Tick(now, !deps_.client->down())) {
    scope_.Spawn(Carry(std::move(proposal)));
  }
  ReviewLead(now);
  SendProbes(now);
}

void Service::NotePause(double now) {
  const double resumed_at = scope_.loop().resumed_at();
  if (resumed_at <= pause_seen_) return;
  pause_seen_ = resumed_at;
  table_.OnPause(now);
  yield_policy_.OnPause();
  reports_.Reset(now);
}

model::MemberVitals Service::Vitals(double now) {
  model::MemberVitals vitals;
  vitals.leading = deps_.election->leading();
  vitals.state_direct = deps_.cache->loaded() && !deps_.client->down();
  vitals.turn_delay_ms = static_cast<uint64_t>(turn_delay_s_ * kMsPerS);
  vitals.worker_reports = reports_.Last(now);
  return vitals;
}

bool Service::MayProbe(const std::string& node, const Link& link, double now) const {
  return now >= link.not_before && deps_.understands(node);
}

void Service::SendProbes(double now) {
  const wire::MemberStatus status = table_.Status(now);
  for (auto& [node, link] : links_) {
    if (!MayProbe(node, link, now)) continue;
    link.asked[++sequence_] = now;
    if (link.asked.size() > kMaxAsked) link.asked.erase(link.asked.begin());
    link.probed = true;
    deps_.send(node, wire::MemberProbe{sequence_, status});
  }
}

void Service::OnLink(const std::string& node, bool up) {
  auto it = links_.find(node);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.asked.clear();
  if (!up && link.probed) {
    link.unanswered_links = link.answered ? 0 : link.unanswered_links + 1;
    if (link.unanswered_links >= kMaxUnansweredLinks) {
      link.not_before = Now() + deps_.settings->lease_s;
    }
  }
  link.probed = link.answered = false;
}

void Service::OnConnectionRefused(const std::string& node) { table_.OnConnectionRefused(node); }

void Service::OnStatusAnswered(const std::string& node, double asked) {
  table_.OnStatusAnswered(node, asked);
}

wire::MemberAnswer Service::OnProbe(const wire::MemberProbe& probe) {
  table_.OnProbe(probe.status);
  return {probe.sequence, table_.Status(Now())};
}

void Service::OnAnswer(const std::string& node, const wire::MemberAnswer& answer) {
  auto it = links_.find(node);
  if (it == links_.end()) return;
  Link& link = it->second;
  auto asked = link.asked.find(answer.sequence);
  if (asked == link.asked.end()) return;
  if (answer.status.node != node) {
    spdlog::warn("membership: the node at {}'s address calls itself {}", node, answer.status.node);
    return;
  }
  const double at = asked->second;
  link.asked.erase(asked);
  link.answered = true;
  table_.OnAnswer(answer.status, at, Now());
}

void Service::OnWorkerReport() { reports_.Add(Now()); }

void Service::OnRecord(const std::string& node, const std::string& value) {
  const std::optional<MemberRecord> record = value.empty() ? std::nullopt : ReadMember(value);
  if (!value.empty() && !record) {
    spdlog::warn("membership: the record of {} can't be read; it counts as none", node);
  }
  const uint64_t version = value.empty() ? 0 : deps_.cache->Version(store::MemberKey(node));
  table_.OnRecord(node, record, version, Now());
  if (table_.Judged() && judged_session_ != table_.incarnation().session) {
    judged_session_ = table_.incarnation().session;
    spdlog::warn(
        "membership: session {} was judged as failed by {}: {}; nothing from before is "
        "acted on, and this node joins again",
        judged_session_, record ? record->by : "", record ? record->reason : "");
  }
  ReviewLead(Now());
}

void Service::OnLeaderRecord() {
  const std::string leader = deps_.election->leader();
  if (leader.empty() || leader == leader_) return;
  handover_from_ = leader_;
  handover_to_ = leader;
  handover_at_ = Now();
  leader_ = leader;
  yield_policy_.OnLeaderChanged(handover_at_);
  if (leader != deps_.settings->node) table_.SetYieldsTo("");
}

void Service::ReviewLead(double now) {
  election::LeaderElection& election = *deps_.election;
  if (!election.leading()) {
    // A judged leader's lease is ended for it. It can't have led again since: it must have joined
    // anew for that, and its record would say so.
    if (table_.Failed(election.leader())) election.OnNodeFailed(election.leader());
    return;
  }
  if (table_.Judged()) election.Resign(0, "this node was judged as failed");
  if (table_.Superseded()) {
    election.Resign(deps_.settings->lease_s, "another process runs under this node's name");
  }
  if (now < next_review_ || !reports_.Complete(now)) return;
  next_review_ = now + deps_.settings->heartbeat_interval_s / kReviews;
  auto yield = yield_policy_.Decide(Vitals(now), deps_.machines(), table_.FreshVitals(now), now);
  if (!yield) return;
  table_.SetYieldsTo(yield->to);
  SendProbes(now);
  election.Resign(deps_.settings->lease_s, yield->reason + "; " + yield->to + " is to lead");
}

double Service::TakeDelayS() const {
  const std::string successor = table_.SuccessorNamedByOthers(Now());
  const bool another = !successor.empty() && successor != deps_.settings->node;
  return another ? kSuccessorIntervals * probe_s_ : 0;
}

async::Task<bool> Service::Write(const Proposal& proposal) {
  const std::string key = store::MemberKey(proposal.node);
  const std::string value = WriteMember(proposal.record);
  std::vector<model::KeyWrite> writes = {{key, value, 0}};
  const double asked = Now();
  auto r = co_await deps_.client->Commit(proposal.preconditions, std::move(writes),
                                         store::RequestPriority::kUrgent);
  if (r.ok()) {
    table_.OnStateRoundTrip(Now() - asked);
    deps_.cache->ApplyAheadOfWatch(key, value, r.value.revision);
    co_return true;
  }
  if (r.status == store::Status::kConflict) {
    for (const std::string& failed : r.value.failed) {
      bool read = co_await deps_.cache->Refresh(failed);
      if (!read) break;
    }
  }
  co_return false;
}

async::Task<> Service::Carry(Proposal proposal) {
  bool written = co_await Write(proposal);
  if (written) {
    spdlog::info("membership: {} of {} recorded (session {}, refutation {}){}",
                 KindName(proposal.kind), proposal.node, proposal.record.incarnation.session,
                 proposal.record.incarnation.refutation,
                 proposal.record.reason.empty() ? "" : ": " + proposal.record.reason);
  }
  table_.OnProposalDone(proposal.node, Now());
}

async::Task<> Service::Leave() {
  table_.SetLeaving();
  SendProbes(Now());
  deps_.election->Resign(deps_.settings->lease_s, "this node ends");
  const double limit_s = kLeavePart * deps_.settings->heartbeat_interval_s;
  const double end = Now() + limit_s;
  while (!scope_.cancelled() && deps_.election->holds_lease() && Now() < end) {
    async::Sleep pause(scope_, limit_s / kLeavePolls);
    co_await pause;
  }
  auto leave = table_.Leave();
  if (!leave || deps_.client->down()) co_return;
  bool written = co_await Write(*leave);
  if (written) spdlog::info("membership: this node has left");
}

wire::MembersReport Service::Report() const {
  const double now = Now();
  wire::MembersReport report;
  report.node = deps_.settings->node;
  report.enabled = true;
  report.rows = table_.Rows(now);
  const std::string leader = deps_.election->leader();
  for (wire::MemberRow& row : report.rows) row.leading = row.node == leader;
  report.handover_from = handover_from_;
  report.handover_to = handover_to_;
  if (!handover_to_.empty()) {
    report.handover_ms_ago = static_cast<uint64_t>((now - handover_at_) * kMsPerS);
  }
  return report;
}

}  // namespace hallpier::membership
