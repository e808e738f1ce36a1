#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "fixtures.h"
#include "model/heartbeat.h"
#include "model/job.h"
#include "model/task.h"
#include "plan/duplex.h"
#include "plan/round.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

TaskClass ClassOf(double cpus, size_t count, std::vector<double> run_s) {
  TaskClass c;
  c.need = {cpus, 0, 1};
  c.count = count;
  c.run_s = std::move(run_s);
  return c;
}

std::vector<Slots> Machines(const std::vector<double>& cpus) {
  std::vector<Slots> out;
  out.reserve(cpus.size());
  for (double c : cpus) out.push_back({Timeline(Room{c, 0, 100}), 0});
  return out;
}

TEST(Timeline, FindsGapsAndEnds) {
  Timeline t(Room{2, 0, 10});
  t.Reserve(0, 5, {1, 0, 1});
  t.Reserve(8, 4, {2, 0, 1});
  EXPECT_EQ(t.Earliest({1, 0, 1}, 8), 0);
  EXPECT_EQ(t.Earliest({1, 0, 1}, 9), 12) << "the gap before the second block is too short";
  EXPECT_EQ(t.Earliest({2, 0, 1}, 3), 5);
  EXPECT_EQ(t.Earliest({2, 0, 1}, 4), 12);
  EXPECT_LT(t.Earliest({3, 0, 1}, 1), 0);
  t.Release(6, {1, 0, 0});
  EXPECT_EQ(t.Earliest({3, 0, 1}, 1), 6);
}

// One slot, tasks of 1 and 10 seconds. Min-min: 1 then 10 (delays 0 + 1); min-max: 10 then 1
// (delays 0 + 10). Run times add up to 11 either way.
TEST(Duplex, PrefersMinMinWhereShortOnesGoFirst) {
  auto machines = Machines({1});
  std::vector<TaskClass> classes = {ClassOf(1, 1, {1}), ClassOf(1, 1, {10})};
  auto a = machines, b = machines;
  EXPECT_DOUBLE_EQ(MapTier(MappingOrder::kMinMin, classes, a, 10).cost, 12);
  EXPECT_DOUBLE_EQ(MapTier(MappingOrder::kMinMax, classes, b, 10).cost, 21);
  Map map = Duplex(classes, machines, 10);
  EXPECT_DOUBLE_EQ(map.cost, 12);
  EXPECT_EQ(map.assignments[0].task_class, 0U);
}

// A fast and a slow machine. The short task takes 2 s on either; the long one 3 s on the fast and
// 30 s on the slow. Min-min gives the fast one to the short task: 2 + (3 run + 2 delay) = 7.
// Min-max gives it to the long one, the short one goes to the slow machine: 3 + 2 = 5.
TEST(Duplex, PrefersMinMaxWhereTheLongOneNeedsTheFastMachine) {
  auto machines = Machines({1, 1});
  std::vector<TaskClass> classes = {ClassOf(1, 1, {2, 2}), ClassOf(1, 1, {3, 30})};
  auto a = machines, b = machines;
  EXPECT_DOUBLE_EQ(MapTier(MappingOrder::kMinMin, classes, a, 10).cost, 7);
  EXPECT_DOUBLE_EQ(MapTier(MappingOrder::kMinMax, classes, b, 10).cost, 5);
  EXPECT_DOUBLE_EQ(Duplex(classes, machines, 10).cost, 5);
}

TEST(Duplex, KeepsZonesTogetherOrApart) {
  std::vector<Slots> machines = Machines({2, 2});
  machines[1].zone = 1;
  TaskClass together = ClassOf(1, 3, {5, 5});
  together.one_zone = true;
  auto m = machines;
  Map map = Duplex({together}, m, 10);
  ASSERT_EQ(map.assignments.size(), 3U);
  for (const auto& a : map.assignments) EXPECT_EQ(a.machine, map.assignments[0].machine);
  TaskClass apart = ClassOf(1, 3, {5, 5});
  apart.zone_room = {1, 2};
  m = machines;
  map = Duplex({apart}, m, 10);
  ASSERT_EQ(map.assignments.size(), 3U);
  EXPECT_EQ(std::count_if(map.assignments.begin(), map.assignments.end(),
                          [](const Assignment& a) { return a.machine == 0; }),
            1);
}

