// An in-memory fleet of a given size: machines that report, jobs that run on them and jobs that
// wait.
#pragma once

#include <fmt/format.h>

#include <string>
#include <vector>

#include "config/operator_options.h"
#include "fixtures.h"
#include "fleet/reconciliation.h"
#include "model/cloud.h"
#include "model/heartbeat.h"
#include "model/task.h"

namespace hallpier::testing_support {

class LargeFleet {
 public:
  static constexpr model::FencingToken kToken{7};
  static constexpr double kStartTimeS = 100;
  static constexpr uint32_t kCpusPerMachine = 4;
  static constexpr size_t kTasksPerJob = 1000;

  explicit LargeFleet(size_t machines)
      : settings_(TestSettings()),
        job_table_(64),
        registry_(RegistryOptions(settings_)),
        machine_count_(machines) {
    settings_.lease_s = 22;
    context_.settings = &settings_;
    context_.operator_options = &operator_options_;
    context_.machine_types = {MakeMachineType("c4", kCpusPerMachine)};
  }

  static std::string MachineName(size_t i) { return fmt::format("vm-{:06}", i); }

  // Records running tasks on half of every machine, and as many waiting tasks as would fill the
  // whole fleet.
  void PutRecords() {
    const size_t running = machine_count_ * kCpusPerMachine / 2;
    for (size_t first = 0; first < running; first += kTasksPerJob) {
      PutRunningJob(first, std::min(kTasksPerJob, running - first));
    }
    for (size_t first = 0; first < machine_count_ * kCpusPerMachine; first += kTasksPerJob) {
      PutJob(job_table_, Spec("run-9" + std::to_string(100000 + first), kTasksPerJob), 1);
    }
  }

  // Begins the term of a new leader, to which every machine reports once.
  void TakeOver(double now) {
    registry_.BeginTerm(kToken, now, now);
    for (size_t i = 0; i < machine_count_; ++i) {
      model::Heartbeat report = MakeHeartbeat(MachineName(i), 1, 1, kToken);
      report.zone = i % 2 == 0 ? "a" : "b";
      for (const auto& [task, attempt] : job_table_.PlacementsOn(MachineName(i))) {
        report.tasks.push_back(
            MakeTaskStatus(task.job, task.index, attempt, model::TaskPhase::kRunning));
      }
      registry_.OnHeartbeat(report, now, false);
      fleet::Machine* machine = registry_.Find(report.machine);
      registry_.OnResponseSent(report, fleet::Reconcile(registry_, *machine, job_table_, false),
                               now);
    }
  }

  // Returns the complete list of the cloud's machines, as WorkerRegistry::OnCloudList expects it.
  std::vector<model::CloudMachine> CloudList() const {
    std::vector<model::CloudMachine> out;
    for (size_t i = 0; i < machine_count_; ++i) {
      model::CloudMachine listed;
      listed.machine = MachineName(i);
      listed.endpoint = "127.0.0.1:1";
      listed.machine_type = "c4";
      listed.zone = i % 2 == 0 ? "a" : "b";
      out.push_back(std::move(listed));
    }
    return out;
  }

  plan::RoundResult Plan(double now) {
    return plan::PlanRound(context_, job_table_, registry_, now, now);
  }

  size_t running_tasks() const { return machine_count_ * kCpusPerMachine / 2; }
  const jobs::JobTable& job_table() const { return job_table_; }
  fleet::WorkerRegistry& registry() { return registry_; }
  const config::Settings& settings() const { return settings_; }

 private:
  static fleet::WorkerRegistry::Options RegistryOptions(const config::Settings& settings) {
    fleet::WorkerRegistry::Options options;
    options.heartbeat_interval_s = settings.heartbeat_interval_s;
    options.lease_s = settings.lease_s;
    options.list_lag_s = settings.list_lag_s;
    options.silent_ratio = 3;
    options.terminations_per_s = 100 * settings.cloud_rps;
    return options;
  }

  void PutRunningJob(size_t first, size_t tasks) {
    const std::string id = "run-" + std::to_string(100000 + first);
    PutJob(job_table_, Spec(id, static_cast<uint32_t>(tasks)), 1);
    const jobs::Job* job = job_table_.Find(id);
    std::map<uint32_t, store::TaskGroup> groups;
    for (size_t i = 0; i < tasks; ++i) {
      const auto index = static_cast<uint32_t>(i);
      groups[job->groups.layout().GroupOf(index)].open[index] = {
          1, MachineName((first + i) / (kCpusPerMachine / 2))};
    }
    for (const auto& [number, group] : groups) PutTaskGroup(job_table_, id, number, group);
  }

  config::Settings settings_;
  config::OperatorOptions operator_options_;
  plan::PlanningContext context_;
  jobs::JobTable job_table_;
  fleet::WorkerRegistry registry_;
  const size_t machine_count_;
};

}  // namespace hallpier::testing_support
