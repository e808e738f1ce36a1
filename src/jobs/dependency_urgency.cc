// The part of DependencyGraph that derives priorities and deadlines.
#include <algorithm>
#include <cstddef>

#include "jobs/dependency_graph.h"

namespace hallpier::jobs {

DependencyGraph::Urgency DependencyGraph::RequiredUrgency(const Node& node) {
  return {node.state.priority, node.state.deadline - node.estimated_run_s};
}

void DependencyGraph::DeriveUrgency(const std::string& id, Node& node) {
  Urgency urgency = node.own;
  const auto& dependents = Dependents(id);
  examined_dependencies_ += dependents.size();
  for (const std::string& dependent : dependents) {
    auto entry = nodes_.find(dependent);
    if (entry == nodes_.end()) continue;
    const Urgency& required = entry->second.required;
    urgency.priority = std::min(urgency.priority, required.priority);
    urgency.deadline = std::min(urgency.deadline, required.deadline);
  }
  node.urgency_stale = false;
  if (urgency == Urgency{node.state.priority, node.state.deadline}) return;
  node.state.priority = urgency.priority;
  node.state.deadline = urgency.deadline;
  MarkChanged(id);
}

void DependencyGraph::PassOnNewUrgency(const std::string& id, Node& node) {
  const Urgency required = RequiredUrgency(node);
  examined_dependencies_ += node.dependencies.size();
  const bool changes_a_job = std::any_of(
      node.dependencies.begin(), node.dependencies.end(), [&](const std::string& awaited) {
        auto entry = nodes_.find(awaited);
        if (entry == nodes_.end()) return false;
        const EffectiveState& state = entry->second.state;
        return required.priority < state.priority || required.deadline < state.deadline;
      });
  if (changes_a_job) {
    urgency_changes_.insert(id);
  } else {
    node.required = required;
  }
}

void DependencyGraph::WithdrawUrgency(Node& node) {
  const Urgency before = node.required;
  node.required = {};
  if (before == Urgency{}) return;
  examined_dependencies_ += node.dependencies.size();
  for (const std::string& awaited : node.dependencies) {
    auto entry = nodes_.find(awaited);
    if (entry == nodes_.end()) continue;
    if (OnRequiredUrgencyChanged(*entry, before, {})) urgency_changes_.insert(awaited);
  }
}

bool DependencyGraph::OnRequiredUrgencyChanged(NodeEntry& entry, const Urgency& before,
                                               const Urgency& after) {
  auto& [id, node] = entry;
  EffectiveState& state = node.state;
  // The urgency of a cancelled job is not used.
  if (state.cancelled) return false;
  const bool priority_withdrawn = after.priority > before.priority &&
                                  before.priority <= state.priority &&
                                  before.priority < node.own.priority;
  const bool deadline_withdrawn = after.deadline > before.deadline &&
                                  before.deadline <= state.deadline &&
                                  before.deadline < node.own.deadline;
  if (priority_withdrawn || deadline_withdrawn) node.urgency_stale = true;
  if (node.urgency_stale) return true;
  if (after.priority >= state.priority && after.deadline >= state.deadline) return false;
  state.priority = std::min(state.priority, after.priority);
  state.deadline = std::min(state.deadline, after.deadline);
  MarkChanged(id);
  return true;
}

std::vector<DependencyGraph::NodeEntry*> DependencyGraph::TakeJobsToUpdate() {
  // A depth-first search along the dependencies finishes each job after the jobs that it awaits.
  struct Visit {
    NodeEntry* entry;
    size_t next_dependency;
  };
  std::vector<Visit> path;
  std::unordered_set<const NodeEntry*> visited;
  std::vector<NodeEntry*> finished;
  auto enter = [&](const std::string& id) {
    auto entry = nodes_.find(id);
    if (entry == nodes_.end() || entry->second.state.cancelled) return;
    if (visited.insert(&*entry).second) path.push_back({&*entry, 0});
  };
  for (const std::string& id : urgency_changes_) {
    enter(id);
    while (!path.empty()) {
      Visit& current = path.back();
      const std::vector<std::string>& dependencies = current.entry->second.dependencies;
      if (current.next_dependency == dependencies.size()) {
        finished.push_back(current.entry);
        path.pop_back();
        continue;
      }
      ++examined_dependencies_;
      enter(dependencies[current.next_dependency++]);
    }
  }
  urgency_changes_.clear();
  std::reverse(finished.begin(), finished.end());
  return finished;
}

void DependencyGraph::PropagateUrgency() {
  for (NodeEntry* entry : TakeJobsToUpdate()) {
    auto& [id, node] = *entry;
    if (node.urgency_stale) DeriveUrgency(id, node);
    const Urgency before = node.required;
    node.required = RequiredUrgency(node);
    if (node.required == before) continue;
    examined_dependencies_ += node.dependencies.size();
    for (const std::string& awaited : node.dependencies) {
      auto upstream = nodes_.find(awaited);
      if (upstream != nodes_.end()) OnRequiredUrgencyChanged(*upstream, before, node.required);
    }
  }
}

}  // namespace hallpier::jobs
