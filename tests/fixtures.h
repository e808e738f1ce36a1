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
  model::JobSpec s;
  s.id = id;
  s.job_class = "lane";
  s.team = "team";
  s.tasks = tasks;
  s.cpus = cpus;
  s.memory_gb = 1;
  s.image = "img";
  s.spot = true;
  s.estimated_run_s = 10;
  return s;
}

inline void PutJob(jobs::JobTable& job_table, const model::JobSpec& spec, double submitted = 1,
                   bool cancelled = false) {
  job_table.Apply(store::ParseKey(store::JobKey(spec.id)),
                  store::WriteJob({spec, submitted, cancelled, 0}));
}

inline void PutTaskGroup(jobs::JobTable& job_table, const std::string& id, uint32_t number,
                         const store::TaskGroup& task_group) {
  job_table.Apply(store::ParseKey(store::TaskGroupKey(id, number)),
                  store::WriteTaskGroup(task_group));
}

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
  model::Heartbeat r;
  r.machine = machine;
  r.endpoint = "127.0.0.1:1";
  r.machine_type = "c4";
  r.zone = "a";
  r.agent_epoch = model::AgentEpoch(agent_epoch);
  r.sequence = sequence;
  r.token = token;
  return r;
}

inline model::TaskStatus MakeTaskStatus(const std::string& job, uint32_t index, uint64_t attempt,
                                        model::TaskPhase phase,
                                        model::ExitCause cause = model::ExitCause::kNone) {
  model::TaskStatus p;
  p.task = {job, index};
  p.attempt = attempt;
  p.phase = phase;
  p.cause = cause;
  return p;
}

inline config::Settings TestSettings() {
  config::Settings s;
  s.node = "node-0";
  s.teams = {{"team", 0, 0, 0, 0}};
  s.heartbeat_interval_s = 3;
  s.lease_s = 30;
  s.cancel_s = 50;
  s.state_rps = 100;
  s.state_write_rps = 50;
  s.value_kb = 8;
  s.txn_ops = 8;
  s.cloud_rps = 5;
  s.list_lag_s = 3;
  s.memory_mb = 64;
  s.max_sockets = 100;
  return s;
}

inline model::MachineType MakeMachineType(const std::string& name, double cpus) {
  model::MachineType f;
  f.name = name;
  f.cpus = cpus;
  f.memory_gb = cpus * 4;
  f.fetch_gb_per_s = 1;
  f.price = 1;
  f.spot_price = 0.3;
  f.boot_s = 30;
  f.zones = {"a", "b"};
  return f;
}

}  // namespace hallpier::testing_support
