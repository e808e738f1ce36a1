#include "controller/transaction_committer.h"

#include <spdlog/spdlog.h>

#include "store/keys.h"

namespace hallpier::controller {
namespace {

// What a refusal for size depends on: not on the times that are in final records.
std::vector<std::pair<std::string, size_t>> SizesOf(const std::vector<model::KeyWrite>& writes) {
  std::vector<std::pair<std::string, size_t>> out;
  out.reserve(writes.size());
  for (const model::KeyWrite& w : writes) out.emplace_back(w.key, w.value.size());
  return out;
}

}  // namespace

TransactionCommitter::TransactionCommitter(const config::Settings& settings, store::Client& client,
                                           store::WatchCache& cache, store::RecordFormats& formats,
                                           Hooks hooks)
    : settings_(settings),
      client_(client),
      cache_(cache),
      formats_(formats),
      hooks_(std::move(hooks)) {}

void TransactionCommitter::Reset() {
  alone_.clear();
  refused_.clear();
  unanswered_.clear();
}

jobs::TransactionLimits TransactionCommitter::Limits(std::vector<model::Precondition> preconditions,
                                                     double time_of_day) const {
  jobs::TransactionLimits limits;
  limits.max_writes = formats_.max_transaction_writes();
  limits.preconditions = std::move(preconditions);
  limits.value_bytes = formats_.max_value_bytes();
  limits.task_end_max_wait_s = settings_.heartbeat_interval_s;
  limits.packed_groups = formats_.packed_groups_enabled();
  limits.time_of_day = time_of_day;
  limits.sent_alone = &alone_;
  return limits;
}

void TransactionCommitter::OnTooLarge(const std::vector<model::KeyWrite>& writes) {
  if (!formats_.packed_groups_enabled() && settings_.state_next) {
    formats_.ProveAllUpgraded("the limits are lower");
    return;
  }
  if (alone_.contains(writes[0].key)) {
    spdlog::error("state: {} is refused as it is; it is left until it has another size",
                  writes[0].key);
    refused_[writes[0].key] = SizesOf(writes);
  } else {
    for (const model::KeyWrite& w : writes) alone_.insert(w.key);
  }
}

bool TransactionCommitter::Refused(const std::vector<model::KeyWrite>& writes) const {
  auto it = refused_.find(writes[0].key);
  return it != refused_.end() && it->second == SizesOf(writes);
}

async::Task<> TransactionCommitter::Commit(async::Scope& scope,
                                           std::vector<jobs::Transaction> transactions,
                                           double budget_s) {
  const double begin = scope.loop().Now();
  for (jobs::Transaction& transaction : transactions) {
    if (Refused(transaction.writes)) continue;
    // What the budget has no room for now is decided anew, with what has come in meanwhile.
    const double left = begin + budget_s - scope.loop().Now();
    if (left <= 0 || (hooks_.gives_way && hooks_.gives_way(transaction))) {
      hooks_.on_left();
      co_return;
    }
    const Written written = co_await Write(scope, transaction, left);
    if (scope.cancelled()) co_return;
    if (written == Written::kNoAnswer && !transaction.machines.empty()) {
      unanswered_.push_back(std::move(transaction));
    }
    // What was refused for what it holds holds up nothing that comes behind it.
    if (written != Written::kYes && written != Written::kNever) co_return;
  }
}

void TransactionCommitter::TellPlaced(const jobs::Transaction& transaction) const {
  if (!hooks_.on_placed) return;
  const std::set<std::string> machines(transaction.machines.begin(), transaction.machines.end());
  for (const std::string& machine : machines) hooks_.on_placed(machine);
}

void TransactionCommitter::TakeIn(const jobs::Transaction& transaction, uint64_t revision) {
  if (hooks_.on_written) hooks_.on_written(transaction);
  for (const model::KeyWrite& w : transaction.writes) cache_.Apply(w.key, w.value, revision);
  TellPlaced(transaction);
}

async::Task<bool> TransactionCommitter::Refresh(async::Scope& scope,
                                                std::vector<std::string> keys) {
  // The watch brings most of it by itself. Were the copy wrong for good, the same write would
  // fail in every round, and all that comes behind it with it.
  bool known = true;
  for (const std::string& key : keys) {
    // Whose token it is comes from the leadership alone.
    if (key == store::FencingTokenKey()) continue;
    bool read = co_await cache_.Refresh(key);
    if (scope.cancelled()) co_return false;
    known = known && read;
  }
  co_return known;
}

async::Task<TransactionCommitter::Written> TransactionCommitter::Write(
    async::Scope& scope, const jobs::Transaction& transaction, double patience_s) {
  std::vector<std::string> lines;
  if (hooks_.describe) lines = hooks_.describe(transaction);
  const auto urgent = transaction.priority <= jobs::WritePriority::kJobEnd
                          ? store::RequestPriority::kUrgent
                          : store::RequestPriority::kNormal;
  auto r =
      co_await client_.Commit(transaction.preconditions, transaction.writes, urgent, patience_s);
  if (scope.cancelled()) co_return Written::kNoAnswer;
  if (r.ok()) {
    for (const std::string& line : lines) spdlog::info("{}", line);
    TakeIn(transaction, r.value.revision);
    co_return Written::kYes;
  }
  spdlog::info("commit of {} writes failed ({}{})", transaction.writes.size(),
               static_cast<int>(r.status),
               r.value.failed.empty() ? "" : ", overtaken: " + r.value.failed.front());
  hooks_.on_left();
  switch (r.status) {
    case store::Status::kInvalid:
      OnTooLarge(transaction.writes);
      co_return Written::kNever;
    case store::Status::kRefused:
      co_return Written::kNotNow;
    case store::Status::kConflict:
      break;
    default:
      co_return Written::kNoAnswer;
  }
  bool known = co_await Refresh(scope, std::move(r.value.failed));
  if (scope.cancelled()) co_return Written::kNoAnswer;
  // Overtaken by its own first copy, perhaps: then there is something to start.
  TellPlaced(transaction);
  co_return known ? Written::kOvertaken : Written::kNotNow;
}

async::Task<bool> TransactionCommitter::ResolveUnanswered(async::Scope& scope, double budget_s) {
  while (!unanswered_.empty()) {
    const Written written = co_await Write(scope, unanswered_.front(), budget_s);
    if (scope.cancelled()) co_return false;
    if (written == Written::kNotNow || written == Written::kNoAnswer) co_return false;
    unanswered_.pop_front();
  }
  co_return true;
}

}  // namespace hallpier::controller
