#include "controller/finished_jobs.h"

#include <spdlog/fmt/fmt.h>

#include "store/schema.h"

namespace hallpier::controller {

void RecordFinishedJobs(const std::vector<model::KeyWrite>& writes, jobs::JobTable& job_table) {
  for (const model::KeyWrite& write : writes) {
    const store::ParsedKey key = store::ParseKey(write.key);
    if (key.kind != store::KeyKind::kFinal) continue;
    if (auto record = store::ReadFinal(write.value)) job_table.RecordFinal(key.job, *record);
  }
}

std::vector<std::string> DescribeFinishedJobs(const jobs::Transaction& transaction,
                                              const jobs::JobTable& job_table, double time_of_day) {
  std::vector<std::string> lines;
  for (const model::KeyWrite& write : transaction.writes) {
    const store::ParsedKey key = store::ParseKey(write.key);
    if (key.kind != store::KeyKind::kJob || !write.value.empty()) continue;
    const jobs::Job* job = job_table.Find(key.job);
    if (job == nullptr) continue;
    lines.push_back(fmt::format(
        "job {}: job={} class={} seconds={:.1f} tasks={} cpus={} mean_run_seconds={:.1f}",
        job->cancelled ? "cancelled" : "done", key.job, job->spec.job_class,
        time_of_day - job->submitted, job->spec.tasks, job->spec.cpus, job->MeanRun().value_or(0)));
  }
  return lines;
}

}  // namespace hallpier::controller