// Whole machines come free only if tasks gather where others run for as long anyway.
TEST(Duplex, PacksOntoTheMachineThatIsInUseAnyway) {
  auto machines = Machines({4, 4, 4});
  machines[1].timeline.Reserve(0, 10, {2, 0, 1});
  machines[2].timeline.Reserve(0, 100, {1, 0, 1});
  TaskClass packed = ClassOf(1, 1, {50, 50, 50});
  packed.pack = true;
  Map map = Duplex({packed}, machines, 10);
  ASSERT_EQ(map.assignments.size(), 1U);
  EXPECT_EQ(map.assignments[0].machine, 2U);
}

class RoundTest : public testing::Test {
 protected:
  RoundTest() : settings_(SettingsOf()), job_table_(64), registry_({3, 30, 3, 4}) {
    context_.settings = &settings_;
    context_.operators = &operators_;
    context_.machine_types = {MachineTypeOf("c4", 4)};
    registry_.BeginTerm(kTestToken, 0, 0);
  }
  void AddMachine(const std::string& name) {
    registry_.OnHeartbeat(ReportOf(name, 1, 1, kTestToken), 100, false);
  }
  // Tasks 0 to count - 1 of run-1 run on vm-1 and are reported.
  void RunOnVm1(uint32_t count) {
    model::Heartbeat report = ReportOf("vm-1", 1, 1, kTestToken);
    for (uint32_t i = 0; i < count; ++i) {
      Place(job_table_, "run-1", i, 1, "vm-1");
      report.tasks.push_back(TaskReportOf("run-1", i, 1, model::TaskPhase::kRunning));
    }
    registry_.OnHeartbeat(report, 100, false);
  }
  RoundResult Plan() { return PlanRound(context_, job_table_, registry_, 100, 100); }
  size_t PlacedOf(const RoundResult& r, const std::string& job) {
    return static_cast<size_t>(std::count_if(r.places.begin(), r.places.end(),
                                             [&](const auto& p) { return p.task.job == job; }));
  }

  config::Settings settings_;
  config::Operator operators_;
  jobs::JobTable job_table_;
  fleet::WorkerRegistry registry_;
  Context context_;
};

TEST_F(RoundTest, ATeamsLimitKeepsTasksOut) {
  settings_.teams = {{"team", 0, 3, 0, 0}};
  PutJob(job_table_, Spec("run-1", 4));
  Place(job_table_, "run-1", 0, 1, "vm-elsewhere");  // counts, wherever it may be
  AddMachine("vm-1");
  EXPECT_EQ(Plan().places.size(), 2U);
}

// A team at its limit, whose jobs are cancelled while their machines can't be asked: what may be
// alive counts, whoever leads.
TEST_F(RoundTest, CancelledTasksCountUntilTheyAreProvenGone) {
  settings_.teams = {{"team", 0, 3, 0, 0}};
  PutJob(job_table_, Spec("run-1", 3));
  for (uint32_t i = 0; i < 3; ++i) Place(job_table_, "run-1", i, 1, "vm-cut-off");
  PutJob(job_table_, Spec("run-1", 3), 1, true);
  PutJob(job_table_, Spec("run-2", 2));
  AddMachine("vm-1");
  EXPECT_EQ(Plan().places.size(), 0U);
  job_table_.Apply(store::ParseKey(store::TaskGroupKey("run-1", 0)),
                   R"({"done":[],"on":{"":[0,1,2]},"runs":{}})");
  EXPECT_EQ(Plan().places.size(), 2U);
}

