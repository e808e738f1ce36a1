// A leader's registry with one machine "vm-1", on which one task of a job is recorded as placed.
#pragma once

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "fixtures.h"
#include "fleet/reconciliation.h"
#include "fleet/task_outcomes.h"
#include "fleet/worker_registry.h"
#include "model/heartbeat.h"
#include "model/task.h"

namespace hallpier::fleet {

class WorkerRegistryFixture : public testing::Test {
 protected:
  WorkerRegistryFixture() : job_table_(64), registry_({3, 30, 3, 4}) {
    testing_support::PutJob(job_table_, testing_support::Spec("run-1", 4));
    testing_support::Place(job_table_, "run-1", 0, 1, "vm-1");
    registry_.BeginTerm(kToken, 0, 10);
  }

  // A heartbeat of vm-1 arrives and is answered, as the leader's loop does it. Returns the commands
  // in the answer.
  std::vector<model::WorkerCommand> Heartbeat(uint64_t agent_epoch, uint64_t sequence,
                                              model::FencingToken token, double now,
                                              std::vector<model::TaskStatus> tasks = {}) {
    model::Heartbeat report = testing_support::ReportOf("vm-1", agent_epoch, sequence, token);
    report.tasks = std::move(tasks);
    registry_.OnHeartbeat(report, now, false);
    const Machine& machine = *registry_.Find("vm-1");
    std::vector<model::WorkerCommand> commands;
    if (machine.agent.epoch == model::AgentEpoch(agent_epoch) &&
        machine.agent.sequence == sequence) {
      commands = Reconcile(registry_, *registry_.Find("vm-1"), job_table_, false);
    }
    registry_.OnResponseSent(report, commands, now);
    return commands;
  }

  // True if a placement is found to be gone, so that its task is requeued.
  bool IsRequeued(double now) {
    for (const auto& transition : CollectTaskTransitions(registry_, job_table_, now)) {
      if (transition.kind == jobs::TaskTransition::Kind::kRequeue) return true;
    }
    return false;
  }

  void Cancel() { testing_support::PutJob(job_table_, testing_support::Spec("run-1", 4), 1, true); }

  // A job of nine tasks, of which three are done in 10 s each, and three more are placed on vm-1.
  // They are returned as running.
  std::vector<model::TaskStatus> JobWithKnownTimes() {
    store::TaskGroup task_group;
    for (uint32_t i = 0; i < 3; ++i) task_group.done.Insert(i);
    task_group.runs["c4"] = {3, 30};
    testing_support::PutJob(job_table_, testing_support::Spec("run-2", 9));
    testing_support::PutTaskGroup(job_table_, "run-2", 0, task_group);
    std::vector<model::TaskStatus> tasks;
    for (uint32_t i : {3U, 4U, 5U}) {
      testing_support::Place(job_table_, "run-2", i, 1, "vm-1");
      tasks.push_back(testing_support::TaskReportOf("run-2", i, 1, model::TaskPhase::kRunning));
    }
    return tasks;
  }

  static constexpr model::FencingToken kToken{7};
  static constexpr model::FencingToken kNextToken{8};
  static constexpr model::FencingToken kFormerToken{6};
  jobs::JobTable job_table_;
  WorkerRegistry registry_;
};

}  // namespace hallpier::fleet
