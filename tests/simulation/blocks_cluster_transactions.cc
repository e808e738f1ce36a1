// A node's watch cache in BlocksCluster, and its transactions with injected faults.
#include <memory>

#include "simulation/blocks_cluster.h"

namespace hallpier::testing_support {
namespace {

// A node gives up on a transaction without an answer after this time.
constexpr double kTransactionTimeoutS = 1;
constexpr int kWritesPerTransaction = 8;
constexpr size_t kValueBytes = 8192;

}  // namespace

std::vector<std::string> BlocksCluster::Execute(
    const std::vector<model::Precondition>& preconditions,
    const std::vector<model::KeyWrite>& writes) {
  std::vector<std::string> failed = store_.Execute(now(), preconditions, writes);
  if (!failed.empty() || !on_block_record_write_) return failed;
  for (const model::KeyWrite& write : writes) {
    const bool is_block_record = store::IsKeyOfKind<store::BlockAssignmentKeyName>(write.key) ||
                                 store::IsKeyOfKind<store::AllocationKeyName>(write.key);
    if (is_block_record) At(0, [this, key = write.key] { on_block_record_write_(key); });
  }
  return failed;
}

void BlocksCluster::ApplyRecord(Node& node, const std::string& key, const std::string& value,
                                uint64_t version) {
  if (!key.starts_with(store::kActivePrefix) || version <= node.newest_versions[key]) return;
  node.newest_versions[key] = version;
  node.versions[key] = value.empty() ? 0 : version;
  const store::ParsedKey parsed = store::ParseKey(key);
  if (std::holds_alternative<store::JobKeyName>(parsed) ||
      std::holds_alternative<store::TaskGroupKeyName>(parsed)) {
    node.job_table.Apply(parsed, value);
  }
  if (std::holds_alternative<store::BlockAssignmentKeyName>(parsed)) {
    node.records.SetBlockAssignment(value, version);
  }
  if (const auto* allocation = std::get_if<store::AllocationKeyName>(&parsed)) {
    node.records.SetAllocation(allocation->node, value, version);
  }
  const bool superseded = key == store::FencingTokenKey() && version != node.token.value();
  if (node.is_leader && superseded) node.is_leader = false;
}

void BlocksCluster::ApplyChanges(Node& node) {
  if (!ReachesState(node)) return;
  const std::vector<VersionedStore::Change>& changes = store_.changes();
  const double until = now() - options_.watch_lag_s;
  while (node.applied_changes < changes.size() && changes[node.applied_changes].at <= until) {
    const VersionedStore::Change& change = changes[node.applied_changes++];
    ApplyRecord(node, change.key, change.value, change.revision);
    node.revision = change.revision;
  }
}

uint64_t BlocksCluster::VersionIn(const Node& node, const std::string& key) {
  auto it = node.versions.find(key);
  return it == node.versions.end() ? 0 : it->second;
}

blocks::CacheState BlocksCluster::CacheStateOf(const Node& node) const {
  const uint64_t revision = IsDisabled("copy") ? UINT64_MAX : node.revision;
  const model::FencingToken known(VersionIn(node, store::FencingTokenKey()));
  return {revision, node.is_leader ? node.token : known};
}

void BlocksCluster::Send(Node& node, const std::vector<jobs::TaskTransition>& transitions,
                         std::vector<model::Precondition> preconditions, bool placements_only) {
  jobs::TransactionLimits limits;
  limits.max_writes = kWritesPerTransaction;
  limits.max_value_bytes = kValueBytes;
  limits.preconditions = std::move(preconditions);
  limits.packed_groups = true;
  limits.time_of_day = now();
  limits.placements_only = placements_only;
  limits.concurrent_placement = true;
  auto version = [&](const std::string& key) { return VersionIn(node, key); };
  for (jobs::Transaction& transaction :
       jobs::BuildTransactions(node.job_table, transitions, limits, version)) {
    node.queue.push_back(std::move(transaction));
  }
  SendNext(node);
}

std::vector<model::Precondition> BlocksCluster::EnabledPreconditions(
    const std::vector<model::Precondition>& preconditions) const {
  std::vector<model::Precondition> enabled;
  for (const model::Precondition& precondition : preconditions) {
    const std::string& key = precondition.key;
    const bool disabled =
        (store::IsKeyOfKind<store::FencingTokenKeyName>(key) && IsDisabled("token")) ||
        (store::IsKeyOfKind<store::BlockAssignmentKeyName>(key) && IsDisabled("division")) ||
        (store::IsKeyOfKind<store::AllocationKeyName>(key) && IsDisabled("share")) ||
        (store::IsKeyOfKind<store::JobKeyName>(key) && IsDisabled("job"));
    if (!disabled) enabled.push_back(precondition);
  }
  return enabled;
}

BlocksCluster::DeliveryFault BlocksCluster::ChooseFault(Node& node, bool places) {
  DeliveryFault fault = DeliveryFault::kNone;
  if (places) fault = std::exchange(node.next_fault, DeliveryFault::kNone);
  if (fault == DeliveryFault::kNone && Uniform(0, 1) < options_.lost_answer_rate) {
    fault = DeliveryFault::kAnswerLost;
  }
  if (fault == DeliveryFault::kNone && Uniform(0, 1) < options_.late_rate)
    fault = DeliveryFault::kLate;
  return ReachesState(node) ? fault : DeliveryFault::kNotSent;
}

void BlocksCluster::SendNext(Node& node) {
  node.busy = !node.queue.empty();
  if (node.queue.empty()) return;
  const jobs::Transaction transaction = std::move(node.queue.front());
  node.queue.pop_front();
  const bool places = !transaction.machines.empty();
  const DeliveryFault fault = ChooseFault(node, places);
  if (places && node.on_sent) std::exchange(node.on_sent, nullptr)();
  const std::string name = node.name;
  const uint64_t generation = node.process->generation();
  auto failed = std::make_shared<std::vector<std::string>>();
  auto execute = [this, transaction, failed, name] {
    *failed = Execute(EnabledPreconditions(transaction.preconditions), transaction.writes);
    if (failed->empty()) {
      NodeOf(name).placements += static_cast<int>(transaction.machines.size());
    } else {
      ++conflicts_;
    }
    return store_.revision();
  };
  const double request_delay_s = options_.delay_s * Uniform(1, 2);
  const double answer_delay_s = options_.delay_s * Uniform(1, 2);
  auto give_up = [this, name, transaction] { OnTransactionTimeout(name, transaction); };
  if (fault == DeliveryFault::kNotSent || fault == DeliveryFault::kLate) {
    if (fault == DeliveryFault::kLate) {
      At(Uniform(options_.min_late_s, options_.max_late_s), execute);
    }
    InProcessAfter(kTransactionTimeoutS, name, generation, give_up);
    return;
  }
  At(request_delay_s, [this, fault, name, generation, transaction, failed, execute, give_up,
                       answer_delay_s] {
    const uint64_t revision = execute();
    if (fault == DeliveryFault::kAnswerLost) {
      InProcessAfter(kTransactionTimeoutS, name, generation, give_up);
      return;
    }
    InProcessAfter(answer_delay_s, name, generation, [this, name, transaction, revision, failed] {
      OnTransactionAnswer(name, transaction, revision, *failed);
    });
  });
}

void BlocksCluster::OnTransactionTimeout(const std::string& name,
                                         const jobs::Transaction& transaction) {
  Node& node = NodeOf(name);
  if (!transaction.machines.empty()) node.unanswered.push_back(transaction);
  node.queue.clear();
  node.busy = false;
}

void BlocksCluster::OnTransactionAnswer(const std::string& name,
                                        const jobs::Transaction& transaction, uint64_t revision,
                                        const std::vector<std::string>& failed) {
  Node& node = NodeOf(name);
  if (failed.empty()) {
    if (node.is_leader) node.registry->OnCommitted(revision);
    for (const model::KeyWrite& write : transaction.writes) {
      if (revision > node.revision) ApplyRecord(node, write.key, write.value, revision);
    }
    SendNext(node);
    return;
  }
  for (const std::string& key : failed) {
    if (key == store::FencingTokenKey()) continue;
    const uint64_t known = VersionIn(node, key);
    if (store_.Contains(key)) {
      ApplyRecord(node, key, store_.Value(key), store_.Version(key));
    } else if (known != 0) {
      ApplyRecord(node, key, "", known + 1);
    }
  }
  node.queue.clear();
  node.busy = false;
}

}  // namespace hallpier::testing_support
