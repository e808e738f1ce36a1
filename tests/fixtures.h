// Builders of test data, shared by the tests.
#pragma once

#include <string>

#include "config/settings.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/machine_type.h"
#include "model/task.h"
#include "plan/round.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::testing_support {

// The fencing token of the leader in tests with a single leader.
inline constexpr model::FencingToken kTestToken{7};

inline model::JobSpec Spec(const std::string& id, uint32_t tasks, double cpus = 1) {
  model::JobSpec spec;
  spec.id = id;
  spec.job_class = "lane";
  spec.team = "team";
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.memory_gb = 1;
  spec.image = "img";
  spec.spot = true;
  spec.estimated_run_s = 10;
  return spec;
}

inline void PutJob(jobs::JobTable& job_table, const model::JobSpec& spec, double submitted_at = 1,
                   bool cancelled = false) {
  job_table.Apply(store::ParseKey(store::JobKey(spec.id)),
                  store::WriteJob({spec, submitted_at, cancelled, 0}));
}

inline void PutTaskGroup(jobs::JobTable& job_table, const std::string& id, uint32_t number,
                         const store::TaskGroup& task_group) {
  job_table.Apply(store::ParseKey(store::TaskGroupKey(id, number)),
                  store::WriteTaskGroup(task_group));
}

// Adds an open task to the stored group that contains it. `machine` is empty if the task is not
// placed.
inline void PutOpenTask(jobs::JobTable& job_table, const std::string& id, uint32_t index,
                        uint64_t attempt, const std::string& machine) {
  const jobs::Job* job = job_table.Find(id);
  const uint32_t number = job->groups.layout().GroupOf(index);
  store::TaskGroup task_group;
  if (auto it = job->task_groups().find(number); it != job->task_groups().end())
    task_group = it->second;
  task_group.open[index] = {attempt, machine};
  PutTaskGroup(job_table, id, number, task_group);
}

inline model::Heartbeat MakeHeartbeat(const std::string& machine, uint64_t agent_epoch,
                                      uint64_t sequence, model::FencingToken token) {
  model::Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.endpoint = "127.0.0.1:1";
  heartbeat.machine_type = "c4";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = model::AgentEpoch(agent_epoch);
  heartbeat.sequence = sequence;
  heartbeat.token = token;
  return heartbeat;
}

inline model::TaskStatus MakeTaskStatus(const std::string& job, uint32_t index, uint64_t attempt,
                                        model::TaskPhase phase,
                                        model::ExitCause cause = model::ExitCause::kNone) {
  model::TaskStatus status;
  status.task = {job, index};
  status.attempt = attempt;
  status.phase = phase;
  status.cause = cause;
  return status;
}

inline config::Settings TestSettings() {
  config::Settings settings;
  settings.node = "node-0";
  settings.teams = {{"team", 0, 0, 0, 0}};
  settings.heartbeat_interval_s = 3;
  settings.lease_s = 30;
  settings.cancel_s = 50;
  settings.state_rps = 100;
  settings.state_write_rps = 50;
  settings.value_kb = 8;
  settings.txn_ops = 8;
  settings.cloud_rps = 5;
  settings.list_lag_s = 3;
  settings.memory_mb = 64;
  settings.max_sockets = 100;
  return settings;
}

inline model::MachineType MakeMachineType(const std::string& name, double cpus) {
  model::MachineType machine_type;
  machine_type.name = name;
  machine_type.cpus = cpus;
  machine_type.memory_gb = cpus * 4;
  machine_type.fetch_gb_per_s = 1;
  machine_type.price = 1;
  machine_type.spot_price = 0.3;
  machine_type.boot_s = 30;
  machine_type.zones = {"a", "b"};
  return machine_type;
}

}  // namespace hallpier::testing_support
