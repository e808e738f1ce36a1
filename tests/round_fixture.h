// A fixture for tests that plan rounds with a few machines.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "config/operator_options.h"
#include "fixtures.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/heartbeat.h"
#include "model/task.h"
#include "plan/planning_context.h"
#include "plan/round.h"

namespace hallpier::testing_support {

// One machine type with four processors, a leader whose term has begun, and rounds at time 100.
class RoundFixture : public testing::Test {
 protected:
  RoundFixture() : settings_(TestSettings()), job_table_(64), registry_({3, 30, 3, 4}) {
    context_.settings = &settings_;
    context_.operator_options = &operator_options_;
    context_.machine_types = {MakeMachineType("c4", 4)};
    registry_.BeginTerm(kTestToken, 0, 0);
  }
  void AddMachine(const std::string& name) {
    registry_.OnHeartbeat(MakeHeartbeat(name, 1, 1, kTestToken), 100, false);
  }
  // Places tasks 0 to count - 1 of run-1 on vm-1 and reports them as running.
  void RunOnVm1(uint32_t count) {
    model::Heartbeat report = MakeHeartbeat("vm-1", 1, 1, kTestToken);
    for (uint32_t i = 0; i < count; ++i) {
      PutOpenTask(job_table_, "run-1", i, 1, "vm-1");
      report.tasks.push_back(MakeTaskStatus("run-1", i, 1, model::TaskPhase::kRunning));
    }
    registry_.OnHeartbeat(report, 100, false);
  }
  plan::RoundResult Plan() { return plan::PlanRound(context_, job_table_, registry_, 100, 100); }
  size_t CountPlaced(const plan::RoundResult& result, const std::string& job) {
    return static_cast<size_t>(std::count_if(result.placements.begin(), result.placements.end(),
                                             [&](const auto& p) { return p.task.job == job; }));
  }

  config::Settings settings_;
  config::OperatorOptions operator_options_;
  jobs::JobTable job_table_;
  fleet::WorkerRegistry registry_;
  plan::PlanningContext context_;
};

}  // namespace hallpier::testing_support