// A team at its limit, one of whose tasks was stopped: until that is recorded nobody takes its part
// of the limit, or the next leader may find both. What is done needs no room again.
TEST_F(RoundTest, OnlyADoneTaskMakesRoomUnderItsTeamsLimitBeforeItIsRecorded) {
  settings_.teams = {{"team", 0, 1, 0, 0}};
  PutJob(job_table_, Spec("run-1", 1));
  PutJob(job_table_, Spec("run-2", 1));
  Place(job_table_, "run-1", 0, 1, "vm-1");
  model::Heartbeat r = ReportOf("vm-1", 1, 1, kTestToken);
  r.tasks = {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)};
  registry_.OnHeartbeat(r, 100, false);
  EXPECT_EQ(Plan().places.size(), 0U);
  r.agent_epoch = model::AgentEpoch(2);
  r.sequence = 2;
  r.tasks = {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone)};
  registry_.OnHeartbeat(r, 100, false);
  EXPECT_EQ(PlacedOf(Plan(), "run-2"), 1U);
}

// An array bound to one zone has lost its machines: while one of them may be alive in a zone that
// is not known any more, nothing new may start; then all go to one zone.
TEST_F(RoundTest, AJobBoundToOneZoneWaitsForWhatMayBeAliveElsewhere) {
  auto spec = Spec("run-1", 6);
  spec.one_zone = true;
  PutJob(job_table_, spec);
  Place(job_table_, "run-1", 0, 1, "vm-unknown");
  AddMachine("vm-1");
  for (const char* name : {"vm-2", "vm-3"}) {
    model::Heartbeat r = ReportOf(name, 1, 1, kTestToken);
    r.zone = "b";
    registry_.OnHeartbeat(r, 100, false);
  }
  EXPECT_EQ(Plan().places.size(), 0U);
  job_table_.Apply(store::ParseKey(store::TaskGroupKey("run-1", 0)),
                   R"({"done":[],"on":{"":[0]},"runs":{}})");
  const RoundResult r = Plan();
  std::set<std::string> zones;
  for (const auto& p : r.places) zones.insert(registry_.Find(p.machine)->zone);
  EXPECT_GT(r.places.size(), 0U);
  EXPECT_EQ(zones.size(), 1U);
  // What runs in a zone keeps the rest there, also once a new leader takes over.
  Place(job_table_, "run-1", 1, 1, "vm-1");
  registry_.BeginTerm(model::FencingToken(8), 100, 100);
  for (const auto& p : Plan().places) EXPECT_EQ(registry_.Find(p.machine)->zone, "a");
}

TEST_F(RoundTest, AHigherTierTakesTheRoomFirst) {
  auto low = Spec("run-1", 4), high = Spec("run-2", 4);
  low.priority = model::Priority::kBestEffort;
  high.priority = model::Priority::kUrgent;
  PutJob(job_table_, low, 1);
  PutJob(job_table_, high, 2);
  AddMachine("vm-1");
  auto r = Plan();
  EXPECT_EQ(PlacedOf(r, "run-2"), 4U);
  EXPECT_EQ(PlacedOf(r, "run-1"), 0U);
}

TEST_F(RoundTest, ASwarmDoesNotKeepAnotherTeamFromItsGuarantee) {
  settings_.teams = {{"swarm", 0, 0, 0, 0}, {"team", 2, 0, 0, 0}};
  auto swarm = Spec("run-1", 100);
  swarm.team = "swarm";
  swarm.estimate_s = 1;
  PutJob(job_table_, swarm, 1);
  PutJob(job_table_, Spec("run-2", 2), 2);
  AddMachine("vm-1");
  auto r = Plan();
  EXPECT_EQ(PlacedOf(r, "run-2"), 2U);
  EXPECT_EQ(PlacedOf(r, "run-1"), 2U);
}

TEST_F(RoundTest, StaysOffMachinesThatAJobDoesNotAllow) {
  auto spec = Spec("run-1", 8);
  spec.zone = "b";
  PutJob(job_table_, spec);
  AddMachine("vm-1");  // zone a
  auto r = Plan();
  EXPECT_TRUE(r.places.empty());
  ASSERT_EQ(r.demands.size(), 1U);
  EXPECT_EQ(r.demands[0].zone, "b");
  EXPECT_EQ(r.demands[0].tasks, 8U);
  EXPECT_EQ(r.demands[0].choices[0].fit, 4U);
}

