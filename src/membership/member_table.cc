#include "membership/member_table.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "store/keys.h"

namespace hallpier::membership {
namespace {

constexpr double kMsPerS = 1000;
// A tick that comes later than this many intervals after the one before tells of a pause.
constexpr double kPauseIntervals = 2.5;
// What others say of a node was heard up to so many intervals before it gets here.
constexpr double kGossipIntervals = 2;
// A proposal that failed is made again after so many intervals.
constexpr double kRetryIntervals = 2;
// A suspicion stands for at least so many round trips to the state service: the suspect has to hear
// of it there, and to answer.
constexpr double kConfirmRoundTrips = 4;
// Observers that abstain are waited for no longer than for so many times of confirmation.
constexpr double kAbstention = 4;
// Nodes that are not in the settings are named in the log, but no more of them than this.
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

MemberTable::Member* MemberTable::Find(const std::string& node) {
  auto it = members_.find(node);
  if (it != members_.end()) return &it->second;
  if (node != options_.node && unknown_nodes_reported_.size() < kMaxUnknownReported &&
      unknown_nodes_reported_.insert(node).second) {
    spdlog::warn("membership: {} is not in the settings; what is said of it is ignored", node);
  }
  return nullptr;
}

void MemberTable::OnRecord(const std::string& node, const std::optional<MemberRecord>& record,
                           uint64_t version, double now) {
  if (node == options_.node) {
    OnOwnRecord(record, version);
    return;
  }
  Member* member = Find(node);
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
    member->evidence.OnRefuted(now);
    member->suspect_since.reset();
  }
}

void MemberTable::OnNewSession(Member& member, double now) {
  // Nothing that was observed of the former process counts for the new one.
  member.evidence.ResetSilence(now);
  member.refutation = member.record->incarnation.refutation;
  member.refused = false;
  member.leaving = false;
  member.suspect_since.reset();
  member.observers.clear();
}

void MemberTable::OnOwnRecord(const std::optional<MemberRecord>& record, uint64_t version) {
  own_record_ = record;
  own_version_ = version;
  if (!record) return;
  const bool mine = record->instance == options_.instance;
  if (mine && record->incarnation.session >= own_.session) {
    if (record->incarnation.session > own_.session) own_ = record->incarnation;
    own_.refutation = std::max(own_.refutation, record->incarnation.refutation);
  }
  const bool later = own_.session != 0 && record->incarnation.session > own_.session;
  if (!mine && later && !superseded_) {
    superseded_ = true;
    spdlog::error(
        "membership: another process joined as {} (session {}, ours is {}); this one stays passive",
        options_.node, record->incarnation.session, own_.session);
  }
}

void MemberTable::TakeRefutations(const wire::MemberStatus& status) {
  if (Member* sender = Find(status.node);
      sender != nullptr && sender->record &&
      sender->record->incarnation.session == status.incarnation.session) {
    sender->refutation = std::max(sender->refutation, status.incarnation.refutation);
  }
  for (const model::MemberObservation& observation : status.observations) {
    if (observation.node != options_.node) continue;
    // A session or refutation from the future can't be of this process: nothing to refute.
    const bool suspects_us = observation.state == model::MemberState::kSuspect &&
                             observation.incarnation == own_ && own_.session != 0;
    if (suspects_us) ++own_.refutation;
  }
}

void MemberTable::OnProbe(const wire::MemberStatus& status) {
  if (Find(status.node) != nullptr) TakeRefutations(status);
}

void MemberTable::OnAnswer(const wire::MemberStatus& status, double asked, double now) {
  Member* member = Find(status.node);
  if (member == nullptr) return;
  // From a process that has ended since, on its way for a while.
  const bool former =
      member->record && status.incarnation.session < member->record->incarnation.session;
  if (former) return;
  member->leaving = status.state == model::MemberState::kLeft;
  member->evidence.OnAnswer(asked, now);
  member->refused = false;
  member->vitals = status.vitals;
  member->yields_to = status.yields_to;
  TakeRefutations(status);
  TakeObservations(status, asked);
}

void MemberTable::TakeObservations(const wire::MemberStatus& status, double asked) {
  for (const model::MemberObservation& observation : status.observations) {
    if (observation.node == options_.node || observation.node == status.node) continue;
    Member* member = Find(observation.node);
    if (member == nullptr || !member->record) continue;
    // Of another session than the one that is recorded: of a process that has ended, or one that
    // this node knows nothing of yet.
    if (observation.incarnation.session != member->record->incarnation.session) continue;
    Observed& observed = member->observers[status.node];
    observed.state = observation.state;
    observed.heard_at.reset();
    if (observation.heard_ms_ago) {
      observed.heard_at = asked - static_cast<double>(*observation.heard_ms_ago) / kMsPerS;
    }
  }
}

void MemberTable::OnStatusAnswered(const std::string& node, double asked) {
  if (Member* member = Find(node)) member->evidence.OnHeard(asked);
}

void MemberTable::OnConnectionRefused(const std::string& node) {
  if (Member* member = Find(node)) member->refused = true;
}

void MemberTable::OnPause(double now) {
  health_.OnPause();
  for (auto& [node, member] : members_) {
    member.evidence.ResetSilence(now);
    member.suspect_since.reset();
    // What others said of it is as old as the pause is long, or older.
    member.observers.clear();
  }
  last_tick_ = now;
}

bool MemberTable::Fresh(const Member& member, double now) const {
  return IsMember(member.record) && !member.leaving &&
         !member.evidence.Silent(health_.Factor(), now);
}

bool MemberTable::HeardByOthers(const Member& member, const std::string& node, double now) const {
  const double window_s = member.evidence.SilenceThresholdS(health_.Factor(), now) +
                          kGossipIntervals * options_.probes.probe_s;
  return std::any_of(member.observers.begin(), member.observers.end(), [&](const auto& entry) {
    const auto& [observer, observed] = entry;
    const Member& other = members_.at(observer);
    return observer != node && Fresh(other, now) && observed.heard_at &&
           now - *observed.heard_at <= window_s;
  });
}

bool MemberTable::ObserversAgree(const Member& member, const std::string& node, double now) const {
  // Who neither hears the member nor suspects it, since it distrusts itself, is not waited for
  // without a bound. Whoever does hear it has kept it from being suspected here.
  if (now - *member.suspect_since > kAbstention * ConfirmS()) return true;
  return std::all_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const auto& [observer, other] = entry;
    if (observer == node || !Fresh(other, now)) return true;
    auto observed = member.observers.find(observer);
    return observed != member.observers.end() &&
           observed->second.state == model::MemberState::kSuspect;
  });
}

