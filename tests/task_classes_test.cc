// The machines on which the tasks of a job may run: the job's constraints and those of its zones.
#include "plan/task_classes.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "model/heartbeat.h"
#include "model/ids.h"
#include "plan/round.h"
#include "round_fixture.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class TaskClassesTest : public RoundFixture {};

// A job whose tasks must all run in one zone has lost its machines. While one of its tasks may
// still be alive in a zone that is no longer known, no further task may start. Afterwards all tasks
// are placed in one zone.
TEST_F(TaskClassesTest, OneZoneJobWaitsForTaskThatMayBeAliveInUnknownZone) {
  auto spec = Spec("run-1", 6);
  spec.one_zone = true;
  PutJob(job_table_, spec);
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-unknown");
  AddMachine("vm-1");
  for (const char* name : {"vm-2", "vm-3"}) {
    model::Heartbeat r = MakeHeartbeat(name, 1, 1, kTestToken);
    r.zone = "b";
    registry_.OnHeartbeat(r, 100, false);
  }
  EXPECT_EQ(Plan().placements.size(), 0U);
  job_table_.Apply(store::ParseKey(store::TaskGroupKey("run-1", 0)),
                   R"({"done":[],"on":{"":[0]},"runs":{}})");
  const RoundResult r = Plan();
  std::set<std::string> zones;
  for (const auto& p : r.placements) zones.insert(registry_.Find(p.machine)->zone);
  EXPECT_GT(r.placements.size(), 0U);
  EXPECT_EQ(zones.size(), 1U);
  // A task that runs in a zone keeps the other tasks there, also after a new leader has taken over.
  PutOpenTask(job_table_, "run-1", 1, 1, "vm-1");
  registry_.BeginTerm(model::FencingToken(8), 100, 100);
  for (const auto& p : Plan().placements) EXPECT_EQ(registry_.Find(p.machine)->zone, "a");
}

TEST_F(TaskClassesTest, PlacesNoTaskOutsideZoneOfJob) {
  auto spec = Spec("run-1", 8);
  spec.zone = "b";
  PutJob(job_table_, spec);
  AddMachine("vm-1");  // zone a
  auto r = Plan();
  EXPECT_TRUE(r.placements.empty());
  ASSERT_EQ(r.demands.size(), 1U);
  EXPECT_EQ(r.demands[0].zone, "b");
  EXPECT_EQ(r.demands[0].tasks, 8U);
  EXPECT_EQ(r.demands[0].choices[0].tasks_per_machine, 4U);
}

}  // namespace
}  // namespace hallpier::plan
