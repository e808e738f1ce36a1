#include "jobs/dependency_graph.h"

#include <algorithm>
#include <utility>

namespace hallpier::jobs {

const DependencyGraph::View* DependencyGraph::Find(const std::string& id) const {
  auto it = nodes_.find(id);
  return it == nodes_.end() ? nullptr : &it->second.view;
}

bool DependencyGraph::CancelledItself(const std::string& id) const {
  auto it = nodes_.find(id);
  return it != nodes_.end() && it->second.withdrawn;
}

const store::FinalRecord* DependencyGraph::Final(const std::string& id) const {
  auto it = awaited_.find(id);
  return it == awaited_.end() || !it->second.known ? nullptr : &it->second.final_record;
}

const std::unordered_set<std::string>& DependencyGraph::Dependents(const std::string& id) const {
  static const std::unordered_set<std::string> kNone;
  auto it = awaited_.find(id);
  return it == awaited_.end() ? kNone : it->second.by;
}

bool DependencyGraph::Settled(const std::string& id) const {
  if (unknown_.empty()) return true;
  std::vector<std::string> next = {id};
  std::unordered_set<std::string> seen;
  while (!next.empty()) {
    const std::string one = std::move(next.back());
    next.pop_back();
    if (unknown_.contains(one)) return false;
    auto it = nodes_.find(one);
    if (it == nodes_.end() || !it->second.view.blocked || !seen.insert(one).second) continue;
    next.insert(next.end(), it->second.awaits.begin(), it->second.awaits.end());
  }
  return true;
}

std::vector<std::string> DependencyGraph::TakeTouched() {
  std::vector<std::string> out(touched_.begin(), touched_.end());
  touched_.clear();
  return out;
}

void DependencyGraph::CheckUnknown(const std::string& id) {
  auto it = awaited_.find(id);
  if (it != awaited_.end() && !it->second.known && !nodes_.contains(id)) {
    unknown_.insert(id);
  } else {
    unknown_.erase(id);
  }
}

void DependencyGraph::Put(const store::JobRecord& record) {
  const std::string& id = record.spec.id;
  auto [it, fresh] = nodes_.try_emplace(id);
  Node& node = it->second;
  if (fresh) {
    node.priority = record.spec.priority;
    node.due = record.spec.due_s > 0 ? record.submitted + record.spec.due_s
                                     : std::numeric_limits<double>::infinity();
    node.estimate_s = record.spec.estimate_s;
    node.view = {false, false, record.submitted, node.priority, node.due};
    node.awaits = record.spec.awaits;
    Touch(id);
    CheckUnknown(id);
    Connect(id, node);
  } else if (node.awaits.empty() && node.view.since != record.submitted) {
    node.view.since = record.submitted;
    Touch(id);
  }
  if (record.cancelled && !node.withdrawn) {
    node.withdrawn = true;
    Cancel(id);
  }
}

void DependencyGraph::Connect(const std::string& id, Node& node) {
  bool cancelled = false;
  for (const std::string& a : node.awaits) {
    Awaited& awaited = awaited_[a];
    awaited.by.insert(id);
    CheckUnknown(a);
    auto active = nodes_.find(a);
    if (awaited.known && awaited.final_record.phase == model::JobPhase::kDone) {
      node.view.since = std::max(node.view.since, awaited.final_record.at);
      continue;
    }
    ++node.open;
    cancelled =
        cancelled || awaited.known || (active != nodes_.end() && active->second.view.cancelled);
  }
  node.view.blocked = node.open > 0;
  // Records come in any order when all are read anew: others may name it already.
  Weigh(id, node);
  if (cancelled) {
    Cancel(id);
  } else {
    Press(id);
  }
}

void DependencyGraph::Cancel(const std::string& id) {
  std::vector<std::string> next = {id};
  // What the cancelled ones awaited beside each other: each is weighed anew once, however many of
  // those that named it are gone.
  std::set<std::string> relieved;
  while (!next.empty()) {
    const std::string one = std::move(next.back());
    next.pop_back();
    auto it = nodes_.find(one);
    if (it == nodes_.end() || it->second.view.cancelled) continue;
    it->second.view.cancelled = true;
    Touch(one);
    relieved.insert(it->second.awaits.begin(), it->second.awaits.end());
    for (const std::string& d : Dependents(one)) next.push_back(d);
  }
  for (const std::string& a : relieved) Relieve(a);
}

void DependencyGraph::Relieve(const std::string& id) {
  std::vector<std::string> next = {id};
  while (!next.empty()) {
    const std::string one = std::move(next.back());
    next.pop_back();
    auto it = nodes_.find(one);
    // What is cancelled needs no order any more.
    if (it == nodes_.end() || it->second.view.cancelled || !Weigh(one, it->second)) continue;
    Touch(one);
    next.insert(next.end(), it->second.awaits.begin(), it->second.awaits.end());
  }
}

bool DependencyGraph::Weigh(const std::string& id, Node& node) const {
  View v = node.view;
  v.priority = node.priority;
  v.due = node.due;
  for (const std::string& d : Dependents(id)) {
    auto it = nodes_.find(d);
    if (it == nodes_.end() || it->second.view.cancelled) continue;  // needs nothing any more
    v.priority = std::min(v.priority, it->second.view.priority);
    v.due = std::min(v.due, it->second.view.due - it->second.estimate_s);
  }
  if (v == node.view) return false;
  node.view = v;
  return true;
}

void DependencyGraph::Press(const std::string& id) {
  std::vector<std::string> next = {id};
  while (!next.empty()) {
    const std::string one = std::move(next.back());
    next.pop_back();
    auto it = nodes_.find(one);
    if (it == nodes_.end() || it->second.view.cancelled) continue;
    const Node& node = it->second;
    const double due = node.view.due - node.estimate_s;
    for (const std::string& a : node.awaits) {
      auto up = nodes_.find(a);
      if (up == nodes_.end() || up->second.view.cancelled) continue;
      View& v = up->second.view;
      if (node.view.priority >= v.priority && due >= v.due) continue;
      v.priority = std::min(v.priority, node.view.priority);
      v.due = std::min(v.due, due);
      Touch(a);
      next.push_back(a);
    }
  }
}

void DependencyGraph::RecordFinal(const std::string& id, const store::FinalRecord& r) {
  auto it = awaited_.find(id);
  if (it == awaited_.end() || it->second.known) return;
  it->second.known = true;
  it->second.final_record = r;
  CheckUnknown(id);
  // Copied: a cascade changes nothing of it, but that is not for this loop to know.
  const std::vector<std::string> by(it->second.by.begin(), it->second.by.end());
  for (const std::string& d : by) {
    auto dependent = nodes_.find(d);
    if (dependent == nodes_.end()) continue;
    if (r.phase != model::JobPhase::kDone) {
      Cancel(d);
      continue;
    }
    Node& node = dependent->second;
    --node.open;
    node.view.blocked = node.open > 0;
    // A final record without a time is from before the change of formats, and jobs that await
    // others are submitted after it: their submission stands in.
    node.view.since = std::max(node.view.since, r.at);
    Touch(d);
  }
}

void DependencyGraph::Drop(const std::string& id) {
  auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  const Node node = std::move(it->second);
  nodes_.erase(it);
  touched_.erase(id);
  CheckUnknown(id);
  for (const std::string& a : node.awaits) {
    auto awaited = awaited_.find(a);
    if (awaited == awaited_.end()) continue;
    awaited->second.by.erase(id);
    if (awaited->second.by.empty()) awaited_.erase(awaited);
    CheckUnknown(a);
    if (!node.view.cancelled) Relieve(a);  // a cancelled one has not pressed since it was
  }
}

}  // namespace hallpier::jobs
