#include "controller/block_leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "model/key_value.h"
#include "model/machine_view.h"
#include "model/member.h"
#include "store/keys.h"

namespace hallpier::controller {
namespace {

// Views are sent this often within the lease of a block, at the least.
constexpr double kHeartbeats = 4;
// Views whose acknowledgement is waited for, for each node.
constexpr size_t kMaxAsked = 64;

}  // namespace

BlockLeader::BlockLeader(LeaderDependencies deps, const fleet::WorkerRegistry& registry,
                         const plan::Context& context)
    : deps_(std::move(deps)),
      registry_(registry),
      context_(context),
      lending_(*deps_.settings, deps_.operators->blocks) {
  for (const std::string& node : deps_.settings->OtherNodes()) links_[node];
}

void BlockLeader::Begin(async::Scope& term) {
  term_ = &term;
  retries_.clear();
  for (auto& [node, link] : links_) link = Link();
  pause_seen_ = Now();
  lending_.BeginTerm(deps_.election->token(), *deps_.records, Now());
  term.Spawn(HeartbeatLoop(term));
}

void BlockLeader::OnMember(const std::string& node,
                           const std::optional<membership::MemberRecord>& record) {
  // A suspect may still refute; if it does not answer, its lease runs out first.
  const bool there = record && (record->state == model::MemberState::kAlive ||
                                record->state == model::MemberState::kSuspect);
  lending_.holders().OnMember(node,
                              there ? std::optional(record->incarnation.session) : std::nullopt);
}

void BlockLeader::OnLink(const std::string& node) {
  auto it = links_.find(node);
  if (it != links_.end()) it->second = Link();
}

void BlockLeader::OnAcknowledged(const std::string& node,
                                 const wire::BlockAcknowledgement& answer) {
  auto it = links_.find(node);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.sender.OnAcknowledged(answer.sequence);
  auto asked = link.asked.find(answer.sequence);
  if (asked == link.asked.end()) return;
  lending_.holders().OnAcknowledged(node, answer.session, answer.able, asked->second);
  link.asked.erase(link.asked.begin(), std::next(asked));
}

blocks::CopyState BlockLeader::Copy() const {
  return {deps_.cache->revision(), deps_.election->token()};
}

double BlockLeader::WidenS() const {
  return deps_.operators->blocks.widen_ratio * deps_.settings->heartbeat_interval_s;
}

bool BlockLeader::MayPlaceOnAll() const {
  return !divided() && deps_.cache->revision() >= deps_.records->newest();
}

std::optional<size_t> BlockLeader::Holding(uint64_t session) const {
  return deps_.records->Holding(deps_.settings->node, session, Copy());
}

plan::Scope BlockLeader::WholeScope() const {
  return deps_.records->WholeScope(WidenS(), deps_.time_of_day());
}

plan::Scope BlockLeader::OwnScope(size_t holder) const {
  return deps_.records->HolderScope(holder, WidenS(), deps_.time_of_day(), *deps_.settings,
                                    *deps_.job_table);
}

void BlockLeader::NotePause(double now) {
  const double resumed_at = term_->loop().resumed_at();
  if (resumed_at <= pause_seen_) return;
  pause_seen_ = resumed_at;
  lending_.holders().OnPause(now);
}

async::Task<> BlockLeader::Review(async::Scope& term, const plan::RoundResult& round,
                                  const plan::Scope* scope) {
  NotePause(Now());
  co_await ReviewDivision(term);
  if (term.cancelled()) co_return;
  if (scope != nullptr && scope->holders == deps_.records->division().record().holders.size()) {
    NoteRetries(round, *scope);
    co_await ReviewShares(term, round, *scope);
    if (term.cancelled()) co_return;
  }
  if (divided() || Now() - sent_at_ >= BeatS()) SendViews();
}

double BlockLeader::BeatS() const {
  return deps_.operators->blocks.lease_ratio * deps_.settings->heartbeat_interval_s / kHeartbeats;
}

async::Task<> BlockLeader::ReviewDivision(async::Scope& term) {
  const bool all_understand = deps_.formats->AllUnderstandBlocks();
  auto change = lending_.ReviewDivision(*deps_.records, Copy(), all_understand, Now());
  if (!change) co_return;
  spdlog::info("blocks: {}", change->writes[0].value);
  co_await Write(term, std::move(*change));
}

async::Task<> BlockLeader::ReviewShares(async::Scope& term, const plan::RoundResult& round,
                                        const plan::Scope& scope) {
  const blocks::WriteLimits limits = {static_cast<size_t>(deps_.formats->max_transaction_writes()),
                                      deps_.formats->max_value_bytes()};
  auto change = lending_.ReviewShares(*deps_.records, Copy(), *deps_.job_table, registry_, context_,
                                      round, scope, limits);
  if (!change) co_return;
  for (const model::KeyWrite& write : change->writes) {
    spdlog::debug("blocks: {} {}", write.key, write.value);
  }
  co_await Write(term, std::move(*change));
}

async::Task<> BlockLeader::Write(async::Scope& term, blocks::RecordChange change) const {
  // Without an answer it may be carried out late. Its guards name every record of blocks and
  // shares, so that nothing that was decided since stands beside it.
  auto r = co_await deps_.client->Commit(change.preconditions, change.writes,
                                         store::RequestPriority::kUrgent);
  if (term.cancelled()) co_return;
  if (r.ok()) {
    for (const model::KeyWrite& write : change.writes) {
      deps_.cache->Apply(write.key, write.value, r.value.revision);
    }
    co_return;
  }
  for (const std::string& key : r.value.failed) {
    if (key == store::FencingTokenKey()) continue;
    co_await deps_.cache->Refresh(key);
    if (term.cancelled()) co_return;
  }
}

void BlockLeader::NoteRetries(const plan::RoundResult& round, const plan::Scope& scope) {
  std::erase_if(retries_, [&](const auto& entry) { return entry.second.until < Now(); });
  const std::set<std::string> retried(round.retried_jobs.begin(), round.retried_jobs.end());
  for (const jobs::TaskTransition& place : round.places) {
    if (!retried.contains(place.task.job)) continue;
    const std::optional<size_t> holder = scope.holder_of(place.machine);
    if (holder) retries_[place.task.job] = {*holder, Now() + deps_.settings->heartbeat_interval_s};
  }
}

std::set<std::string> BlockLeader::RetriesOf(size_t holder) const {
  std::set<std::string> jobs;
  for (const auto& [job, retry] : retries_) {
    if (retry.holder == holder) jobs.insert(job);
  }
  return jobs;
}

void BlockLeader::SendViews() {
  sent_at_ = Now();
  const blocks::Division& division = deps_.records->division();
  std::vector<model::MachineView> machines;
  if (divided()) machines = blocks::DescribeMachines(registry_, *deps_.job_table, Now());
  for (auto& [node, link] : links_) {
    if (!deps_.formats->UnderstandsBlocks(node)) continue;
    const std::optional<size_t> holder = division.IndexOf(node);
    std::vector<model::JobFailures> failures;
    if (holder) failures = registry_.failures().View(RetriesOf(*holder));
    for (const wire::BlockView& view : link.sender.Next(deps_.election->token(), division, holder,
                                                        machines, std::move(failures))) {
      link.asked[view.sequence] = Now();
      deps_.send(node, view);
    }
    while (link.asked.size() > kMaxAsked) link.asked.erase(link.asked.begin());
  }
}

async::Task<> BlockLeader::HeartbeatLoop(async::Scope& term) {
  while (!term.cancelled()) {
    async::Sleep pause(term, BeatS());
    co_await pause;
    if (!term.cancelled() && Now() - sent_at_ >= BeatS()) SendViews();
  }
}

}  // namespace hallpier::controller
