#include "controller/transaction_committer.h"

#include <spdlog/spdlog.h>

#include <set>

#include "controller/start_permission.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::controller {

TransactionCommitter::TransactionCommitter(const NodeServices& services, Hooks hooks)
    : services_(services), hooks_(std::move(hooks)) {}

void TransactionCommitter::Reset() {
  oversized_.Clear();
  unanswered_.clear();
}

jobs::TransactionLimits TransactionCommitter::Limits(
    std::vector<model::Precondition> preconditions) const {
  jobs::TransactionLimits limits;
  limits.max_writes = services_.formats->max_transaction_writes();
  limits.preconditions = std::move(preconditions);
  limits.max_value_bytes = services_.formats->max_value_bytes();
  limits.task_end_max_wait_s = services_.settings->heartbeat_interval_s;
  limits.packed_groups = services_.formats->packed_groups_enabled();
  limits.time_of_day = services_.time_of_day();
  limits.isolated_keys = &oversized_.isolated_keys();
  return limits;
}

async::Task<> TransactionCommitter::Commit(async::Scope& scope,
                                           std::vector<jobs::Transaction> transactions,
                                           double budget_s) {
  const double started_at = scope.loop().Now();
  for (jobs::Transaction& transaction : transactions) {
    if (oversized_.IsRejected(transaction.writes)) continue;
    // Transactions beyond the budget are left to the next round, which also considers new events.
    const double left_s = started_at + budget_s - scope.loop().Now();
    if (left_s <= 0 || (hooks_.should_replan && hooks_.should_replan(transaction))) {
      hooks_.on_not_written();
      co_return;
    }
    const Outcome outcome = co_await Send(scope, transaction, left_s);
    if (scope.cancelled()) co_return;
    if (outcome == Outcome::kNoAnswer && !transaction.machines.empty()) {
      unanswered_.push_back(std::move(transaction));
    }
    // A transaction that was rejected because of its content does not block the following ones.
    if (outcome != Outcome::kCommitted && outcome != Outcome::kMalformed) co_return;
  }
}

async::Task<TransactionCommitter::Outcome> TransactionCommitter::Send(
    async::Scope& scope, const jobs::Transaction& transaction, double max_wait_s) {
  std::vector<std::string> log_lines;
  if (hooks_.describe) log_lines = hooks_.describe(transaction);
  const auto request_priority = transaction.priority <= jobs::WritePriority::kJobEnd
                                    ? store::RequestPriority::kUrgent
                                    : store::RequestPriority::kNormal;
  const double requested_at = scope.loop().Now();
  auto result = co_await services_.client->Commit(transaction.preconditions, transaction.writes,
                                                  request_priority, max_wait_s);
  if (scope.cancelled()) co_return Outcome::kNoAnswer;
  if (result.ok()) {
    for (const std::string& line : log_lines) spdlog::info("{}", line);
    services_.start_permission->OnCommitted(transaction.preconditions, requested_at);
    OnCommitted(transaction, result.value.revision);
    co_return Outcome::kCommitted;
  }
  spdlog::info("commit: failed writes={} status={} overtaken_by={}", transaction.writes.size(),
               static_cast<int>(result.status),
               result.value.failed.empty() ? "-" : result.value.failed.front());
  hooks_.on_not_written();
  if (result.status == store::Status::kInvalid) {
    OnMalformed(transaction.writes);
    co_return Outcome::kMalformed;
  }
  if (result.status == store::Status::kRefused) co_return Outcome::kNotApplied;
  if (result.status != store::Status::kConflict) co_return Outcome::kNoAnswer;
  const Outcome outcome = co_await OnConflict(scope, transaction, std::move(result.value.failed));
  co_return outcome;
}

void TransactionCommitter::OnCommitted(const jobs::Transaction& transaction, uint64_t revision) {
  if (hooks_.on_committed) hooks_.on_committed(transaction, revision);
  for (const model::KeyWrite& write : transaction.writes) {
    services_.cache->ApplyAheadOfWatch(write.key, write.value, revision);
  }
  NotifyPlaced(transaction);
}

void TransactionCommitter::OnMalformed(const std::vector<model::KeyWrite>& writes) {
  if (!services_.formats->packed_groups_enabled() && services_.settings->next_state_limits) {
    services_.formats->MarkAllNodesUpgraded("the limits are lower");
    return;
  }
  if (oversized_.OnRejected(writes)) {
    spdlog::error("commit: record rejected as malformed key={}", writes[0].key);
  }
}

async::Task<TransactionCommitter::Outcome> TransactionCommitter::OnConflict(
    async::Scope& scope, const jobs::Transaction& transaction,
    std::vector<std::string> failed_keys) {
  const bool all_read = co_await Refresh(scope, std::move(failed_keys));
  if (scope.cancelled()) co_return Outcome::kNoAnswer;
  // The conflicting write may be an earlier copy of this transaction; in that case its placements
  // are recorded and there are tasks to start.
  NotifyPlaced(transaction);
  co_return all_read ? Outcome::kSuperseded : Outcome::kNotApplied;
}

async::Task<bool> TransactionCommitter::Refresh(async::Scope& scope,
                                                std::vector<std::string> keys) const {
  // The watch delivers most changes without these reads. But if the cache stayed wrong, the same
  // write would fail in every round, along with all writes that follow it.
  bool all_read = true;
  for (const std::string& key : keys) {
    // Only the election determines the token and the node that holds it.
    if (key == store::FencingTokenKey()) continue;
    const bool read = co_await services_.cache->Refresh(key);
    if (scope.cancelled()) co_return false;
    all_read = all_read && read;
  }
  co_return all_read;
}

void TransactionCommitter::NotifyPlaced(const jobs::Transaction& transaction) const {
  if (!hooks_.on_placed) return;
  const std::set<std::string> machines(transaction.machines.begin(), transaction.machines.end());
  for (const std::string& machine : machines) hooks_.on_placed(machine);
}

async::Task<bool> TransactionCommitter::ResolveUnanswered(async::Scope& scope, double budget_s) {
  while (!unanswered_.empty()) {
    const Outcome outcome = co_await Send(scope, unanswered_.front(), budget_s);
    if (scope.cancelled()) co_return false;
    if (outcome == Outcome::kNotApplied || outcome == Outcome::kNoAnswer) co_return false;
    unanswered_.pop_front();
  }
  co_return true;
}

}  // namespace hallpier::controller
