#include "plan/run_time.h"

#include <algorithm>

namespace hallpier::plan {
namespace {

// A running task that exceeds its predicted run time is expected to run for this fraction of the
// prediction longer.
constexpr double kOverrunRatio = 0.1;
// A service runs until it is cancelled. The prediction is more than a day, so that no task waits
// for its end.
constexpr double kServiceRunTimeS = 1e5;

}  // namespace

const fleet::ReportedTask* FindReported(const fleet::Machine& machine, const model::TaskId& task,
                                        uint64_t attempt) {
  const auto found = machine.reported_tasks.find(task);
  if (found == machine.reported_tasks.end() || found->second.attempt != attempt) return nullptr;
  return &found->second;
}

double PredictRunTime(const jobs::Job& job, const std::string& machine_type) {
  if (job.spec.kind == model::JobKind::kService) return kServiceRunTimeS;
  if (auto mean = job.MeanRunTimeS(machine_type)) return *mean;
  if (auto mean = job.MeanRunTimeS()) return *mean;
  return job.spec.estimated_run_s;
}

double RemainingTime(const RoundInput& input, const jobs::Job& job, const fleet::Machine& machine,
                     const model::TaskId& task, uint64_t attempt) {
  if (input.registry.stop_requests().Contains(task, attempt)) {
    return job.spec.checkpoint_s + kStopReactionRatio * ReactionTime(input.context);
  }
  const double run_s = PredictRunTime(job, machine.machine_type);
  const fleet::ReportedTask* reported = FindReported(machine, task, attempt);
  if (reported == nullptr || reported->phase != model::TaskPhase::kRunning) return run_s;
  return std::max(run_s - (input.now - reported->phase_since), kOverrunRatio * run_s);
}

}  // namespace hallpier::plan
