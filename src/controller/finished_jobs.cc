#include "controller/finished_jobs.h"

#include <spdlog/fmt/fmt.h>

#include "store/keys.h"
#include "store/records.h"

namespace hallpier::controller {

void RecordFinishedJobs(const std::vector<model::KeyWrite>& writes, jobs::JobTable& job_table) {
  for (const model::KeyWrite& write : writes) {
    const store::ParsedKey key = store::ParseKey(write.key);
    const auto* final_key = std::get_if<store::FinalKeyName>(&key);
    if (final_key == nullptr) continue;
    if (auto record = store::ReadFinal(write.value)) {
      job_table.SetFinalRecord(final_key->job, *record);
    }
  }
}

std::vector<std::string> DescribeFinishedJobs(const jobs::Transaction& transaction,
                                              const jobs::JobTable& job_table, double time_of_day) {
  std::vector<std::string> lines;
  for (const model::KeyWrite& write : transaction.writes) {
    const store::ParsedKey key = store::ParseKey(write.key);
    const auto* job_key = std::get_if<store::JobKeyName>(&key);
    if (job_key == nullptr || !write.value.empty()) continue;
    const jobs::Job* job = job_table.Find(job_key->job);
    if (job == nullptr) continue;
    lines.push_back(fmt::format(
        "job {}: job={} class={} seconds={:.1f} tasks={} cpus={} mean_run_seconds={:.1f}",
        job->cancelled ? "cancelled" : "done", job_key->job, job->spec.job_class,
        time_of_day - job->submitted_at, job->spec.tasks, job->spec.cpus,
        job->MeanRunTimeS().value_or(0)));
  }
  return lines;
}

}  // namespace hallpier::controller
