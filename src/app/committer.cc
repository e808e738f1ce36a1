#include "app/committer.h"

#include <spdlog/spdlog.h>

#include "store/schema.h"

namespace hallpier::app {
namespace {

// What a refusal for size depends on: not on the times that are in final records.
std::vector<std::pair<std::string, size_t>> SizesOf(const std::vector<wire::Write>& writes) {
  std::vector<std::pair<std::string, size_t>> out;
  out.reserve(writes.size());
  for (const wire::Write& w : writes) out.emplace_back(w.key, w.value.size());
  return out;
}

}  // namespace

Committer::Committer(const config::Settings& settings, store::Client& client,
                     store::Replica& replica, store::Formats& formats, Hooks hooks)
    : settings_(settings),
      client_(client),
      replica_(replica),
      formats_(formats),
      hooks_(std::move(hooks)) {}

void Committer::Reset() {
  alone_.clear();
  refused_.clear();
  unanswered_.clear();
}

jobs::BatchLimits Committer::Limits(std::vector<wire::Guard> guards, double time_of_day) const {
  jobs::BatchLimits limits;
  limits.ops = formats_.txn_ops();
  limits.guards = std::move(guards);
  limits.value_bytes = formats_.value_bytes();
  limits.patience_s = settings_.report_s;
  limits.packed = formats_.packed();
  limits.time_of_day = time_of_day;
  limits.alone = &alone_;
  return limits;
}

void Committer::OnTooLarge(const std::vector<wire::Write>& writes) {
  if (!formats_.packed() && settings_.state_next) {
    formats_.Prove("the limits are lower");
    return;
  }
  if (alone_.contains(writes[0].key)) {
    spdlog::error("state: {} is refused as it is; it is left until it has another size",
                  writes[0].key);
    refused_[writes[0].key] = SizesOf(writes);
  } else {
    for (const wire::Write& w : writes) alone_.insert(w.key);
  }
}

bool Committer::Refused(const std::vector<wire::Write>& writes) const {
  auto it = refused_.find(writes[0].key);
  return it != refused_.end() && it->second == SizesOf(writes);
}

rt::Task<> Committer::Commit(rt::Scope& scope, std::vector<jobs::Txn> txns, double budget_s) {
  const double begin = scope.loop().Now();
  for (jobs::Txn& txn : txns) {
    if (Refused(txn.writes)) continue;
    // What the budget has no room for now is decided anew, with what has come in meanwhile.
    const double left = begin + budget_s - scope.loop().Now();
    if (left <= 0 || (hooks_.gives_way && hooks_.gives_way(txn))) {
      hooks_.on_left();
      co_return;
    }
    const Written written = co_await Write(scope, txn, left);
    if (scope.cancelled()) co_return;
    if (written == Written::kNoAnswer && !txn.machines.empty()) {
      unanswered_.push_back(std::move(txn));
    }
    // What was refused for what it holds holds up nothing that comes behind it.
    if (written != Written::kYes && written != Written::kNever) co_return;
  }
}

void Committer::TellPlaced(const jobs::Txn& txn) const {
  if (!hooks_.on_placed) return;
  const std::set<std::string> machines(txn.machines.begin(), txn.machines.end());
  for (const std::string& machine : machines) hooks_.on_placed(machine);
}

void Committer::TakeIn(const jobs::Txn& txn, uint64_t revision) {
  if (hooks_.on_written) hooks_.on_written(txn);
  for (const wire::Write& w : txn.writes) replica_.Apply(w.key, w.value, revision);
  TellPlaced(txn);
}

rt::Task<bool> Committer::Refresh(rt::Scope& scope, std::vector<std::string> keys) {
  // The watch brings most of it by itself. Were the copy wrong for good, the same write would
  // fail in every round, and all that comes behind it with it.
  bool known = true;
  for (const std::string& key : keys) {
    // Whose token it is comes from the leadership alone.
    if (key == store::BlockKey(0)) continue;
    bool read = co_await replica_.Refresh(key);
    if (scope.cancelled()) co_return false;
    known = known && read;
  }
  co_return known;
}

rt::Task<Committer::Written> Committer::Write(rt::Scope& scope, const jobs::Txn& txn,
                                              double patience_s) {
  std::vector<std::string> lines;
  if (hooks_.describe) lines = hooks_.describe(txn);
  const auto urgent = txn.rank <= jobs::Rank::kEnd ? store::Urgent::kYes : store::Urgent::kNo;
  auto r = co_await client_.Txn(txn.guards, txn.writes, urgent, patience_s);
  if (scope.cancelled()) co_return Written::kNoAnswer;
  if (r.ok()) {
    for (const std::string& line : lines) spdlog::info("{}", line);
    TakeIn(txn, r.value.revision);
    co_return Written::kYes;
  }
  spdlog::info("commit of {} writes failed ({}{})", txn.writes.size(), static_cast<int>(r.status),
               r.value.failed.empty() ? "" : ", overtaken: " + r.value.failed.front());
  hooks_.on_left();
  switch (r.status) {
    case store::Status::kInvalid:
      OnTooLarge(txn.writes);
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
  TellPlaced(txn);
  co_return known ? Written::kOvertaken : Written::kNotNow;
}

rt::Task<bool> Committer::ResolveUnanswered(rt::Scope& scope, double budget_s) {
  while (!unanswered_.empty()) {
    const Written written = co_await Write(scope, unanswered_.front(), budget_s);
    if (scope.cancelled()) co_return false;
    if (written == Written::kNotNow || written == Written::kNoAnswer) co_return false;
    unanswered_.pop_front();
  }
  co_return true;
}

}  // namespace hallpier::app
