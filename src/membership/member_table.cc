#include "membership/member_table.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "store/keys.h"

namespace hallpier::membership {
namespace {

constexpr double kMsPerS = 1000;
// If a tick comes more than this many probe intervals after the previous one, the process was
// paused.
constexpr double kPauseThresholdIntervals = 2.5;
// Other nodes' observations are up to this many probe intervals old when they arrive.
constexpr double kObservationDelayIntervals = 2;
// Minimum number of probe intervals between a proposal and the next one for the same node.
constexpr double kProposalRetryIntervals = 2;
// A recorded suspicion must stay unrefuted for at least this many round trips to the state service,
// since the suspect has to learn of it there and to refute it.
constexpr double kMinConfirmRoundTrips = 4;
// A node waits at most this many confirmation times for observers that neither hear a member nor
// suspect it.
constexpr double kMaxAbstentionConfirmations = 4;
// Limits how many nodes that are missing from the settings are named in the log.
constexpr size_t kMaxUnknownReported = 16;

bool IsMember(const std::optional<MemberRecord>& record) {
  return record && (record->state == model::MemberState::kAlive ||
                    record->state == model::MemberState::kSuspect);
}

}  // namespace

MemberTable::MemberTable(Options options, double now)
    : options_(std::move(options)), last_tick_(now) {
  for (const std::string& node : options_.others) {
    if (node == options_.node) continue;
    members_.emplace(node, Member(options_.probes, now));
  }
}

MemberTable::Member* MemberTable::FindMember(const std::string& node) {
  auto it = members_.find(node);
  if (it != members_.end()) return &it->second;
  if (node != options_.node && unknown_nodes_reported_.size() < kMaxUnknownReported &&
      unknown_nodes_reported_.insert(node).second) {
    spdlog::warn("membership: ignoring a node that is not in the settings: node={}", node);
  }
  return nullptr;
}

void MemberTable::OnRecord(const std::string& node, const std::optional<MemberRecord>& record,
                           uint64_t version, double now) {
  if (node == options_.node) {
    OnOwnRecord(record, version);
    return;
  }
  Member* member = FindMember(node);
  if (member == nullptr) return;
  const bool new_session = record && (!member->record || record->incarnation.session >
                                                             member->record->incarnation.session);
  const bool refuted = record && member->record && !new_session &&
                       record->incarnation.refutation > member->record->incarnation.refutation;
  member->record = record;
  member->version = version;
  member->record_seen_at = now;
  if (new_session) OnNewSession(*member, now);
  if (refuted) {
    member->refutation = std::max(member->refutation, record->incarnation.refutation);
    member->liveness.OnRefuted(now);
    member->suspect_since.reset();
  }
}

void MemberTable::OnNewSession(Member& member, double now) {
  // Observations of the former process do not apply to the new one.
  member.liveness.ResetSilence(now);
  member.refutation = member.record->incarnation.refutation;
  member.connection_refused = false;
  member.leaving = false;
  member.suspect_since.reset();
  member.reports.clear();
}

void MemberTable::OnOwnRecord(const std::optional<MemberRecord>& record, uint64_t version) {
  own_record_ = record;
  own_version_ = version;
  if (!record) return;
  const bool of_this_process = record->instance == options_.instance;
  if (of_this_process && record->incarnation.session >= own_incarnation_.session) {
    if (record->incarnation.session > own_incarnation_.session)
      own_incarnation_ = record->incarnation;
    own_incarnation_.refutation =
        std::max(own_incarnation_.refutation, record->incarnation.refutation);
  }
  const bool has_later_session =
      own_incarnation_.session != 0 && record->incarnation.session > own_incarnation_.session;
  if (!of_this_process && has_later_session && !superseded_) {
    superseded_ = true;
    spdlog::error(
        "membership: another process of the same name has joined; this one stays passive: node={} "
        "session={} own_session={}",
        options_.node, record->incarnation.session, own_incarnation_.session);
  }
}

void MemberTable::ApplyRefutations(const wire::MemberStatus& status) {
  if (Member* sender = FindMember(status.node);
      sender != nullptr && sender->record &&
      sender->record->incarnation.session == status.incarnation.session) {
    sender->refutation = std::max(sender->refutation, status.incarnation.refutation);
  }
  for (const model::MemberObservation& observation : status.observations) {
    if (observation.node != options_.node) continue;
    // An observation with a higher session or refutation than ours can't be about this process, so
    // there is nothing to refute.
    const bool suspects_us = observation.state == model::MemberState::kSuspect &&
                             observation.incarnation == own_incarnation_ &&
                             own_incarnation_.session != 0;
    if (suspects_us) ++own_incarnation_.refutation;
  }
}

void MemberTable::OnProbe(const wire::MemberStatus& status) {
  if (FindMember(status.node) != nullptr) ApplyRefutations(status);
}

void MemberTable::OnProbeResponse(const wire::MemberStatus& status, double sent_at, double now) {
  Member* member = FindMember(status.node);
  if (member == nullptr) return;
  // A response may arrive after its process has ended and another process has joined.
  const bool from_former_process =
      member->record && status.incarnation.session < member->record->incarnation.session;
  if (from_former_process) return;
  member->leaving = status.state == model::MemberState::kLeft;
  member->liveness.OnProbeResponse(sent_at, now);
  member->connection_refused = false;
  member->fitness = status.fitness;
  member->successor = status.successor;
  ApplyRefutations(status);
  RecordObservations(status, sent_at);
}

void MemberTable::RecordObservations(const wire::MemberStatus& status, double sent_at) {
  for (const model::MemberObservation& observation : status.observations) {
    if (observation.node == options_.node || observation.node == status.node) continue;
    Member* member = FindMember(observation.node);
    if (member == nullptr || !member->record) continue;
    // Ignores observations of any session other than the recorded one: the observed process has
    // ended, or this node has not seen its record yet.
    if (observation.incarnation.session != member->record->incarnation.session) continue;
    ObserverReport& report = member->reports[status.node];
    report.state = observation.state;
    report.last_alive_at.reset();
    if (observation.last_heard_ms_ago) {
      report.last_alive_at =
          sent_at - static_cast<double>(*observation.last_heard_ms_ago) / kMsPerS;
    }
  }
}

void MemberTable::OnStatusAnswered(const std::string& node, double requested_at) {
  if (Member* member = FindMember(node)) member->liveness.OnAliveAt(requested_at);
}

void MemberTable::OnConnectionRefused(const std::string& node) {
  if (Member* member = FindMember(node)) member->connection_refused = true;
}

void MemberTable::OnPause(double now) {
  health_.OnPause();
  for (auto& [node, member] : members_) {
    member.liveness.ResetSilence(now);
    member.suspect_since.reset();
    // Observations from other nodes are at least as old as the pause.
    member.reports.clear();
  }
  last_tick_ = now;
}

bool MemberTable::IsResponsive(const Member& member, double now) const {
  return IsMember(member.record) && !member.leaving &&
         !member.liveness.Silent(health_.TimeoutMultiplier(), now);
}

bool MemberTable::SeenAliveByOthers(const Member& member, const std::string& node,
                                    double now) const {
  const double window_s = member.liveness.SilenceThresholdS(health_.TimeoutMultiplier(), now) +
                          kObservationDelayIntervals * options_.probes.probe_s;
  return std::any_of(member.reports.begin(), member.reports.end(), [&](const auto& entry) {
    const auto& [observer, report] = entry;
    const Member& other = members_.at(observer);
    return observer != node && IsResponsive(other, now) && report.last_alive_at &&
           now - *report.last_alive_at <= window_s;
  });
}

bool MemberTable::ObserversAgree(const Member& member, const std::string& node, double now) const {
  // Some observers neither hear the member nor suspect it, since they distrust their own
  // observations. The wait for them is bounded. If an observer did hear the member, this node would
  // not suspect it.
  if (now - *member.suspect_since > kMaxAbstentionConfirmations * ConfirmationS()) return true;
  return std::all_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const auto& [observer, other] = entry;
    if (observer == node || !IsResponsive(other, now)) return true;
    auto report = member.reports.find(observer);
    return report != member.reports.end() && report->second.state == model::MemberState::kSuspect;
  });
}