size_t MemberTable::WritePriority(const std::string& subject, double now) const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
        const auto& [node, member] = entry;
        return node != subject && node < options_.node && Fresh(member, now);
      }));
}

double MemberTable::ConfirmS() const {
  const double least = options_.confirm_probes * options_.probes.probe_s;
  return std::max(least, kConfirmRoundTrips * state_round_trip_.Bound()) * health_.Factor();
}

void MemberTable::ReviewHealth(double now) {
  const double interval_s = options_.probes.probe_s;
  if (now - last_tick_ > kPauseIntervals * interval_s) {
    OnPause(now);
    return;
  }
  last_tick_ = now;
  const auto probed = std::count_if(members_.begin(), members_.end(),
                                    [](const auto& m) { return IsMember(m.second.record); });
  const auto fresh = std::count_if(members_.begin(), members_.end(),
                                   [&](const auto& m) { return Fresh(m.second, now); });
  // With one other node, its end and a fault of ours look the same.
  if (probed >= 2 && fresh == 0) {
    health_.OnNoAnswers();
  } else {
    health_.OnGoodInterval();
  }
}

void MemberTable::ReviewSuspicion(Member& member, const std::string& node, double now) {
  const bool silent = member.refused || member.evidence.Silent(health_.Factor(), now);
  const bool suspect = IsMember(member.record) && silent && !HeardByOthers(member, node, now);
  if (suspect && !member.suspect_since) {
    member.suspect_since = now;
    spdlog::info("membership: {} is suspect: {}", node,
                 member.refused ? "its port refuses connections" : "no answers");
  } else if (!suspect) {
    member.suspect_since.reset();
  }
  const model::MemberState shown = ShownState(member);
  if (shown != member.shown) {
    member.shown = shown;
    member.shown_since = now;
  }
}

model::MemberState MemberTable::ShownState(const Member& member) {
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
  const bool mine = IsMember(own_record_) && own_record_->instance == options_.instance;
  if (!mine) {
    const uint64_t recorded = own_record_ ? own_record_->incarnation.session : 0;
    proposal.kind = Proposal::Kind::kJoin;
    proposal.record.incarnation.session = std::max(recorded, own_.session) + 1;
    return proposal;
  }
  if (own_record_->state == model::MemberState::kAlive) return std::nullopt;
  proposal.kind = Proposal::Kind::kRefute;
  proposal.record.incarnation = {own_.session, own_.refutation + 1};
  return proposal;
}

