#include "fleet/stop_requests.h"

namespace hallpier::fleet {

void StopRequests::Add(const model::TaskId& task, uint64_t attempt, double grace_s) {
  auto [entry, is_new] = requests_.try_emplace(task, Request{attempt, grace_s});
  Request& request = entry->second;
  if (!is_new && (request.attempt != attempt || grace_s < request.grace_s)) {
    request = {attempt, grace_s};
  }
}

bool StopRequests::Contains(const model::TaskId& task, uint64_t attempt) const {
  auto entry = requests_.find(task);
  return entry != requests_.end() && entry->second.attempt == attempt;
}

void StopRequests::DropFulfilled(const jobs::JobTable& job_table) {
  std::erase_if(requests_, [&](const auto& entry) {
    const auto& [task, request] = entry;
    const jobs::Job* job = job_table.Find(task.job);
    if (job == nullptr) return true;
    const store::TaskState* recorded = job->FindOpen(task.index);
    return recorded == nullptr || recorded->machine.empty() || recorded->attempt != request.attempt;
  });
}

}  // namespace hallpier::fleet
