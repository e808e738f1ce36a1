#include "controller/transaction_committer.h"

#include <spdlog/spdlog.h>

#include <set>

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
  const double began = scope.loop().Now();
  for (jobs::Transaction& transaction : transactions) {
    if (oversized_.IsRejected(transaction.writes)) continue;
    // What the budget has no room for now is decided anew, with what has come in meanwhile.
    const double left_s = began + budget_s - scope.loop().Now();
    if (left_s <= 0 || (hooks_.replan_instead && hooks_.replan_instead(transaction))) {
      hooks_.on_not_written();
      co_return;
    }
    const Outcome outcome = co_await Send(scope, transaction, left_s);
    if (scope.cancelled()) co_return;
    if (outcome == Outcome::kNoAnswer && !transaction.machines.empty()) {
      unanswered_.push_back(std::move(transaction));
    }
    // A transaction that was rejected for what it contains does not hold up those behind it.
    if (outcome != Outcome::kCommitted && outcome != Outcome::kMalformed) co_return;
  }
}

async::Task<TransactionCommitter::Outcome> TransactionCommitter::Send(
    async::Scope& scope, const jobs::Transaction& transaction, double patience_s) {
  std::vector<std::string> lines;
  if (hooks_.describe) lines = hooks_.describe(transaction);
  const auto urgent = transaction.priority <= jobs::WritePriority::kJobEnd
                          ? store::RequestPriority::kUrgent
                          : store::RequestPriority::kNormal;
  auto result = co_await services_.client->Commit(transaction.preconditions, transaction.writes,
                                                  urgent, patience_s);
  if (scope.cancelled()) co_return Outcome::kNoAnswer;
  if (result.ok()) {
    for (const std::string& line : lines) spdlog::info("{}", line);
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
  if (hooks_.on_committed) hooks_.on_committed(transaction);
  for (const model::KeyWrite& write : transaction.writes) {
    services_.cache->Apply(write.key, write.value, revision);
  }
  NotifyPlaced(transaction);
}

void TransactionCommitter::OnMalformed(const std::vector<model::KeyWrite>& writes) {
  if (!services_.formats->packed_groups_enabled() && services_.settings->state_next) {
    services_.formats->ProveAllUpgraded("the limits are lower");
    return;
  }
  if (oversized_.OnRejected(writes)) {
    spdlog::error("commit: record rejected as malformed key={}", writes[0].key);
  }
}

async::Task<TransactionCommitter::Outcome> TransactionCommitter::OnConflict(
    async::Scope& scope, const jobs::Transaction& transaction,
    std::vector<std::string> failed_keys) {
  const bool known = co_await Refresh(scope, std::move(failed_keys));
  if (scope.cancelled()) co_return Outcome::kNoAnswer;
  // Overtaken by its own first copy, perhaps: then there is something to start.
  NotifyPlaced(transaction);
  co_return known ? Outcome::kOvertaken : Outcome::kNotApplied;
}

async::Task<bool> TransactionCommitter::Refresh(async::Scope& scope,
                                                std::vector<std::string> keys) const {
  // The watch brings most of it by itself. Were the copy wrong for good, the same write would fail
  // in every round, and all that comes behind it with it.
  bool known = true;
  for (const std::string& key : keys) {
    // Whose token it is comes from the election alone.
    if (key == store::FencingTokenKey()) continue;
    const bool read = co_await services_.cache->Refresh(key);
    if (scope.cancelled()) co_return false;
    known = known && read;
  }
  co_return known;
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
