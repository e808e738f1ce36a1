// The quotas and guarantees of teams in a round.
#include "plan/team_quota.h"

#include <gtest/gtest.h>

#include "model/heartbeat.h"
#include "model/job.h"
#include "model/task.h"
#include "plan/round.h"
#include "round_fixture.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class TeamQuotaTest : public RoundFixture {};

TEST_F(TeamQuotaTest, TeamLimitCountsTaskOnUnknownMachine) {
  settings_.teams = {{"team", 0, 3, 0, 0}};
  PutJob(job_table_, Spec("run-1", 4));
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-elsewhere");  // counts even if its machine is unknown
  AddMachine("vm-1");
  EXPECT_EQ(Plan().placements.size(), 2U);
}

// The job of a team at its limit is cancelled while its machines are unreachable. Its tasks may
// still be alive and count toward the limit, regardless of which controller leads.
TEST_F(TeamQuotaTest, CancelledTasksCountUntilProvenGone) {
  settings_.teams = {{"team", 0, 3, 0, 0}};
  PutJob(job_table_, Spec("run-1", 3));
  for (uint32_t i = 0; i < 3; ++i) PutOpenTask(job_table_, "run-1", i, 1, "vm-cut-off");
  PutJob(job_table_, Spec("run-1", 3), 1, true);
  PutJob(job_table_, Spec("run-2", 2));
  AddMachine("vm-1");
  EXPECT_EQ(Plan().placements.size(), 0U);
  job_table_.Apply(store::ParseKey(store::TaskGroupKey("run-1", 0)),
                   R"({"done":[],"on":{"":[0,1,2]},"runs":{}})");
  EXPECT_EQ(Plan().placements.size(), 2U);
}

// A task of a team at its limit was stopped. Until that is recorded, no other task may take its
// part of the limit, or the next leader may find both tasks recorded as placed. A done task never
// needs resources again.
TEST_F(TeamQuotaTest, OnlyDoneTaskFreesQuotaBeforeItsEndIsRecorded) {
  settings_.teams = {{"team", 0, 1, 0, 0}};
  PutJob(job_table_, Spec("run-1", 1));
  PutJob(job_table_, Spec("run-2", 1));
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
  model::Heartbeat r = MakeHeartbeat("vm-1", 1, 1, kTestToken);
  r.tasks = {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)};
  registry_.OnHeartbeat(r, 100, false);
  EXPECT_EQ(Plan().placements.size(), 0U);
  r.agent_epoch = model::AgentEpoch(2);
  r.sequence = 2;
  r.tasks = {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone)};
  registry_.OnHeartbeat(r, 100, false);
  EXPECT_EQ(CountPlaced(Plan(), "run-2"), 1U);
}

TEST_F(TeamQuotaTest, LargeJobDoesNotKeepOtherTeamFromItsGuarantee) {
  settings_.teams = {{"swarm", 0, 0, 0, 0}, {"team", 2, 0, 0, 0}};
  auto large_job = Spec("run-1", 100);
  large_job.team = "swarm";
  large_job.estimated_run_s = 1;
  PutJob(job_table_, large_job, 1);
  PutJob(job_table_, Spec("run-2", 2), 2);
  AddMachine("vm-1");
  auto r = Plan();
  EXPECT_EQ(CountPlaced(r, "run-2"), 2U);
  EXPECT_EQ(CountPlaced(r, "run-1"), 2U);
}

// A job that waits for other jobs takes no part of its team's limit or guarantee, and no machine is
// requested for it. Once it may start, its age counts from that time.
TEST_F(TeamQuotaTest, BlockedJobUsesNoQuotaOrGuarantee) {
  settings_.teams = {{"team", 4, 0, 0, 0}};
  model::JobSpec waits = Spec("run-1", 100);
  waits.dependencies = {"run-9"};
  PutJob(job_table_, waits);
  PutJob(job_table_, Spec("run-9", 1));
  PutJob(job_table_, Spec("run-2", 3), 2);
  AddMachine("vm-1");
  RoundResult r = Plan();
  EXPECT_EQ(r.waiting_tasks, 4U);
  EXPECT_EQ(CountPlaced(r, "run-1"), 0U);
  EXPECT_EQ(CountPlaced(r, "run-2"), 3U);
  EXPECT_TRUE(r.demands.empty());
  job_table_.SetFinalRecord("run-9", {model::JobPhase::kDone, 1, 90});
  job_table_.Apply(store::ParseKey(store::JobKey("run-9")), "");
  r = Plan();
  EXPECT_EQ(CountPlaced(r, "run-2"), 3U)
      << "older, if the ages count from when each job could start";
  EXPECT_EQ(CountPlaced(r, "run-1"), 1U);
}

TEST(TeamQuotas, AdmitsWholeTasksUntilQuotaIsUsedUp) {
  TeamQuotas quotas = TeamQuotas::FromAllowances({{"team", {1, 0, 0}}});
  const model::JobSpec spec = Spec("run-1", 100, 0.1);
  EXPECT_EQ(quotas.Admit(spec, 3), 3U);
  EXPECT_EQ(quotas.Admit(spec, 100), 7U) << "ten tasks of 0.1 use the whole quota";
  EXPECT_EQ(quotas.Admit(spec, 1), 0U);
  model::JobSpec other = spec;
  other.team = "other";
  EXPECT_EQ(quotas.Admit(other, 100), 100U) << "a team without an allowance has no limit";
}

TEST(TeamQuotas, GuaranteeCoversJobIfEarlierChargesLeaveEnough) {
  jobs::JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 3));
  PutJob(job_table, Spec("run-2", 2));
  const config::Team team{"team", 4, 0, 0, 0};
  TeamQuotas quotas = TeamQuotas::FromTeamLimits({team}, {}, {});
  EXPECT_TRUE(quotas.ChargeGuarantee(*job_table.Find("run-1"), &team));
  EXPECT_FALSE(quotas.ChargeGuarantee(*job_table.Find("run-2"), &team));
  TeamQuotas quotas_without_team = TeamQuotas::FromTeamLimits({}, {}, {});
  EXPECT_FALSE(quotas_without_team.ChargeGuarantee(*job_table.Find("run-1"), nullptr));
}

}  // namespace
}  // namespace hallpier::plan
