#include "fleet/slowness_estimate.h"

#include <optional>

namespace hallpier::fleet {
namespace {

// A machine that takes more than this many times the mean run time counts as slow.
constexpr double kSlowRatio = 2;
// Minimum number of samples before a machine can count as slow, and of finished tasks before the
// mean run time of a job is used.
constexpr uint32_t kMinSamples = 3;
// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.4;

// Returns the run time in seconds to compare with the mean of the job; 0 if there is none yet.
double ComparableRunTime(const Machine& machine, const ReportedTask& reported, double mean_s) {
  if (reported.phase == model::TaskPhase::kExited && reported.cause == model::ExitCause::kDone) {
    return reported.run_s;
  }
  if (reported.phase != model::TaskPhase::kRunning || !reported.start_observed) return 0;
  // Measured up to the last status report rather than up to now: while no reports arrive, the task
  // may have exited long ago.
  const double run_s = machine.agent.last_status - reported.phase_since;
  // The run time of a running task is a lower bound: it is a sample only once it is far too long.
  return run_s > kSlowRatio * mean_s ? run_s : 0;
}

}  // namespace

void UpdateSlowness(Machine& machine, const jobs::JobTable& job_table) {
  PerformanceState& performance = machine.performance;
  for (auto& [task, reported] : machine.reported_tasks) {
    const jobs::Job* job = job_table.Find(task.job);
    if (job == nullptr || reported.run_time_sampled || job->done() < kMinSamples) continue;
    const std::optional<double> mean_s = job->MeanRunTimeS();
    if (!mean_s || *mean_s <= 0) continue;
    const double run_s = ComparableRunTime(machine, reported, *mean_s);
    if (run_s <= 0) continue;
    reported.run_time_sampled = true;
    ++performance.samples;
    performance.slowness += kSampleWeight * (run_s / *mean_s - performance.slowness);
  }
}

bool IsSlow(const Machine& machine) {
  const PerformanceState& performance = machine.performance;
  return performance.samples >= static_cast<int>(kMinSamples) && performance.slowness > kSlowRatio;
}

}  // namespace hallpier::fleet
