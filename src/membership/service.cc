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
// Weight of the newest tick in the smoothed delay of the event loop.
constexpr double kLoopDelayWeight = 0.2;
// Limit on the unanswered probes that are remembered for each node.
constexpr size_t kMaxOutstandingProbes = 64;
// A node whose links break this many times in a row without a response to a probe does not support
// probes, although its recorded format says that it does: it was downgraded to an older version.
constexpr int kMaxUnansweredLinks = 2;
// How often leadership is reviewed per heartbeat interval.
constexpr double kReviewsPerHeartbeat = 4;
// Probe intervals for which other nodes wait before they try to lead, so that a named successor can
// go first.
constexpr double kSuccessorHeadStartProbes = 4;
// A shutdown waits at most this part of a heartbeat interval for the leader's lease to be revoked.
constexpr double kLeaveTimeoutIntervals = 0.5;
constexpr double kLeasePollsBeforeLeaving = 20;

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

HandoverPolicy::Options HandoverOptions(const config::Settings& settings,
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
      return "failure";
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
      handover_policy_(HandoverOptions(*deps_.settings, *deps_.options)),
      heartbeat_counter_(
          HandoverPolicy::kHeartbeatCountIntervals * deps_.settings->heartbeat_interval_s, Now()),
      next_tick_at_(Now() + probe_s_),
      last_handled_pause_(Now()) {
  for (const std::string& node : deps_.settings->OtherNodes()) links_[node];
}

async::Task<> Service::Run() {
  while (!scope_.cancelled()) {
    if (!deps_.cache->loaded()) {
      auto wait = deps_.cache->changed().Await(scope_, probe_s_);
      co_await wait;
      next_tick_at_ = Now();
      continue;
    }
    Tick();
    async::Sleep pause(scope_, std::max(0.0, next_tick_at_ - Now()));
    co_await pause;
  }
}

void Service::Tick() {
  const double now = Now();
  const double late_s = std::max(0.0, now - next_tick_at_);
  loop_delay_s_ += kLoopDelayWeight * (late_s - loop_delay_s_);
  next_tick_at_ = now + probe_s_;
  HandlePause(now);
  table_.SetFitness(CurrentFitness(now));
  for (Proposal& proposal : table_.Tick(now, !deps_.client->down())) {
    scope_.Spawn(ExecuteProposal(std::move(proposal)));
  }
  ReviewLeadership(now);
  SendProbes(now);
}

void Service::HandlePause(double now) {
  const double resumed_at = scope_.loop().resumed_at();
  if (resumed_at <= last_handled_pause_) return;
  last_handled_pause_ = resumed_at;
  table_.OnPause(now);
  handover_policy_.OnPause();
  heartbeat_counter_.Reset(now);
}

model::LeadershipFitness Service::CurrentFitness(double now) {
  model::LeadershipFitness fitness;
  fitness.leading = deps_.election->leading();
  fitness.reaches_state_service = deps_.cache->loaded() && !deps_.client->down();
  fitness.event_loop_lag_ms = static_cast<uint64_t>(loop_delay_s_ * kMsPerS);
  fitness.recent_heartbeats = heartbeat_counter_.Last(now);
  return fitness;
}

bool Service::MayProbe(const std::string& node, const Link& link, double now) const {
  return now >= link.next_probe_at && deps_.supports_membership(node);
}

void Service::SendProbes(double now) {
  const wire::MemberStatus status = table_.Status(now);
  for (auto& [node, link] : links_) {
    if (!MayProbe(node, link, now)) continue;
    link.sent_probes[++sequence_] = now;
    if (link.sent_probes.size() > kMaxOutstandingProbes)
      link.sent_probes.erase(link.sent_probes.begin());
    link.probed = true;
    deps_.send(node, wire::MemberProbe{sequence_, status});
  }
}

void Service::OnLink(const std::string& node, bool up) {
  auto it = links_.find(node);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.sent_probes.clear();
  if (!up && link.probed) {
    link.unanswered_links = link.answered ? 0 : link.unanswered_links + 1;
    if (link.unanswered_links >= kMaxUnansweredLinks) {
      link.next_probe_at = Now() + deps_.settings->lease_s;
    }
  }
  link.probed = link.answered = false;
}

void Service::OnConnectionRefused(const std::string& node) { table_.OnConnectionRefused(node); }

void Service::OnStatusAnswered(const std::string& node, double requested_at) {
  table_.OnStatusAnswered(node, requested_at);
}

wire::MemberProbeResponse Service::OnProbe(const wire::MemberProbe& probe) {
  table_.OnProbe(probe.status);
  return {probe.sequence, table_.Status(Now())};
}

void Service::OnProbeResponse(const std::string& node, const wire::MemberProbeResponse& response) {
  auto it = links_.find(node);
  if (it == links_.end()) return;
  Link& link = it->second;
  auto sent = link.sent_probes.find(response.sequence);
  if (sent == link.sent_probes.end()) return;
  if (response.status.node != node) {
    spdlog::warn("membership: answer from an unexpected node: node={} reported={}", node,
                 response.status.node);
    return;
  }
  const double sent_at = sent->second;
  link.sent_probes.erase(sent);
  link.answered = true;
  table_.OnProbeResponse(response.status, sent_at, Now());
}

void Service::OnHeartbeat() { heartbeat_counter_.Add(Now()); }

void Service::OnRecord(const std::string& node, const std::string& value) {
  const std::optional<MemberRecord> record = value.empty() ? std::nullopt : ReadMember(value);
  if (!value.empty() && !record) {
    spdlog::warn("membership: a malformed record is treated as missing: node={}", node);
  }
  const uint64_t version = value.empty() ? 0 : deps_.cache->Version(store::MemberKey(node));
  table_.OnRecord(node, record, version, Now());
  if (table_.DeclaredFailed() && logged_failed_session_ != table_.incarnation().session) {
    logged_failed_session_ = table_.incarnation().session;
    spdlog::warn(
        "membership: this node was declared failed and rejoins as a new session: session={} by={} "
        "reason={}",
        logged_failed_session_, record ? record->by : "", record ? record->reason : "");
  }
  ReviewLeadership(Now());
}

void Service::OnLeaderRecord() {
  const std::string leader = deps_.election->leader();
  if (leader.empty() || leader == last_leader_) return;
  handover_from_ = last_leader_;
  handover_to_ = leader;
  handover_at_ = Now();
  last_leader_ = leader;
  handover_policy_.OnLeaderChanged(handover_at_);
  if (leader != deps_.settings->node) table_.SetSuccessor("");
}

void Service::ReviewLeadership(double now) {
  election::LeaderElection& election = *deps_.election;
  if (!election.leading()) {
    // Revokes the lease of a leader that was declared failed. It can't have been elected again
    // since then: it would have had to rejoin first, and then its record would not say "failed".
    if (table_.Failed(election.leader())) election.OnNodeFailed(election.leader());
    return;
  }
  if (table_.DeclaredFailed()) election.Resign(0, "this node was declared failed");
  if (table_.Superseded()) {
    election.Resign(deps_.settings->lease_s, "another process runs under this node's name");
  }
  if (now < next_review_at_ || !heartbeat_counter_.Complete(now)) return;
  next_review_at_ = now + deps_.settings->heartbeat_interval_s / kReviewsPerHeartbeat;
  auto handover = handover_policy_.Decide(CurrentFitness(now), deps_.expected_machines(),
                                          table_.ResponsiveMemberFitness(now), now);
  if (!handover) return;
  table_.SetSuccessor(handover->to);
  SendProbes(now);
  election.Resign(deps_.settings->lease_s, handover->reason + "; " + handover->to + " takes over");
}

double Service::AcquireDelayS() const {
  const std::string successor = table_.SuccessorNamedByOthers(Now());
  const bool names_another = !successor.empty() && successor != deps_.settings->node;
  return names_another ? kSuccessorHeadStartProbes * probe_s_ : 0;
}

async::Task<bool> Service::CommitProposal(const Proposal& proposal) {
  const std::string key = store::MemberKey(proposal.node);
  const std::string value = WriteMember(proposal.record);
  std::vector<model::KeyWrite> writes = {{key, value, 0}};
  const double requested_at = Now();
  auto result = co_await deps_.client->Commit(proposal.preconditions, std::move(writes),
                                              store::RequestPriority::kUrgent);
  if (result.ok()) {
    table_.OnStateRoundTrip(Now() - requested_at);
    deps_.cache->ApplyAheadOfWatch(key, value, result.value.revision);
    co_return true;
  }
  if (result.status == store::Status::kConflict) {
    for (const std::string& failed_key : result.value.failed) {
      bool read = co_await deps_.cache->Refresh(failed_key);
      if (!read) break;
    }
  }
  co_return false;
}

async::Task<> Service::ExecuteProposal(Proposal proposal) {
  bool written = co_await CommitProposal(proposal);
  if (written) {
    spdlog::info("membership: recorded: change={} node={} session={} refutation={}{}",
                 KindName(proposal.kind), proposal.node, proposal.record.incarnation.session,
                 proposal.record.incarnation.refutation,
                 proposal.record.reason.empty() ? "" : " reason=" + proposal.record.reason);
  }
  table_.OnProposalDone(proposal.node, Now());
}

async::Task<> Service::Leave() {
  table_.SetLeaving();
  SendProbes(Now());
  deps_.election->Resign(deps_.settings->lease_s, "this node is shutting down");
  const double limit_s = kLeaveTimeoutIntervals * deps_.settings->heartbeat_interval_s;
  const double deadline = Now() + limit_s;
  while (!scope_.cancelled() && deps_.election->holds_lease() && Now() < deadline) {
    async::Sleep pause(scope_, limit_s / kLeasePollsBeforeLeaving);
    co_await pause;
  }
  auto leave = table_.ProposeLeave();
  if (!leave || deps_.client->down()) co_return;
  bool written = co_await CommitProposal(*leave);
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
