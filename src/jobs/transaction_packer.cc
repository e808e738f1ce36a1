#include "jobs/transaction_packer.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace hallpier::jobs {
namespace {

// The state service accepts 64 KiB. The remainder is for the key names, versions and JSON syntax of
// the preconditions, which SizeOf does not count.
constexpr size_t kMaxTransactionBytes = size_t{48} * 1024;
// Estimate for the JSON syntax, the version and the lease of one write.
constexpr size_t kWriteOverheadBytes = 64;
constexpr size_t kMaxPreconditionsPerWrite = 4;

size_t SizeOf(const std::vector<model::KeyWrite>& writes) {
  size_t bytes = 0;
  for (const model::KeyWrite& write : writes) {
    bytes += write.key.size() + write.value.size() + kWriteOverheadBytes;
  }
  return bytes;
}

// Appends the elements of `more` whose keys are not in `all` yet. Elements with the same key are
// equal: preconditions require the same cached version, and a job record that is rewritten by
// placements in several of the job's groups has the same value.
template <class Keyed>
void AppendNewKeys(std::vector<Keyed>& all, std::vector<Keyed>& more) {
  for (Keyed& added : more) {
    const bool known = std::any_of(all.begin(), all.end(), [&added](const Keyed& element) {
      return element.key == added.key;
    });
    if (!known) all.push_back(std::move(added));
  }
}

class TransactionPacker {
 public:
  explicit TransactionPacker(const TransactionLimits& limits) : limits_(limits) {}

  void Add(WriteUnit& unit) {
    const size_t unit_bytes = SizeOf(unit.writes);
    const bool isolated =
        limits_.isolated_keys != nullptr && limits_.isolated_keys->contains(unit.writes[0].key);
    if (transactions_.empty() || last_is_closed_ || isolated || !Fits(unit, unit_bytes)) {
      BeginTransaction(unit.priority);
    }
    last_is_closed_ = isolated;
    last_bytes_ += unit_bytes;
    Transaction& last = transactions_.back();
    AppendNewKeys(last.preconditions, unit.preconditions);
    AppendNewKeys(last.writes, unit.writes);
    std::move(unit.machines.begin(), unit.machines.end(), std::back_inserter(last.machines));
  }

  std::vector<Transaction> Take() { return std::move(transactions_); }

 private:
  // Returns true if the unit fits in the last transaction.
  bool Fits(const WriteUnit& unit, size_t unit_bytes) const {
    const Transaction& last = transactions_.back();
    const auto max_writes = static_cast<size_t>(limits_.max_writes);
    const size_t max_preconditions = kMaxPreconditionsPerWrite * max_writes;
    return last.writes.size() + unit.writes.size() <= max_writes &&
           last.preconditions.size() + unit.preconditions.size() <= max_preconditions &&
           last_bytes_ + unit_bytes <= kMaxTransactionBytes;
  }

  void BeginTransaction(WritePriority priority) {
    Transaction& transaction = transactions_.emplace_back();
    transaction.preconditions = limits_.preconditions;
    transaction.priority = priority;
    last_bytes_ = 0;
  }

  const TransactionLimits& limits_;
  std::vector<Transaction> transactions_;
  size_t last_bytes_ = 0;
  bool last_is_closed_ = false;  // contains an isolated key; no unit may be added
};

}  // namespace

std::vector<Transaction> PackTransactions(std::vector<WriteUnit> units,
                                          const TransactionLimits& limits) {
  std::stable_sort(units.begin(), units.end(), [](const WriteUnit& left, const WriteUnit& right) {
    return left.priority < right.priority;
  });
  TransactionPacker packer(limits);
  for (WriteUnit& unit : units) packer.Add(unit);
  return packer.Take();
}

}  // namespace hallpier::jobs
