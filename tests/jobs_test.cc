#include <gtest/gtest.h>

#include "fixtures.h"
#include "jobs/batch.h"
#include "store/budget.h"

namespace hallpier::jobs {
namespace {

using namespace testing_support;
using Kind = Mutation::Kind;

uint64_t NoStamp(const std::string& /*unused*/) { return 0; }

Mutation Make(Kind kind, uint32_t index, uint64_t attempt, const std::string& machine) {
  Mutation m;
  m.kind = kind;
  m.task = {"run-1", index};
  m.attempt = attempt;
  m.machine = machine;
  return m;
}

// Two holders that place tasks of different groups guard different keys; the job's record is one.
TEST(BuildTxns, WhereZonesDependOnEachOtherAPlacementRewritesTheJob) {
  Ledger ledger(4);
  wire::JobSpec spec = Spec("run-1", 8);
  spec.one_zone = true;
  PutJob(ledger, spec);
  Mutation place;
  place.task = {"run-1", 6};
  place.attempt = 1;
  place.machine = "vm-1";
  BatchLimits limits = {8, {{"block", 5}}, 0, 0, false, 0};
  const StampOf version = [](const std::string& /*key*/) { return uint64_t{1}; };
  EXPECT_EQ(BuildTxns(ledger, {place}, limits, version).at(0).writes.size(), 1U);
  limits.others_place = true;
  const auto writes = BuildTxns(ledger, {place}, limits, version).at(0).writes;
  ASSERT_EQ(writes.size(), 2U);
  EXPECT_EQ(writes[1].key, store::JobKey("run-1"));
  EXPECT_EQ(writes[1].value, store::WriteJob(*ledger.Record("run-1")));
}

const BatchLimits kLimits = {8, {{"block", 5}}, 0, 0, false, 0};

TEST(IndexSet, MergesRanges) {
  store::IndexSet s;
  for (uint32_t i : {5U, 3U, 4U, 9U, 3U}) s.Insert(i);
  EXPECT_EQ(s.size(), 4U);
  EXPECT_EQ(s.ranges(), (std::map<uint32_t, uint32_t>{{3, 5}, {9, 9}}));
  EXPECT_TRUE(s.Contains(4));
  EXPECT_FALSE(s.Contains(6));
}

TEST(Records, SurviveARoundTripAndRefuseNonsense) {
  store::Shard s;
  s.done.Insert(1);
  s.done.Insert(2);
  s.open[7] = {3, "vm-1"};
  s.open[8] = {1, ""};
  s.runs["c4"] = {2, 20.5};
  auto back = store::ReadShard(store::WriteShard(s));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->open, s.open);
  EXPECT_EQ(back->done.size(), 2U);
  EXPECT_EQ(back->placed(), 1U);
  EXPECT_EQ(back->runs["c4"].count, 2U);
  for (const char* bad :
       {R"({"done":[1],"on":{}})", R"({"done":[]})", R"({"done":[],"on":{"vm-1":[-2]}})",
        R"({"done":[],"on":{"vm-1":[3,-2,-2]}})", R"({"done":[],"on":{"vm-1":[3],"vm-2":[3]}})",
        R"({"done":[],"on":{"vm-1":[100000]}})"}) {
    EXPECT_FALSE(store::ReadShard(bad)) << bad;
  }
  EXPECT_FALSE(store::ReadShard("[]"));
  EXPECT_FALSE(store::ReadFinal(R"({"phase":"running"})"));
}

TEST(Records, TheLargestShardFitsItsValue) {
  const double value_kb = 2;
  const uint32_t tasks = store::TasksPerShard(value_kb);
  store::Shard s;
  for (uint32_t i = 0; i < tasks; ++i) s.open[99000 + i] = {1, "vm-" + std::to_string(100000 + i)};
  EXPECT_LT(static_cast<double>(store::WriteShard(s).size()), value_kb * 1024);
}

// Names of machines may be longer than the size of a group allows for: what does not fit waits, and
// is placed once others have ended. The state service would refuse the whole value.
TEST(Batch, PlacementsThatWouldOverfillAValueWait) {
  Ledger ledger(64);
  PutJob(ledger, Spec("run-1", 40));
  std::vector<Mutation> all;
  for (uint32_t i = 0; i < 40; ++i) {
    all.push_back(Make(Kind::kPlace, i, 1, std::string(60, 'm') + std::to_string(i)));
  }
  BatchLimits limits = kLimits;
  limits.value_bytes = 1024;
  auto txns = BuildTxns(ledger, all, limits, NoStamp);
  ASSERT_EQ(txns.size(), 1U);
  EXPECT_LE(txns[0].writes[0].value.size(), 1024U);
  EXPECT_EQ(txns[0].machines.size(), 10U);
  EXPECT_EQ(store::ReadShard(txns[0].writes[0].value)->open.size(), 10U);
}

// With more to write than the budget allows, urgent starts come first and ends of single tasks
// last, unless they have waited long; the last task's end goes with what makes the job final.
TEST(Batch, WhatMattersMostIsWrittenFirst) {
  Ledger ledger(64);
  wire::JobSpec urgent = Spec("run-4", 1);
  urgent.priority = wire::Priority::kUrgent;
  for (const auto& spec : {Spec("run-1", 4), Spec("run-2", 1), Spec("run-3", 4), urgent}) {
    PutJob(ledger, spec);
  }
  for (const char* id : {"run-1", "run-2"}) Place(ledger, id, 0, 1, "vm-1");
  auto of = [](const char* job, Mutation m) {
    m.task.job = job;
    return m;
  };
  BatchLimits limits = kLimits;
  limits.ops = 3;
  limits.patience_s = 5;
  std::vector<Mutation> all = {
      of("run-1", Make(Kind::kDone, 0, 1, "vm-1")), of("run-3", Make(Kind::kPlace, 0, 1, "vm-2")),
      of("run-2", Make(Kind::kDone, 0, 1, "vm-1")), of("run-4", Make(Kind::kPlace, 0, 1, "vm-3"))};
  auto ranks = [&] {
    std::vector<Rank> out;
    for (const auto& t : BuildTxns(ledger, all, limits, NoStamp)) out.push_back(t.rank);
    return out;
  };
  EXPECT_EQ(ranks(), (std::vector<Rank>{Rank::kUrgentStart, Rank::kEnd, Rank::kStart}));
  all[0].age_s = 6;
  all.erase(all.begin() + 1);
  EXPECT_EQ(ranks().back(), Rank::kStart);
}

TEST(Batch, APlacementIsGuardedByBlockJobAndShard) {
  Ledger ledger(64);
  PutJob(ledger, Spec("run-1", 4));
  auto txns = BuildTxns(ledger, {Make(Kind::kPlace, 2, 1, "vm-1")}, kLimits,
                        [](const std::string& key) { return key.size(); });
  ASSERT_EQ(txns.size(), 1U);
  std::map<std::string, uint64_t> guards;
  for (const auto& g : txns[0].guards) guards[g.key] = g.version;
  const std::string job = store::JobKey("run-1"), shard = store::ShardKey("run-1", 0);
  EXPECT_EQ(guards, (std::map<std::string, uint64_t>{
                        {"block", 5}, {job, job.size()}, {shard, shard.size()}}));
  EXPECT_EQ(txns[0].machines, std::vector<std::string>{"vm-1"});
}

TEST(Batch, CancelledJobsGetNoPlacement) {
  Ledger ledger(64);
  PutJob(ledger, Spec("run-1", 4), 1, true);
  Place(ledger, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(BuildTxns(ledger, {Make(Kind::kPlace, 2, 1, "vm-1")}, kLimits, NoStamp).empty());
}

TEST(Batch, AnOutcomeOfAnotherAttemptIsLeftOut) {
  Ledger ledger(64);
  PutJob(ledger, Spec("run-1", 4));
  Place(ledger, "run-1", 0, 2, "vm-1");
  EXPECT_TRUE(BuildTxns(ledger, {Make(Kind::kDone, 0, 1, "vm-1")}, kLimits, NoStamp).empty());
  EXPECT_TRUE(BuildTxns(ledger, {Make(Kind::kDone, 0, 2, "vm-2")}, kLimits, NoStamp).empty());
}

TEST(Batch, TheLastTaskMakesTheJobFinalInTheSameTransaction) {
  Ledger ledger(64);
  PutJob(ledger, Spec("run-1", 2));
  store::Shard shard;
  shard.done.Insert(0);
  shard.open[1] = {1, "vm-1"};
  PutShard(ledger, "run-1", 0, shard);
  auto txns = BuildTxns(ledger, {Make(Kind::kDone, 1, 1, "vm-1")}, kLimits, NoStamp);
  ASSERT_EQ(txns.size(), 1U);
  std::map<std::string, std::string> writes;
  for (const auto& w : txns[0].writes) writes[w.key] = w.value;
  ASSERT_EQ(writes.size(), 3U);
  auto final_record = store::ReadFinal(writes[store::FinalKey("run-1")]);
  ASSERT_TRUE(final_record);
  EXPECT_EQ(final_record->phase, wire::Phase::kDone);
  EXPECT_EQ(final_record->done, 2U);
  EXPECT_EQ(writes[store::JobKey("run-1")], "");
  EXPECT_EQ(writes[store::ShardKey("run-1", 0)], "");
}

TEST(Batch, ACancelledJobIsFinalOnlyOnceNothingIsPlaced) {
  Ledger ledger(64);
  PutJob(ledger, Spec("run-1", 2), 1, true);
  Place(ledger, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(BuildTxns(ledger, {}, kLimits, NoStamp).empty());
  auto txns = BuildTxns(ledger, {Make(Kind::kRequeue, 0, 1, "vm-1")}, kLimits, NoStamp);
  ASSERT_EQ(txns.size(), 1U);
  auto final_record = store::ReadFinal(txns[0].writes[0].value);
  ASSERT_TRUE(final_record);
  EXPECT_EQ(final_record->phase, wire::Phase::kCancelled);
}

TEST(Batch, TransactionsStayWithinTheLimits) {
  Ledger ledger(4);
  std::vector<Mutation> all;
  PutJob(ledger, Spec("run-1", 400));
  for (uint32_t i = 0; i < 400; ++i) all.push_back(Make(Kind::kPlace, i, 1, "vm-1"));
  auto txns = BuildTxns(ledger, all, kLimits, NoStamp);
  size_t writes = 0;
  for (const auto& t : txns) {
    EXPECT_LE(t.writes.size(), 8U);
    EXPECT_LE(t.guards.size(), 32U);
    EXPECT_EQ(t.guards[0].key, "block");
    writes += t.writes.size();
  }
  EXPECT_EQ(writes, 100U);
}

TEST(Ledger, ShardsWithoutTheirJobAreDroppedLater) {
  Ledger ledger(4);
  PutJob(ledger, Spec("run-1", 40));
  Place(ledger, "run-1", 9, 1, "");
  ledger.Apply(store::ParseKey(store::JobKey("run-1")), "");
  auto orphans = ledger.Leftovers();
  ASSERT_EQ(orphans.size(), 1U);
  EXPECT_EQ(orphans[0], store::ShardKey("run-1", 2));
  ledger.Apply(store::ParseKey(orphans[0]), "");
  EXPECT_TRUE(ledger.Leftovers().empty());
}

TEST(Ledger, HandsOutTasksInOrderWithGrowingAttempts) {
  Ledger ledger(4);
  PutJob(ledger, Spec("run-1", 10));
  store::Shard shard;
  shard.done.Insert(0);
  shard.open[1] = {1, "vm-1"};
  shard.open[2] = {5, ""};
  PutShard(ledger, "run-1", 0, shard);
  const Job& job = *ledger.Find("run-1");
  EXPECT_EQ(ledger.Waiting(job, 4), (std::vector<uint32_t>{2, 3, 4, 5}));
  EXPECT_EQ(ledger.NextAttempt(job, 2), 6U);
  EXPECT_EQ(ledger.NextAttempt(job, 9), 1U);
  EXPECT_EQ(job.waiting(), 8U);
}

TEST(Budget, KeepsAReserveForWhatIsUrgent) {
  store::Budget b(10, 1, 0.3);
  using store::Urgent;
  EXPECT_EQ(b.Take(0, 7, Urgent::kNo, 0), 0);
  EXPECT_LT(b.Take(0, 1, Urgent::kNo, 0), 0);
  EXPECT_EQ(b.Take(0, 3, Urgent::kYes, 0), 0);
  EXPECT_NEAR(b.Take(0, 1, Urgent::kYes, 1), 0.1, 1e-9);
  EXPECT_NEAR(b.Take(0.1, 2, Urgent::kNo, 1), 0.5, 1e-9);
}

}  // namespace
}  // namespace hallpier::jobs
