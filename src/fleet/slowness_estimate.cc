#include "fleet/slowness_estimate.h"

#include <optional>

namespace hallpier::fleet {
namespace {

// A machine this many times slower than others is better replaced.
constexpr double kSlowRatio = 2;
// Samples that it takes to call a machine slow, and finished tasks that it takes to trust the mean
// run time of a job.
constexpr uint32_t kMinSamples = 3;
// Weight of a new sample in the estimate.
constexpr double kSampleWeight = 0.4;

// The run time that a task lets us compare with the mean of its job, in seconds; 0: none yet.
double ComparableRunTime(const Machine& machine, const ReportedTask& reported, double mean_s) {
  if (reported.state == model::TaskPhase::kExited && reported.cause == model::ExitCause::kDone) {
    return reported.run_s;
  }
  if (reported.state != model::TaskPhase::kRunning || !reported.start_observed) return 0;
  // Measured up to the last report: while none come the task may have ended long ago.
  const double run_s = machine.agent.last_status - reported.since;
  // A running task proves something only once it has taken far too long.
  return run_s > kSlowRatio * mean_s ? run_s : 0;
}

}  // namespace

void UpdateSlowness(Machine& machine, const jobs::JobTable& job_table) {
  PerformanceState& performance = machine.performance;
  for (auto& [task, reported] : machine.reported_tasks) {
    const jobs::Job* job = job_table.Find(task.job);
    if (job == nullptr || reported.run_time_used || job->done() < kMinSamples) continue;
    const std::optional<double> mean_s = job->MeanRun();
    if (!mean_s || *mean_s <= 0) continue;
    const double run_s = ComparableRunTime(machine, reported, *mean_s);
    if (run_s <= 0) continue;
    reported.run_time_used = true;
    ++performance.samples;
    performance.slowness += kSampleWeight * (run_s / *mean_s - performance.slowness);
  }
}

bool IsSlow(const Machine& machine) {
  const PerformanceState& performance = machine.performance;
  return performance.samples >= static_cast<int>(kMinSamples) && performance.slowness > kSlowRatio;
}

}  // namespace hallpier::fleet