size_t MemberTable::WriteRank(const std::string& subject, double now) const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
        const auto& [node, member] = entry;
        return node != subject && node < options_.node && IsResponsive(member, now);
      }));
}

double MemberTable::ConfirmationS() const {
  const double min_s = options_.confirm_probes * options_.probes.probe_s;
  return std::max(min_s, kMinConfirmRoundTrips * state_round_trip_.UpperBoundS()) *
         health_.TimeoutMultiplier();
}

void MemberTable::UpdateLocalHealth(double now) {
  const double interval_s = options_.probes.probe_s;
  if (now - last_tick_ > kPauseThresholdIntervals * interval_s) {
    OnPause(now);
    return;
  }
  last_tick_ = now;
  const auto member_count = std::count_if(members_.begin(), members_.end(),
                                          [](const auto& m) { return IsMember(m.second.record); });
  const auto responsive_count = std::count_if(
      members_.begin(), members_.end(), [&](const auto& m) { return IsResponsive(m.second, now); });
  // If there is only one other node, its failure can't be told from a fault of this node.
  if (member_count >= 2 && responsive_count == 0) {
    health_.OnNoAnswers();
  } else {
    health_.OnGoodInterval();
  }
}

void MemberTable::UpdateSuspicion(Member& member, const std::string& node, double now) {
  const bool silent_or_refused =
      member.connection_refused || member.liveness.Silent(health_.TimeoutMultiplier(), now);
  const bool suspect =
      IsMember(member.record) && silent_or_refused && !SeenAliveByOthers(member, node, now);
  if (suspect && !member.suspect_since) {
    member.suspect_since = now;
    spdlog::info("membership: suspect: node={} reason={}", node,
                 member.connection_refused ? "refuses connections" : "does not answer");
  } else if (!suspect) {
    member.suspect_since.reset();
  }
  const model::MemberState reported_state = ReportedState(member);
  if (reported_state != member.reported_state) {
    member.reported_state = reported_state;
    member.reported_state_since = now;
  }
}

