#include "controller/block_coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <vector>

#include "model/key_value.h"
#include "model/machine_view.h"
#include "model/member.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::controller {
namespace {

// The minimum number of views sent within the lease of a block.
constexpr double kMinViewsPerLease = 4;
// Maximum number of views to one node that await an acknowledgement.
constexpr size_t kMaxUnacknowledgedViews = 64;

}  // namespace

BlockCoordinator::BlockCoordinator(const NodeServices& services,
                                   const fleet::WorkerRegistry& registry,
                                   const plan::PlanningContext& context)
    : services_(services),
      registry_(registry),
      context_(context),
      block_planner_(*services.settings, services.operator_options->blocks) {
  for (const std::string& node : services.settings->OtherNodes()) links_[node];
}

void BlockCoordinator::BeginTerm(async::Scope& term) {
  term_ = &term;
  retry_grants_.clear();
  for (auto& [node, link] : links_) link = Link();
  last_pause_end_ = Now();
  block_planner_.BeginTerm(services_.election->token(), *services_.block_records, Now());
  term.Spawn(SendViewsPeriodically());
}

void BlockCoordinator::OnMemberRecord(const std::string& node,
                                      const std::optional<membership::MemberRecord>& record) {
  // A suspect counts as present: it may still refute the suspicion, and if it does not respond, its
  // lease expires.
  const bool present = record && (record->state == model::MemberState::kAlive ||
                                  record->state == model::MemberState::kSuspect);
  block_planner_.eligibility().OnMember(
      node, present ? std::optional(record->incarnation.session) : std::nullopt);
}

void BlockCoordinator::OnLinkChanged(const std::string& node) {
  auto it = links_.find(node);
  if (it != links_.end()) it->second = Link();
}

void BlockCoordinator::OnAcknowledged(const std::string& node,
                                      const wire::BlockAcknowledgement& acknowledgement) {
  auto it = links_.find(node);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.view_builder.OnAcknowledged(acknowledgement.sequence);
  auto sent = link.unacknowledged.find(acknowledgement.sequence);
  if (sent == link.unacknowledged.end()) return;
  block_planner_.eligibility().OnAcknowledged(node, acknowledgement.session,
                                              acknowledgement.can_place, sent->second);
  link.unacknowledged.erase(link.unacknowledged.begin(), std::next(sent));
}

blocks::CacheState BlockCoordinator::CurrentCacheState() const {
  return {services_.cache->revision(), services_.election->token()};
}

double BlockCoordinator::WideningIntervalS() const {
  return services_.operator_options->blocks.widen_ratio * services_.settings->heartbeat_interval_s;
}

double BlockCoordinator::ViewIntervalS() const {
  return services_.operator_options->blocks.lease_ratio * services_.settings->heartbeat_interval_s /
         kMinViewsPerLease;
}

bool BlockCoordinator::MayPlaceOnAllMachines() const {
  return !has_owners() && services_.cache->revision() >= services_.block_records->newest_revision();
}

std::optional<size_t> BlockCoordinator::OwnerIndex(uint64_t session) const {
  return services_.block_records->ActiveOwnerIndex(services_.settings->node, session,
                                                   CurrentCacheState());
}

plan::PlacementScope BlockCoordinator::AllMachinesScope() const {
  return services_.block_records->AllMachinesScope(WideningIntervalS(), services_.time_of_day());
}

plan::PlacementScope BlockCoordinator::OwnerScope(size_t owner) const {
  return services_.block_records->OwnerScope(owner, WideningIntervalS(), services_.time_of_day(),
                                             *services_.settings, *services_.job_table);
}

void BlockCoordinator::HandlePause() {
  const double resumed_at = term_->loop().resumed_at();
  if (resumed_at <= last_pause_end_) return;
  last_pause_end_ = resumed_at;
  block_planner_.eligibility().OnPause(Now());
}

async::Task<> BlockCoordinator::ReviewAfterRound(const plan::RoundResult& round,
                                                 const plan::PlacementScope* scope) {
  HandlePause();
  co_await UpdateBlockAssignment();
  if (term_->cancelled()) co_return;
  // The allocations of the current owners can't be derived from a plan for a different number of
  // owners.
  const size_t owners = services_.block_records->block_assignment().record().owners.size();
  if (scope != nullptr && scope->owner_count == owners) {
    GrantRetries(round, *scope);
    co_await UpdateAllocations(round, *scope);
    if (term_->cancelled()) co_return;
  }
  if (has_owners() || Now() - views_sent_at_ >= ViewIntervalS()) SendViews();
}