TEST_F(RoundTest, UrgentWorkStopsWhatLosesLeast) {
  auto low = Spec("run-1", 4);
  low.priority = model::Priority::kBestEffort;
  low.estimate_s = 500;
  PutJob(job_table_, low);
  model::Heartbeat report = ReportOf("vm-1", 1, 1, kTestToken);
  for (uint32_t i = 0; i < 4; ++i) {
    Place(job_table_, "run-1", i, 1, "vm-1");
    report.tasks.push_back(TaskReportOf("run-1", i, 1, model::TaskPhase::kRunning));
    report.sequence = i + 1;
    registry_.OnHeartbeat(report, 60 + i, false);
  }
  report.sequence = 9;
  registry_.OnHeartbeat(report, 100, false);
  auto high = Spec("run-2", 1);
  high.priority = model::Priority::kUrgent;
  PutJob(job_table_, high, 2);
  auto r = Plan();
  ASSERT_EQ(r.preemptions.size(), 1U);
  EXPECT_EQ(r.preemptions[0].task.index, 3U) << "it started last";
  EXPECT_TRUE(r.places.empty()) << "the room is not there yet";
}

// A leader that has just taken over knows of no task how long it has run: of two that it heard of
// at the same moment the one of the longer job has more to lose, and one that it started itself has
// less.
TEST_F(RoundTest, AfterATakeoverWhatMayHaveRunLongIsNotStoppedFirst) {
  auto longer = Spec("run-1", 2, 2), shorter = Spec("run-3", 2, 2);
  longer.priority = shorter.priority = model::Priority::kBestEffort;
  longer.estimate_s = 500;
  shorter.estimate_s = 100;
  PutJob(job_table_, longer);
  PutJob(job_table_, shorter);
  Place(job_table_, "run-1", 0, 1, "vm-1");
  Place(job_table_, "run-3", 0, 1, "vm-1");
  model::Heartbeat r = ReportOf("vm-1", 1, 1, kTestToken);
  r.tasks = {TaskReportOf("run-3", 0, 1, model::TaskPhase::kRunning)};
  registry_.OnHeartbeat(r, 96, false);
  r.sequence = 2;
  r.tasks.push_back(TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning));
  registry_.OnHeartbeat(r, 99, false);
  auto urgent = Spec("run-2", 1, 2);
  urgent.priority = model::Priority::kUrgent;
  PutJob(job_table_, urgent, 2);
  const auto plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].task.job, "run-3");
}

// Seen on a recorded day: work within a guarantee stopped urgent tasks every half second, and they
// took the room again, being first in the order.
TEST_F(RoundTest, WorkWithinAGuaranteeStopsOthersOnlyOnceItComesFirst) {
  settings_.teams = {{"other", 0, 0, 0, 0}, {"team", 8, 0, 0, 0}};
  auto borrowed = Spec("run-1", 4);
  borrowed.team = "other";
  borrowed.priority = model::Priority::kUrgent;
  borrowed.estimate_s = 500;
  PutJob(job_table_, borrowed, 1);
  RunOnVm1(4);
  auto owed = Spec("run-2", 1);
  owed.priority = model::Priority::kBestEffort;
  PutJob(job_table_, owed, 90);
  EXPECT_TRUE(Plan().preemptions.empty());
  PutJob(job_table_, owed, 100 - 31);  // a machine boots in 30 s
  auto r = Plan();
  ASSERT_EQ(r.preemptions.size(), 1U);
  EXPECT_EQ(r.preemptions[0].for_job, "run-2");
}

