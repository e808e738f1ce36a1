#include "jobs/job.h"

namespace hallpier::jobs {
namespace {

std::optional<double> MeanOf(const store::RunStats& stats) {
  if (stats.count == 0) return std::nullopt;
  return stats.sum_s / static_cast<double>(stats.count);
}

}  // namespace

model::JobStatus Job::Status() const {
  model::JobStatus status;
  status.id = spec.id;
  status.done = done();
  status.running = placed();
  if (cancelled) {
    status.phase = model::JobPhase::kCancelled;
  } else {
    status.phase = status.running != 0 ? model::JobPhase::kRunning : model::JobPhase::kPending;
  }
  return status;
}

const store::TaskState* Job::FindOpen(uint32_t index) const {
  auto group = task_groups().find(groups.layout().GroupOf(index));
  if (group == task_groups().end()) return nullptr;
  auto open = group->second.open.find(index);
  return open == group->second.open.end() ? nullptr : &open->second;
}

std::optional<double> Job::MeanRunTimeS(const std::string& machine_type) const {
  auto stats = groups.runs().find(machine_type);
  if (stats == groups.runs().end()) return std::nullopt;
  return MeanOf(stats->second);
}

std::optional<double> Job::MeanRunTimeS() const { return MeanOf(groups.all_runs()); }

}  // namespace hallpier::jobs
