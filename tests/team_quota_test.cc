// Quotas and guarantees of teams in a round.
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

TEST_F(TeamQuotaTest, ATeamsLimitKeepsTasksOut) {
  settings_.teams = {{"team", 0, 3, 0, 0}};
  PutJob(job_table_, Spec("run-1", 4));
  Place(job_table_, "run-1", 0, 1, "vm-elsewhere");  // counts, wherever it may be
  AddMachine("vm-1");
  EXPECT_EQ(Plan().placements.size(), 2U);
}

// A team at its limit, whose jobs are cancelled while their machines can't be asked: what may be
// alive counts, whoever leads.
TEST_F(TeamQuotaTest, CancelledTasksCountUntilTheyAreProvenGone) {
  settings_.teams = {{"team", 0, 3, 0, 0}};
  PutJob(job_table_, Spec("run-1", 3));
  for (uint32_t i = 0; i < 3; ++i) Place(job_table_, "run-1", i, 1, "vm-cut-off");
  PutJob(job_table_, Spec("run-1", 3), 1, true);
  PutJob(job_table_, Spec("run-2", 2));
  AddMachine("vm-1");
  EXPECT_EQ(Plan().placements.size(), 0U);
  job_table_.Apply(store::ParseKey(store::TaskGroupKey("run-1", 0)),
                   R"({"done":[],"on":{"":[0,1,2]},"runs":{}})");
  EXPECT_EQ(Plan().placements.size(), 2U);
}

// A team at its limit, one of whose tasks was stopped: until that is recorded nobody takes its part
// of the limit, or the next leader may find both. What is done needs no room again.
TEST_F(TeamQuotaTest, OnlyADoneTaskMakesRoomUnderItsTeamsLimitBeforeItIsRecorded) {
  settings_.teams = {{"team", 0, 1, 0, 0}};
  PutJob(job_table_, Spec("run-1", 1));
  PutJob(job_table_, Spec("run-2", 1));
  Place(job_table_, "run-1", 0, 1, "vm-1");
  model::Heartbeat r = ReportOf("vm-1", 1, 1, kTestToken);
  r.tasks = {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)};
  registry_.OnHeartbeat(r, 100, false);
  EXPECT_EQ(Plan().placements.size(), 0U);
  r.agent_epoch = model::AgentEpoch(2);
  r.sequence = 2;
  r.tasks = {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone)};
  registry_.OnHeartbeat(r, 100, false);
  EXPECT_EQ(PlacedOf(Plan(), "run-2"), 1U);
}

TEST_F(TeamQuotaTest, ASwarmDoesNotKeepAnotherTeamFromItsGuarantee) {
  settings_.teams = {{"swarm", 0, 0, 0, 0}, {"team", 2, 0, 0, 0}};
  auto swarm = Spec("run-1", 100);
  swarm.team = "swarm";
  swarm.estimated_run_s = 1;
  PutJob(job_table_, swarm, 1);
  PutJob(job_table_, Spec("run-2", 2), 2);
  AddMachine("vm-1");
  auto r = Plan();
  EXPECT_EQ(PlacedOf(r, "run-2"), 2U);
  EXPECT_EQ(PlacedOf(r, "run-1"), 2U);
}

// A job that waits for others holds no part of its team's limit or guarantee, and nobody rents for
// it; once it may start, its age counts from then.
TEST_F(TeamQuotaTest, ABlockedJobTakesNoPartOfQuotaOrGuarantee) {
  settings_.teams = {{"team", 4, 0, 0, 0}};
  model::JobSpec waits = Spec("run-1", 100);
  waits.dependencies = {"run-9"};
  PutJob(job_table_, waits);
  PutJob(job_table_, Spec("run-9", 1));
  PutJob(job_table_, Spec("run-2", 3), 2);
  AddMachine("vm-1");
  RoundResult r = Plan();
  EXPECT_EQ(r.waiting_tasks, 4U);
  EXPECT_EQ(PlacedOf(r, "run-1"), 0U);
  EXPECT_EQ(PlacedOf(r, "run-2"), 3U);
  EXPECT_TRUE(r.demands.empty());
  job_table_.SetFinalRecord("run-9", {model::JobPhase::kDone, 1, 90});
  job_table_.Apply(store::ParseKey(store::JobKey("run-9")), "");
  r = Plan();
  EXPECT_EQ(PlacedOf(r, "run-2"), 3U) << "older, counted from when both might start";
  EXPECT_EQ(PlacedOf(r, "run-1"), 1U);
}

TEST(TeamQuotas, AdmitsWholeTasksUntilTheQuotaIsUsedUp) {
  TeamQuotas quotas = TeamQuotas::FromAllowances({{"team", {1, 0, 0}}});
  const model::JobSpec spec = Spec("run-1", 100, 0.1);
  EXPECT_EQ(quotas.Admit(spec, 3), 3U);
  EXPECT_EQ(quotas.Admit(spec, 100), 7U) << "ten times 0.1 is the whole quota";
  EXPECT_EQ(quotas.Admit(spec, 1), 0U);
  model::JobSpec other = spec;
  other.team = "other";
  EXPECT_EQ(quotas.Admit(other, 100), 100U) << "a team that is not named has no limit";
}

TEST(TeamQuotas, AJobIsWithinTheGuaranteeIfAllChargedBeforeItLeaveEnough) {
  jobs::JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 3));
  PutJob(job_table, Spec("run-2", 2));
  const config::Team team{"team", 4, 0, 0, 0};
  TeamQuotas quotas = TeamQuotas::FromTeamLimits({team}, {}, {});
  EXPECT_TRUE(quotas.ChargeGuarantee(*job_table.Find("run-1"), &team));
  EXPECT_FALSE(quotas.ChargeGuarantee(*job_table.Find("run-2"), &team));
  TeamQuotas without = TeamQuotas::FromTeamLimits({}, {}, {});
  EXPECT_FALSE(without.ChargeGuarantee(*job_table.Find("run-1"), nullptr));
}

}  // namespace
}  // namespace hallpier::plan