// Seen on a recorded day: the room was made on a machine that lacked the urgent task's image, where
// it would have ended later than in the slot it had, so that it did not take the room.
TEST_F(RoundTest, NothingIsStoppedWhereTheTaskWouldEndLaterEvenSo) {
  auto low = Spec("run-1", 4);
  low.priority = model::Priority::kBestEffort;
  low.estimate_s = 20;
  PutJob(job_table_, low);
  RunOnVm1(4);
  auto high = Spec("run-2", 1);
  high.priority = model::Priority::kUrgent;
  PutJob(job_table_, high, 2);
  EXPECT_EQ(Plan().preemptions.size(), 1U);
  low.estimate_s = 8;  // the slot comes soon by itself
  PutJob(job_table_, low);
  EXPECT_TRUE(PlanRound(context_, job_table_, registry_, 104, 104).preemptions.empty());
}

TEST_F(RoundTest, JobsWithLittleLeftGoFirstAndHopelessOnesLast) {
  settings_.objectives = {{"finished", "lane", 50, 0.9}};
  auto big = Spec("run-1", 200), small = Spec("run-2", 2), late = Spec("run-3", 1);
  late.estimate_s = 60;
  PutJob(job_table_, late, 97);
  PutJob(job_table_, big, 98);
  PutJob(job_table_, small, 99);
  AddMachine("vm-1");
  auto r = Plan();
  EXPECT_EQ(PlacedOf(r, "run-2"), 2U);
  EXPECT_EQ(PlacedOf(r, "run-1"), 2U);
  EXPECT_EQ(PlacedOf(r, "run-3"), 0U);
}

TEST_F(RoundTest, ANoticedMachineIsLeftByWhatCannotEndInTime) {
  auto saves = Spec("run-1", 1), lasts = Spec("run-2", 1), ends = Spec("run-3", 1);
  saves.checkpoint_every_s = 20;
  saves.checkpoint_s = 4;
  saves.estimate_s = lasts.estimate_s = 100;
  ends.estimate_s = 3;
  model::Heartbeat report = ReportOf("vm-1", 1, 1, kTestToken);
  report.spot_notice_s = 8;
  for (const auto& spec : {saves, lasts, ends}) {
    PutJob(job_table_, spec);
    Place(job_table_, spec.id, 0, 1, "vm-1");
    report.tasks.push_back(TaskReportOf(spec.id, 0, 1, model::TaskPhase::kRunning));
  }
  registry_.OnHeartbeat(report, 100, false);
  std::map<std::string, double> grace;
  for (const auto& p : Plan().preemptions) grace[p.task.job] = p.grace_s;
  EXPECT_EQ(grace, (std::map<std::string, double>{{"run-1", 4}, {"run-2", 0}}));
}

TEST_F(RoundTest, SameRankIsNeverStopped) {
  auto spec = Spec("run-1", 4);
  spec.priority = model::Priority::kUrgent;
  spec.estimate_s = 500;
  PutJob(job_table_, spec);
  RunOnVm1(4);
  auto other = Spec("run-2", 1);
  other.priority = model::Priority::kUrgent;
  PutJob(job_table_, other, 2);
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Seen on the grown deployments: work that the order puts first was stopped for later work, got the
// room back in the next round, and was stopped again, a hundred times a second.
TEST_F(RoundTest, NobodyIsStoppedForWorkThatComesLater) {
  auto first = Spec("run-1", 4);
  first.priority = model::Priority::kBestEffort;
  first.estimate_s = 500;
  PutJob(job_table_, first, 1);
  RunOnVm1(4);
  auto urgent = Spec("run-2", 1);
  urgent.team = "other";
  urgent.priority = model::Priority::kUrgent;
  PutJob(job_table_, urgent, 99);
  settings_.teams = {{"team", 0, 0, 0, 0}, {"other", 0, 0, 0, 0}};
  EXPECT_EQ(Plan().preemptions.size(), 1U);
  settings_.teams[0].cpus = 4;  // what runs is owed to its team, and has waited for long
  EXPECT_TRUE(Plan().preemptions.empty());
}

// The protocol allows a job of 100,000 tasks: a round looks at what it can place, and wants no more
// than that for it.
TEST_F(RoundTest, AHugeJobIsPlacedInPieces) {
  auto huge = Spec("run-1", 100000);
  huge.priority = model::Priority::kUrgent;
  PutJob(job_table_, huge, 99);
  for (int i = 0; i < 50; ++i) AddMachine("vm-" + std::to_string(i));
  auto r = Plan();
  EXPECT_EQ(PlacedOf(r, "run-1"), 200U);
  EXPECT_EQ(r.places.front().task.index, 0U);
  EXPECT_EQ(r.places.back().task.index, 199U);
  EXPECT_EQ(r.waiting, 100000U);
}

// Nothing starves: not the largest job behind a stream of small ones, not a class behind an urgent
// one. Begun work waits for its turn, and the share of the processors is bounded.
TEST_F(RoundTest, WhatHasWaitedTooLongBeginsWhateverTheOrderSays) {
  auto large = Spec("run-1", 900), urgent = Spec("run-2", 40), small = Spec("run-3", 2);
  urgent.priority = model::Priority::kUrgent;
  operators_.starve_s = 60;
  PutJob(job_table_, large, 50);  // has waited 50 s
  PutJob(job_table_, urgent, 99);
  PutJob(job_table_, small, 99);
  for (const char* vm : {"vm-1", "vm-2"}) AddMachine(vm);
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 0U);
  PutJob(job_table_, large, 39);  // and now 61 s
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 2U) << "a quarter of 8 processors";
  Place(job_table_, "run-1", 0, 1, "vm-9");
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 0U) << "it has begun";
  PutJob(job_table_, large, -21);  // 121 s
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 1U);
}