async::Task<> BlockCoordinator::UpdateBlockAssignment() {
  const bool all_nodes_support_blocks = services_.formats->AllNodesSupportBlocks();
  auto change = block_planner_.PlanAssignmentChange(*services_.block_records, CurrentCacheState(),
                                                    all_nodes_support_blocks, Now());
  if (!change) co_return;
  spdlog::info("blocks: division record={}", change->writes[0].value);
  co_await CommitChange(std::move(*change));
}

async::Task<> BlockCoordinator::UpdateAllocations(const plan::RoundResult& round,
                                                  const plan::PlacementScope& scope) {
  const blocks::WriteLimits limits = {
      static_cast<size_t>(services_.formats->max_transaction_writes()),
      services_.formats->max_value_bytes()};
  auto change = block_planner_.PlanAllocationChange(*services_.block_records, CurrentCacheState(),
                                                    *services_.job_table, registry_, context_,
                                                    round, scope, limits);
  if (!change) co_return;
  for (const model::KeyWrite& write : change->writes) {
    spdlog::debug("blocks: share key={} record={}", write.key, write.value);
  }
  co_await CommitChange(std::move(*change));
}

async::Task<> BlockCoordinator::CommitChange(blocks::RecordChange change) {
  // A transaction without a response may be executed late. Its preconditions cover the block
  // assignment and all allocations, so it can't take effect alongside a later decision.
  auto result = co_await services_.client->Commit(change.preconditions, change.writes,
                                                  store::RequestPriority::kUrgent);
  if (term_->cancelled()) co_return;
  if (result.ok()) {
    for (const model::KeyWrite& write : change.writes) {
      services_.cache->ApplyAheadOfWatch(write.key, write.value, result.value.revision);
    }
    co_return;
  }
  for (const std::string& key : result.value.failed) {
    if (key == store::FencingTokenKey()) continue;
    co_await services_.cache->Refresh(key);
    if (term_->cancelled()) co_return;
  }
}

void BlockCoordinator::GrantRetries(const plan::RoundResult& round,
                                    const plan::PlacementScope& scope) {
  const double now = Now();
  std::erase_if(retry_grants_, [now](const auto& entry) { return entry.second.expires_at < now; });
  const std::set<std::string> retried(round.retried_jobs.begin(), round.retried_jobs.end());
  for (const jobs::TaskTransition& placement : round.placements) {
    if (!retried.contains(placement.task.job)) continue;
    const std::optional<size_t> owner = scope.owner_of(placement.machine);
    if (!owner) continue;
    retry_grants_[placement.task.job] = {*owner, Now() + services_.settings->heartbeat_interval_s};
  }
}

std::set<std::string> BlockCoordinator::RetriesGrantedTo(size_t owner) const {
  std::set<std::string> granted;
  for (const auto& [job, grant] : retry_grants_) {
    if (grant.owner == owner) granted.insert(job);
  }
  return granted;
}

void BlockCoordinator::SendViews() {
  views_sent_at_ = Now();
  const blocks::BlockAssignment& block_assignment = services_.block_records->block_assignment();
  std::vector<model::MachineView> machines;
  if (has_owners()) machines = blocks::DescribeMachines(registry_, *services_.job_table, Now());
  for (auto& [node, link] : links_) {
    if (!services_.formats->SupportsBlocks(node)) continue;
    const std::optional<size_t> owner = block_assignment.IndexOf(node);
    std::vector<model::JobFailures> failures;
    if (owner) failures = registry_.failure_tracker().DescribeFailures(RetriesGrantedTo(*owner));
    for (const wire::BlockView& view : link.view_builder.BuildViews(
             services_.election->token(), block_assignment, owner, machines, std::move(failures))) {
      link.unacknowledged[view.sequence] = Now();
      services_.send_to_node(node, view);
    }
    while (link.unacknowledged.size() > kMaxUnacknowledgedViews) {
      link.unacknowledged.erase(link.unacknowledged.begin());
    }
  }
}

async::Task<> BlockCoordinator::SendViewsPeriodically() {
  async::Scope& term = *term_;
  while (!term.cancelled()) {
    async::Sleep wait(term, ViewIntervalS());
    co_await wait;
    if (!term.cancelled() && Now() - views_sent_at_ >= ViewIntervalS()) SendViews();
  }
}

}  // namespace hallpier::controller