model::MemberState MemberTable::ReportedState(const Member& member) {
  if (member.record && !IsMember(member.record)) return member.record->state;
  if (member.leaving) return model::MemberState::kLeft;
  return member.suspect_since ? model::MemberState::kSuspect : model::MemberState::kAlive;
}

std::optional<Proposal> MemberTable::ProposeForSelf() const {
  if (superseded_ || leaving_) return std::nullopt;
  Proposal proposal;
  proposal.node = options_.node;
  proposal.preconditions = {{store::MemberKey(options_.node), own_version_}};
  proposal.record.instance = options_.instance;
  const bool of_this_process = IsMember(own_record_) && own_record_->instance == options_.instance;
  if (!of_this_process) {
    const uint64_t recorded = own_record_ ? own_record_->incarnation.session : 0;
    proposal.kind = Proposal::Kind::kJoin;
    proposal.record.incarnation.session = std::max(recorded, own_incarnation_.session) + 1;
    return proposal;
  }
  if (own_record_->state == model::MemberState::kAlive) return std::nullopt;
  proposal.kind = Proposal::Kind::kRefute;
  proposal.record.incarnation = {own_incarnation_.session, own_incarnation_.refutation + 1};
  return proposal;
}

std::optional<Proposal> MemberTable::ProposeForOther(const std::string& node, const Member& member,
                                                     double now) const {
  if (!member.suspect_since || !IsActiveMember()) return std::nullopt;
  if (!ObserversAgree(member, node, now)) return std::nullopt;
  const double rank_delay_s = static_cast<double>(WriteRank(node, now)) * options_.probes.probe_s;
  Proposal proposal;
  proposal.node = node;
  proposal.record = *member.record;
  proposal.record.by = options_.node;
  proposal.record.reason = member.connection_refused ? "refuses connections" : "does not answer";
  proposal.preconditions = {{store::MemberKey(node), member.version},
                            {store::MemberKey(options_.node), own_version_}};
  if (member.record->state == model::MemberState::kAlive) {
    if (now < *member.suspect_since + rank_delay_s) return std::nullopt;
    proposal.kind = Proposal::Kind::kSuspect;
    proposal.record.state = model::MemberState::kSuspect;
    return proposal;
  }
  const double since = std::max(member.record_seen_at, *member.suspect_since);
  if (now < since + ConfirmationS() + rank_delay_s) return std::nullopt;
  proposal.kind = Proposal::Kind::kDeclareFailed;
  proposal.record.state = model::MemberState::kFailed;
  return proposal;
}

std::vector<Proposal> MemberTable::Tick(double now, bool reaches_state_service) {
  UpdateLocalHealth(now);
  std::vector<Proposal> proposals;
  auto propose = [&](std::optional<Proposal> proposal) {
    if (!proposal || pending_proposals_.contains(proposal->node)) return;
    if (auto wait = next_proposal_at_.find(proposal->node);
        wait != next_proposal_at_.end() && now < wait->second) {
      return;
    }
    pending_proposals_.insert(proposal->node);
    proposals.push_back(std::move(*proposal));
  };
  propose(ProposeForSelf());
  for (auto& [node, member] : members_) {
    UpdateSuspicion(member, node, now);
    if (reaches_state_service) propose(ProposeForOther(node, member, now));
  }
  return proposals;
}