// A steady stream of normal work would keep best-effort work out for ever.
TEST_F(RoundTest, BestEffortWorkMovesUpOnceItHasWaited) {
  settings_.objectives = {{"finished", "slow", 200, 0.9}};
  auto low = Spec("run-1", 4), normal = Spec("run-2", 400);
  low.priority = model::Priority::kBestEffort;
  low.job_class = "slow";
  PutJob(job_table_, normal, 99);
  PutJob(job_table_, low, 60);  // has waited 40 s
  AddMachine("vm-1");
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 0U);
  PutJob(job_table_, low, 35);  // and now 65 s, more than a third of its aim
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 4U);
}

// A job that waits for others holds no part of its team's limit or guarantee, and nobody rents for
// it; once it may start, its age counts from then.
TEST_F(RoundTest, WhoWaitsForOtherJobsTakesPartInNothing) {
  settings_.teams = {{"team", 4, 0, 0, 0}};
  model::JobSpec waits = Spec("run-1", 100);
  waits.awaits = {"run-9"};
  PutJob(job_table_, waits);
  PutJob(job_table_, Spec("run-9", 1));
  PutJob(job_table_, Spec("run-2", 3), 2);
  AddMachine("vm-1");
  RoundResult r = Plan();
  EXPECT_EQ(r.waiting, 4U);
  EXPECT_EQ(PlacedOf(r, "run-1"), 0U);
  EXPECT_EQ(PlacedOf(r, "run-2"), 3U);
  EXPECT_TRUE(r.demands.empty());
  job_table_.RecordFinal("run-9", {model::JobPhase::kDone, 1, 90});
  job_table_.Apply(store::ParseKey(store::JobKey("run-9")), "");
  r = Plan();
  EXPECT_EQ(PlacedOf(r, "run-2"), 3U) << "older, counted from when both might start";
  EXPECT_EQ(PlacedOf(r, "run-1"), 1U);
}

TEST_F(RoundTest, WhatUrgentWorkNeedsComesWithItsUrgency) {
  model::JobSpec first = Spec("run-1", 4);
  first.priority = model::Priority::kBestEffort;
  model::JobSpec last = Spec("run-2", 1);
  last.priority = model::Priority::kUrgent;
  last.awaits = {"run-1"};
  PutJob(job_table_, first, 5);
  PutJob(job_table_, Spec("run-3", 4), 1);
  AddMachine("vm-1");
  EXPECT_EQ(PlacedOf(Plan(), "run-3"), 4U);
  PutJob(job_table_, last, 6);
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 4U);
}

