// A fixture with a leader's registry, and a job with one task recorded as placed on machine "vm-1".
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
    testing_support::PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
    registry_.BeginTerm(kToken, 0, 10);
  }

  // Processes a heartbeat of vm-1 and responds to it as the leader's loop does. Returns the
  // commands in the response.
  std::vector<model::WorkerCommand> Heartbeat(uint64_t agent_epoch, uint64_t sequence,
                                              model::FencingToken token, double now,
                                              std::vector<model::TaskStatus> tasks = {}) {
    model::Heartbeat report = testing_support::MakeHeartbeat("vm-1", agent_epoch, sequence, token);
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

  // True if a placement is proven gone, so that its task is requeued.
  bool IsRequeued(double now) {
    for (const auto& transition : CollectTaskTransitions(registry_, job_table_, now)) {
      if (transition.kind == jobs::TaskTransition::Kind::kRequeue) return true;
    }
    return false;
  }

  // Cancels run-1.
  void CancelJob() {
    testing_support::PutJob(job_table_, testing_support::Spec("run-1", 4), 1, true);
  }

  // Adds a job of nine tasks, three of which are done after 10 s each and three of which are placed
  // on vm-1. Returns the status of the placed tasks, reported as running.
  std::vector<model::TaskStatus> PutJobWithKnownRunTimes() {
    store::TaskGroup task_group;
    for (uint32_t i = 0; i < 3; ++i) task_group.done.Insert(i);
    task_group.runs["c4"] = {3, 30};
    testing_support::PutJob(job_table_, testing_support::Spec("run-2", 9));
    testing_support::PutTaskGroup(job_table_, "run-2", 0, task_group);
    std::vector<model::TaskStatus> tasks;
    for (uint32_t i : {3U, 4U, 5U}) {
      testing_support::PutOpenTask(job_table_, "run-2", i, 1, "vm-1");
      tasks.push_back(testing_support::MakeTaskStatus("run-2", i, 1, model::TaskPhase::kRunning));
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