void MemberTable::OnProposalDone(const std::string& node, double now) {
  pending_proposals_.erase(node);
  next_proposal_at_[node] = now + kProposalRetryIntervals * options_.probes.probe_s;
}

std::optional<Proposal> MemberTable::ProposeLeave() const {
  if (!IsMember(own_record_) || own_record_->instance != options_.instance) return std::nullopt;
  Proposal proposal;
  proposal.kind = Proposal::Kind::kLeave;
  proposal.node = options_.node;
  proposal.record = *own_record_;
  proposal.record.state = model::MemberState::kLeft;
  proposal.record.by.clear();
  proposal.record.reason.clear();
  proposal.preconditions = {{store::MemberKey(options_.node), own_version_}};
  return proposal;
}

wire::MemberStatus MemberTable::Status(double now) const {
  wire::MemberStatus status;
  status.node = options_.node;
  status.incarnation = own_incarnation_;
  status.state = leaving_ ? model::MemberState::kLeft : model::MemberState::kAlive;
  status.fitness = fitness_;
  status.successor = successor_;
  for (const auto& [node, member] : members_) {
    model::MemberObservation observation;
    observation.node = node;
    if (member.record) {
      observation.incarnation = {member.record->incarnation.session, member.refutation};
    }
    observation.state = ReportedState(member);
    if (const std::optional<double>& last_alive_at = member.liveness.last_alive_at()) {
      const double ago_s = std::max(0.0, now - *last_alive_at);
      observation.last_heard_ms_ago = static_cast<uint64_t>(std::llround(ago_s * kMsPerS));
    }
    status.observations.push_back(std::move(observation));
  }
  return status;
}

bool MemberTable::IsActiveMember() const {
  return !superseded_ && !leaving_ && own_record_ &&
         own_record_->state == model::MemberState::kAlive &&
         own_record_->instance == options_.instance;
}

std::vector<model::Precondition> MemberTable::ActiveMemberPreconditions() const {
  if (!IsActiveMember()) return {};
  return {{store::MemberKey(options_.node), own_version_}};
}

bool MemberTable::DeclaredFailed() const {
  return own_incarnation_.session != 0 && own_record_ &&
         own_record_->state == model::MemberState::kFailed &&
         own_record_->incarnation.session == own_incarnation_.session;
}

std::map<std::string, model::LeadershipFitness> MemberTable::ResponsiveMemberFitness(
    double now) const {
  std::map<std::string, model::LeadershipFitness> out;
  for (const auto& [node, member] : members_) {
    if (IsResponsive(member, now) && member.record->state == model::MemberState::kAlive) {
      out.emplace(node, member.fitness);
    }
  }
  return out;
}

std::string MemberTable::SuccessorNamedByOthers(double now) const {
  for (const auto& [node, member] : members_) {
    if (!member.successor.empty() && IsResponsive(member, now)) return member.successor;
  }
  return "";
}

bool MemberTable::Failed(const std::string& node) const {
  auto it = members_.find(node);
  return it != members_.end() && it->second.record &&
         it->second.record->state == model::MemberState::kFailed;
}

std::vector<wire::MemberRow> MemberTable::Rows(double now) const {
  std::vector<wire::MemberRow> rows;
  wire::MemberRow own;
  own.node = options_.node;
  own.incarnation = own_incarnation_;
  own.has_record = own_record_.has_value();
  own.state = own_record_ ? own_record_->state : model::MemberState::kAlive;
  if (own_record_ && !own_record_->by.empty()) own.suspected_by = {own_record_->by};
  rows.push_back(std::move(own));
  for (const auto& [node, member] : members_) {
    wire::MemberRow row;
    row.node = node;
    row.has_record = member.record.has_value();
    if (member.record) row.incarnation = {member.record->incarnation.session, member.refutation};
    row.state = ReportedState(member);
    row.state_age_ms =
        static_cast<uint64_t>(std::max(0.0, now - member.reported_state_since) * kMsPerS);
    std::set<std::string> suspecting;
    if (member.record && !member.record->by.empty()) suspecting.insert(member.record->by);
    if (member.suspect_since) suspecting.insert(options_.node);
    for (const auto& [observer, report] : member.reports) {
      if (report.state == model::MemberState::kSuspect) suspecting.insert(observer);
    }
    row.suspected_by.assign(suspecting.begin(), suspecting.end());
    if (member.record) row.reason = member.record->reason;
    if (row.reason.empty() && member.suspect_since) {
      row.reason = member.connection_refused ? "refuses connections" : "does not answer";
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace hallpier::membership