// A job that failed wherever it ran: one task at a time, behind what waits beside it, and nothing
// is rented or stopped for it.
TEST_F(RoundTest, AJobThatFailsEverywhereIsRetriedBehindAllOthersOfItsRank) {
  for (const char* name : {"vm-1", "vm-2", "vm-3"}) AddMachine(name);
  PutJob(job_table_, Spec("run-1", 20), 1);
  for (const char* name : {"vm-1", "vm-2", "vm-3"})
    registry_.failures().OnFailure("run-1", name, 90);
  registry_.UpdateObservations(job_table_);
  RoundResult alone = Plan();
  EXPECT_EQ(PlacedOf(alone, "run-1"), 1U);
  EXPECT_EQ(alone.retried_jobs, std::vector<std::string>{"run-1"});
  EXPECT_TRUE(alone.demands.empty());
  PutJob(job_table_, Spec("run-2", 12), 50);
  RoundResult beside = Plan();
  EXPECT_EQ(PlacedOf(beside, "run-2"), 12U);
  EXPECT_EQ(PlacedOf(beside, "run-1"), 0U);
  EXPECT_TRUE(beside.preemptions.empty());
}

TEST_F(RoundTest, ARetryWaitsForItsBackoff) {
  for (const char* name : {"vm-1", "vm-2", "vm-3"}) AddMachine(name);
  PutJob(job_table_, Spec("run-1", 20), 1);
  for (const char* name : {"vm-1", "vm-2", "vm-3"})
    registry_.failures().OnFailure("run-1", name, 99);
  registry_.UpdateObservations(job_table_);
  EXPECT_TRUE(Plan().places.empty());
  registry_.failures().OnSuccess("run-1", "vm-1");
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 4U) << "on the machine that it succeeded on";
}

// Where it can go nowhere else, a job returns to machines that it failed on, but not at once.
TEST_F(RoundTest, AJobThatFailedOnAllMachinesThatFitIsNotGivenUp) {
  AddMachine("vm-1");
  for (int i = 2; i < 6; ++i) {
    model::Heartbeat other = ReportOf("vm-" + std::to_string(i), 1, 1, kTestToken);
    other.zone = "b";
    registry_.OnHeartbeat(other, 100, false);
  }
  model::JobSpec bound = Spec("run-1", 8);
  bound.zone = "a";
  PutJob(job_table_, bound, 1);
  registry_.failures().OnFailure("run-1", "vm-1", 99);
  registry_.UpdateObservations(job_table_);
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 0U);
  RoundResult later = PlanRound(context_, job_table_, registry_, 103, 103);
  EXPECT_EQ(PlacedOf(later, "run-1"), 1U);
  EXPECT_EQ(later.retried_jobs, std::vector<std::string>{"run-1"});
}

// However many such jobs there are, their retries share a small part of the processors.
TEST_F(RoundTest, RetriesOfManyBrokenJobsAreBounded) {
  for (int i = 0; i < 30; ++i) AddMachine("vm-" + std::to_string(i));
  for (int j = 0; j < 10; ++j) {
    const std::string id = "run-" + std::to_string(j);
    PutJob(job_table_, Spec(id, 20), 1);
    for (int i = 0; i < 3; ++i) registry_.failures().OnFailure(id, "vm-" + std::to_string(i), 90);
  }
  registry_.UpdateObservations(job_table_);
  EXPECT_EQ(Plan().places.size(), 2U) << "2 of 120 processors";
}

TEST_F(RoundTest, PredictsFromTheLearnedMeanOnceThereIsOne) {
  PutJob(job_table_, Spec("run-1", 4));
  EXPECT_DOUBLE_EQ(PredictRun(*job_table_.Find("run-1"), "c4"), 10);
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  task_group.runs["c8"] = {2, 12};
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  EXPECT_DOUBLE_EQ(PredictRun(*job_table_.Find("run-1"), "c4"), 6);
  task_group.runs["c4"] = {1, 8};
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  EXPECT_DOUBLE_EQ(PredictRun(*job_table_.Find("run-1"), "c4"), 8);
}

}  // namespace
}  // namespace hallpier::plan
