// Graceful eviction from machines with a spot notice.
#include "plan/spot_eviction.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "model/heartbeat.h"
#include "model/task.h"
#include "plan/round.h"
#include "round_fixture.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class SpotEvictionTest : public RoundFixture {};

TEST_F(SpotEvictionTest, PreemptsOnlyTasksThatCannotEndInTime) {
  auto checkpointing = Spec("run-1", 1), long_running = Spec("run-2", 1),
       short_running = Spec("run-3", 1);
  checkpointing.checkpoint_every_s = 20;
  checkpointing.checkpoint_s = 4;
  checkpointing.estimated_run_s = long_running.estimated_run_s = 100;
  short_running.estimated_run_s = 3;
  model::Heartbeat report = MakeHeartbeat("vm-1", 1, 1, kTestToken);
  report.spot_notice_s = 8;
  for (const auto& spec : {checkpointing, long_running, short_running}) {
    PutJob(job_table_, spec);
    PutOpenTask(job_table_, spec.id, 0, 1, "vm-1");
    report.tasks.push_back(MakeTaskStatus(spec.id, 0, 1, model::TaskPhase::kRunning));
  }
  registry_.OnHeartbeat(report, 100, false);
  std::map<std::string, double> grace;
  for (const auto& p : Plan().preemptions) grace[p.task.job] = p.grace_s;
  EXPECT_EQ(grace, (std::map<std::string, double>{{"run-1", 4}, {"run-2", 0}}));
}

}  // namespace
}  // namespace hallpier::plan
