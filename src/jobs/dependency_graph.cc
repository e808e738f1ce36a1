#include "jobs/dependency_graph.h"

#include <algorithm>
#include <utility>

namespace hallpier::jobs {
namespace {

std::string TakeLast(std::vector<std::string>& ids) {
  std::string last = std::move(ids.back());
  ids.pop_back();
  return last;
}

}  // namespace

const DependencyGraph::EffectiveState* DependencyGraph::Find(const std::string& id) const {
  auto node = nodes_.find(id);
  return node == nodes_.end() ? nullptr : &node->second.state;
}

bool DependencyGraph::CancelledByOwnRecord(const std::string& id) const {
  auto node = nodes_.find(id);
  return node != nodes_.end() && node->second.cancelled_by_record;
}

const store::FinalRecord* DependencyGraph::FindFinalRecord(const std::string& id) const {
  auto awaited = awaited_.find(id);
  if (awaited == awaited_.end() || !awaited->second.ended) return nullptr;
  return &awaited->second.final_record;
}

const std::unordered_set<std::string>& DependencyGraph::Dependents(const std::string& id) const {
  static const std::unordered_set<std::string> kNone;
  auto awaited = awaited_.find(id);
  return awaited == awaited_.end() ? kNone : awaited->second.dependents;
}

bool DependencyGraph::UpstreamResolved(const std::string& id) const {
  if (unresolved_.empty()) return true;
  if (unresolved_.contains(id)) return false;
  // One walk answers the questions about all jobs until the graph changes.
  if (!downstream_of_unresolved_) downstream_of_unresolved_ = FindDownstreamOfUnresolved();
  return !downstream_of_unresolved_->contains(id);
}

std::unordered_set<std::string> DependencyGraph::FindDownstreamOfUnresolved() const {
  std::vector<std::string> pending(unresolved_.begin(), unresolved_.end());
  std::unordered_set<std::string> found;
  while (!pending.empty()) {
    const std::string current = TakeLast(pending);
    for (const std::string& dependent : Dependents(current)) {
      ++examined_dependencies_;
      auto entry = nodes_.find(dependent);
      // All jobs that an unblocked job awaits are done: no upstream job can affect it any more.
      if (entry == nodes_.end() || !entry->second.state.blocked) continue;
      if (found.insert(dependent).second) pending.push_back(dependent);
    }
  }
  return found;
}

std::vector<std::string> DependencyGraph::TakeChanged() {
  std::vector<std::string> changed(changed_.begin(), changed_.end());
  changed_.clear();
  return changed;
}

void DependencyGraph::UpdateUnresolved(const std::string& id) {
  downstream_of_unresolved_.reset();
  auto awaited = awaited_.find(id);
  if (awaited != awaited_.end() && !awaited->second.ended && !nodes_.contains(id)) {
    unresolved_.insert(id);
  } else {
    unresolved_.erase(id);
  }
}

void DependencyGraph::AddOrUpdate(const store::JobRecord& record) {
  const std::string& id = record.spec.id;
  auto [entry, is_new] = nodes_.try_emplace(id);
  Node& node = entry->second;
  if (is_new) {
    InitNode(record, node);
  } else if (node.dependencies.empty() && node.state.runnable_since != record.submitted_at) {
    node.state.runnable_since = record.submitted_at;
    MarkChanged(id);
  }
  if (record.cancelled && !node.cancelled_by_record) {
    node.cancelled_by_record = true;
    CancelDownstream(id);
  }
}

void DependencyGraph::InitNode(const store::JobRecord& record, Node& node) {
  const std::string& id = record.spec.id;
  node.dependencies = record.spec.dependencies;
  node.own.priority = record.spec.priority;
  if (record.spec.deadline_s > 0) {
    node.own.deadline = record.submitted_at + record.spec.deadline_s;
  }
  node.estimated_run_s = record.spec.estimated_run_s;
  node.state.runnable_since = record.submitted_at;
  MarkChanged(id);
  UpdateUnresolved(id);
  Connect(id, node);
}

void DependencyGraph::Connect(const std::string& id, Node& node) {
  bool upstream_cancelled = false;
  for (const std::string& awaited_id : node.dependencies) {
    AwaitedJob& awaited = awaited_[awaited_id];
    awaited.dependents.insert(id);
    UpdateUnresolved(awaited_id);
    if (awaited.ended && awaited.final_record.phase == model::JobPhase::kDone) {
      node.state.runnable_since =
          std::max(node.state.runnable_since, awaited.final_record.recorded_at);
      continue;
    }
    ++node.pending_dependencies;
    auto unfinished = nodes_.find(awaited_id);
    const bool is_cancelled =
        awaited.ended || (unfinished != nodes_.end() && unfinished->second.state.cancelled);
    upstream_cancelled = upstream_cancelled || is_cancelled;
  }
  node.state.blocked = node.pending_dependencies > 0;
  // The initial load delivers records in any order: dependents may have been added before this job.
  DeriveUrgency(id, node);
  if (upstream_cancelled) {
    CancelDownstream(id);
  } else {
    PassOnNewUrgency(id, node);
  }
}

void DependencyGraph::CancelDownstream(const std::string& id) {
  std::vector<std::string> pending = {id};
  while (!pending.empty()) {
    const std::string current = TakeLast(pending);
    auto entry = nodes_.find(current);
    if (entry == nodes_.end() || entry->second.state.cancelled) continue;
    Node& node = entry->second;
    node.state.cancelled = true;
    MarkChanged(current);
    WithdrawUrgency(node);
    const auto& dependents = Dependents(current);
    examined_dependencies_ += dependents.size();
    pending.insert(pending.end(), dependents.begin(), dependents.end());
  }
}

void DependencyGraph::SetFinalRecord(const std::string& id,
                                     const store::FinalRecord& final_record) {
  auto awaited = awaited_.find(id);
  if (awaited == awaited_.end() || awaited->second.ended) return;
  awaited->second.ended = true;
  awaited->second.final_record = final_record;
  UpdateUnresolved(id);
  // Iterates over a copy, so that the loop stays correct if a cancellation ever changes the
  // dependents.
  const std::vector<std::string> dependents(awaited->second.dependents.begin(),
                                            awaited->second.dependents.end());
  for (const std::string& dependent : dependents) {
    if (final_record.phase == model::JobPhase::kDone) {
      ReleaseDependent(dependent, final_record);
    } else {
      CancelDownstream(dependent);
    }
  }
}

void DependencyGraph::ReleaseDependent(const std::string& id,
                                       const store::FinalRecord& final_record) {
  auto entry = nodes_.find(id);
  if (entry == nodes_.end()) return;
  Node& node = entry->second;
  downstream_of_unresolved_.reset();
  --node.pending_dependencies;
  node.state.blocked = node.pending_dependencies > 0;
  // A final record without a time was written before the change of record formats. Jobs that await
  // others are submitted after that change, so the submission is the later of both and is kept.
  node.state.runnable_since = std::max(node.state.runnable_since, final_record.recorded_at);
  MarkChanged(id);
}

void DependencyGraph::Remove(const std::string& id) {
  auto entry = nodes_.find(id);
  if (entry == nodes_.end()) return;
  Node node = std::move(entry->second);
  nodes_.erase(entry);
  changed_.erase(id);
  UpdateUnresolved(id);
  WithdrawUrgency(node);
  for (const std::string& awaited_id : node.dependencies) {
    auto awaited = awaited_.find(awaited_id);
    if (awaited == awaited_.end()) continue;
    awaited->second.dependents.erase(id);
    if (awaited->second.dependents.empty()) awaited_.erase(awaited);
    UpdateUnresolved(awaited_id);
  }
}

}  // namespace hallpier::jobs