std::optional<Proposal> MemberTable::ProposeFor(const std::string& node, const Member& member,
                                                double now) const {
  if (!member.suspect_since || !IsActiveMember()) return std::nullopt;
  if (!ObserversAgree(member, node, now)) return std::nullopt;
  const double turn_s = static_cast<double>(WritePriority(node, now)) * options_.probes.probe_s;
  Proposal proposal;
  proposal.node = node;
  proposal.record = *member.record;
  proposal.record.by = options_.node;
  proposal.record.reason = member.refused ? "refuses connections" : "does not answer";
  proposal.preconditions = {{store::MemberKey(node), member.version},
                            {store::MemberKey(options_.node), own_version_}};
  if (member.record->state == model::MemberState::kAlive) {
    if (now < *member.suspect_since + turn_s) return std::nullopt;
    proposal.kind = Proposal::Kind::kSuspect;
    proposal.record.state = model::MemberState::kSuspect;
    return proposal;
  }
  const double since = std::max(member.record_seen_at, *member.suspect_since);
  if (now < since + ConfirmS() + turn_s) return std::nullopt;
  proposal.kind = Proposal::Kind::kDeclareFailed;
  proposal.record.state = model::MemberState::kFailed;
  return proposal;
}

std::vector<Proposal> MemberTable::Tick(double now, bool state_direct) {
  ReviewHealth(now);
  std::vector<Proposal> out;
  auto propose = [&](std::optional<Proposal> proposal) {
    if (!proposal || pending_.contains(proposal->node)) return;
    if (auto wait = not_before_.find(proposal->node);
        wait != not_before_.end() && now < wait->second) {
      return;
    }
    pending_.insert(proposal->node);
    out.push_back(std::move(*proposal));
  };
  propose(ProposeForSelf());
  for (auto& [node, member] : members_) {
    ReviewSuspicion(member, node, now);
    if (state_direct) propose(ProposeFor(node, member, now));
  }
  return out;
}

void MemberTable::OnProposalDone(const std::string& node, double now) {
  pending_.erase(node);
  not_before_[node] = now + kRetryIntervals * options_.probes.probe_s;
}

std::optional<Proposal> MemberTable::Leave() const {
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
  status.incarnation = own_;
  status.state = leaving_ ? model::MemberState::kLeft : model::MemberState::kAlive;
  status.vitals = vitals_;
  status.yields_to = yields_to_;
  for (const auto& [node, member] : members_) {
    model::MemberObservation observation;
    observation.node = node;
    if (member.record) {
      observation.incarnation = {member.record->incarnation.session, member.refutation};
    }
    observation.state = ShownState(member);
    if (const std::optional<double>& last_alive_at = member.evidence.last_alive_at()) {
      const double ago_s = std::max(0.0, now - *last_alive_at);
      observation.heard_ms_ago = static_cast<uint64_t>(std::llround(ago_s * kMsPerS));
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

std::vector<model::Precondition> MemberTable::OwnPreconditions() const {
  if (!IsActiveMember()) return {};
  return {{store::MemberKey(options_.node), own_version_}};
}

bool MemberTable::Judged() const {
  return own_.session != 0 && own_record_ && own_record_->state == model::MemberState::kFailed &&
         own_record_->incarnation.session == own_.session;
}

std::map<std::string, model::MemberVitals> MemberTable::FreshVitals(double now) const {
  std::map<std::string, model::MemberVitals> out;
  for (const auto& [node, member] : members_) {
    if (Fresh(member, now) && member.record->state == model::MemberState::kAlive) {
      out.emplace(node, member.vitals);
    }
  }
  return out;
}

std::string MemberTable::SuccessorNamedByOthers(double now) const {
  for (const auto& [node, member] : members_) {
    if (!member.yields_to.empty() && Fresh(member, now)) return member.yields_to;
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
  own.incarnation = own_;
  own.known = own_record_.has_value();
  own.state = own_record_ ? own_record_->state : model::MemberState::kAlive;
  if (own_record_ && !own_record_->by.empty()) own.suspected_by = {own_record_->by};
  rows.push_back(std::move(own));
  for (const auto& [node, member] : members_) {
    wire::MemberRow row;
    row.node = node;
    row.known = member.record.has_value();
    if (member.record) row.incarnation = {member.record->incarnation.session, member.refutation};
    row.state = ShownState(member);
    row.since_ms = static_cast<uint64_t>(std::max(0.0, now - member.shown_since) * kMsPerS);
    std::set<std::string> accusers;
    if (member.record && !member.record->by.empty()) accusers.insert(member.record->by);
    if (member.suspect_since) accusers.insert(options_.node);
    for (const auto& [observer, observed] : member.observers) {
      if (observed.state == model::MemberState::kSuspect) accusers.insert(observer);
    }
    row.suspected_by.assign(accusers.begin(), accusers.end());
    if (member.record) row.reason = member.record->reason;
    if (row.reason.empty() && member.suspect_since) {
      row.reason = member.refused ? "refuses connections" : "does not answer";
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace hallpier::membership
