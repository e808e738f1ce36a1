// Jobs that await others: who may start, who is cancelled, who is urgent for whose sake.
#include <gtest/gtest.h>

#include <chrono>

#include "fixtures.h"
#include "jobs/transaction_builder.h"
#include "model/job.h"

namespace hallpier::jobs {
namespace {

using namespace testing_support;
using Kind = TaskTransition::Kind;

constexpr double kNever = std::numeric_limits<double>::infinity();

class DependencyGraphTest : public testing::Test {
 protected:
  DependencyGraphTest() : job_table_(64) {}

  static model::JobSpec Awaiting(const std::string& id, std::vector<std::string> dependencies) {
    model::JobSpec s = Spec(id, 2);
    s.dependencies = std::move(dependencies);
    return s;
  }
  void Put(const std::string& id, std::vector<std::string> dependencies, double at = 1) {
    PutJob(job_table_, Awaiting(id, std::move(dependencies)), at);
  }
  void Cancel(const std::string& id) {
    PutJob(job_table_, job_table_.Find(id)->spec, job_table_.Find(id)->submitted, true);
  }
  void Drop(const std::string& id) { job_table_.Apply(store::ParseKey(store::JobKey(id)), ""); }
  // As the leader records it: the end is known when the record goes.
  void End(const std::string& id, model::JobPhase phase, double at = 50) {
    job_table_.SetFinalRecord(id, {phase, 2, at});
    Drop(id);
  }
  const Job& Get(const std::string& id) { return *job_table_.Find(id); }
  bool Places(const std::string& id) {
    TaskTransition m;
    m.task = {id, 0};
    m.attempt = 1;
    m.machine = "vm-1";
    return !BuildTransactions(job_table_, {m}, limits_, [](const std::string&) {
              return 0;
            }).empty();
  }
  // Ids of the jobs that a round makes final, in the order of the writes.
  std::vector<std::string> Ends() {
    std::vector<std::string> out;
    for (const auto& t :
         BuildTransactions(job_table_, {}, limits_, [](const std::string&) { return 0; })) {
      for (const auto& w : t.writes) {
        const auto key = store::ParseKey(w.key);
        if (const auto* name = std::get_if<store::FinalKeyName>(&key)) out.push_back(name->job);
      }
    }
    return out;
  }

  JobTable job_table_;
  TransactionLimits limits_ = {4, {{"block", 5}}, 0, 0, true, 100};
};

TEST_F(DependencyGraphTest, NothingStartsBeforeAllAwaitedAreRecordedAsDone) {
  Put("run-1", {});
  Put("run-2", {});
  Put("run-3", {"run-1", "run-2"}, 10);
  EXPECT_TRUE(Get("run-3").blocked);
  End("run-1", model::JobPhase::kDone, 50);
  EXPECT_TRUE(Get("run-3").blocked);
  EXPECT_FALSE(Places("run-3")) << "whoever asked for it";
  End("run-2", model::JobPhase::kDone, 40);
  EXPECT_FALSE(Get("run-3").blocked);
  EXPECT_EQ(Get("run-3").runnable_since, 50) << "the last awaited one's end";
  EXPECT_TRUE(Places("run-3"));
}

// Another node's end of a job is seen as its record going: how it ended is not in the warm copy.
TEST_F(DependencyGraphTest, AnEndThatCanNotBeReadHoldsTheJob) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  Drop("run-1");
  EXPECT_TRUE(Get("run-2").blocked);
  EXPECT_EQ(job_table_.dependency_graph().unresolved(), std::set<std::string>{"run-1"});
  EXPECT_FALSE(Places("run-2"));
  job_table_.SetFinalRecord("run-1", {model::JobPhase::kDone, 2, 0});
  EXPECT_FALSE(Get("run-2").blocked);
  EXPECT_EQ(Get("run-2").runnable_since, 1) << "an end without a time was before the submission";
  EXPECT_TRUE(job_table_.dependency_graph().unresolved().empty());
  Drop("run-2");
  EXPECT_EQ(job_table_.dependency_graph().FindFinalRecord("run-1"), nullptr)
      << "kept for as long as it is awaited";
}

TEST_F(DependencyGraphTest, RecordsMayComeInAnyOrder) {
  Put("run-3", {"run-2"});
  EXPECT_TRUE(Get("run-3").blocked);
  model::JobSpec two = Awaiting("run-2", {"run-1"});
  PutJob(job_table_, two);
  EXPECT_EQ(job_table_.dependency_graph().unresolved(), std::set<std::string>{"run-1"});
  PutJob(job_table_, Spec("run-1", 2), 1, true);
  EXPECT_TRUE(Get("run-2").cancelled);
  EXPECT_TRUE(Get("run-3").cancelled);
}

TEST_F(DependencyGraphTest, ACancellationReachesAllDownstream) {
  Put("run-1", {});
  Put("run-2", {});
  Put("run-3", {"run-1"});
  Put("run-4", {"run-1", "run-2"});
  Put("run-5", {"run-3", "run-4"});
  Put("run-6", {"run-2"});
  Cancel("run-1");
  for (const char* id : {"run-3", "run-4", "run-5"}) {
    EXPECT_EQ(Get(id).Status().phase, model::JobPhase::kCancelled) << id;
  }
  EXPECT_FALSE(Get("run-2").cancelled);
  EXPECT_FALSE(Get("run-6").cancelled);
  Put("run-7", {"run-5"});
  EXPECT_TRUE(Get("run-7").cancelled) << "one that comes afterwards as well";
}

// Were a cancelled job's record to go while one that awaits it stands, a new leader would have to
// find out from final records what is cancelled: so they end from the last one on.
TEST_F(DependencyGraphTest, WhatAwaitsACancelledJobIsFinalBeforeIt) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  Put("run-3", {"run-1", "run-2"});
  Cancel("run-1");
  EXPECT_EQ(Ends(), (std::vector<std::string>{"run-3", "run-2", "run-1"}));
  // A job that was cancelled while its tasks run takes its time; those after it are final already.
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
  EXPECT_EQ(Ends(), (std::vector<std::string>{"run-3", "run-2"}));
  // Halfway along, with another leader: the rest of the way is not lost.
  Drop("run-3");
  EXPECT_EQ(Ends(), std::vector<std::string>{"run-2"});
}

// It was submitted at a node that had not heard of the cancellation, and the leader had not heard
// of it: only the final record tells.
TEST_F(DependencyGraphTest, AFinalRecordCancelsAsWell) {
  Put("run-2", {"run-1"});
  Put("run-3", {"run-2"});
  EXPECT_FALSE(Get("run-3").cancelled);
  job_table_.SetFinalRecord("run-1", {model::JobPhase::kCancelled, 0, 50});
  EXPECT_TRUE(Get("run-3").cancelled);
  EXPECT_EQ(Ends(), (std::vector<std::string>{"run-3", "run-2"}));
}

TEST_F(DependencyGraphTest, DoneStaysDoneForThoseThatCome) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  End("run-1", model::JobPhase::kDone);
  // Whatever may still be told of it late.
  job_table_.SetFinalRecord("run-1", {model::JobPhase::kCancelled, 0, 60});
  EXPECT_FALSE(Get("run-2").cancelled);
  EXPECT_FALSE(Get("run-2").blocked);
}

TEST_F(DependencyGraphTest, AJobIsAsUrgentAsWhatNeedsIt) {
  model::JobSpec last = Awaiting("run-4", {"run-2", "run-3"});
  last.priority = model::Priority::kUrgent;
  last.deadline_s = 200;
  model::JobSpec three = Awaiting("run-3", {"run-1"});
  three.estimated_run_s = 40;
  Put("run-1", {});
  Put("run-2", {"run-1"});
  PutJob(job_table_, three);
  EXPECT_EQ(Get("run-1").priority, model::Priority::kNormal);
  EXPECT_EQ(Get("run-1").deadline, kNever) << "until the last is there";
  PutJob(job_table_, last, 10);
  for (const char* id : {"run-1", "run-2", "run-3"}) {
    EXPECT_EQ(Get(id).priority, model::Priority::kUrgent) << id;
  }
  EXPECT_EQ(Get("run-4").deadline, 210);
  EXPECT_EQ(Get("run-3").deadline, 200) << "less the run time of the last";
  EXPECT_EQ(Get("run-1").deadline, 160) << "by the longest way";
  EXPECT_EQ(Get("run-4").runnable_since, 10)
      << "its deadline counts from the submission all the same";
  Cancel("run-3");
  EXPECT_EQ(Get("run-1").priority, model::Priority::kNormal) << "nothing urgent is left after it";
  EXPECT_EQ(Get("run-1").deadline, kNever);
}

TEST_F(DependencyGraphTest, OfSeveralThatNeedItTheNearestCounts) {
  Put("run-1", {});
  for (int i = 2; i < 6; ++i) {
    model::JobSpec s = Awaiting("run-" + std::to_string(i), {"run-1"});
    s.deadline_s = 100.0 * i;
    PutJob(job_table_, s, 0);
  }
  EXPECT_EQ(Get("run-1").deadline, 190);
  Cancel("run-2");
  EXPECT_EQ(Get("run-1").deadline, 290);
}

// Deep chains and wide fans: a change touches what it concerns, and nothing recurses.
TEST_F(DependencyGraphTest, ThousandsOfWaitingJobsStayCheap) {
  constexpr int kJobs = 6000;
  const auto begin = std::chrono::steady_clock::now();
  auto name = [](int i) { return "run-" + std::to_string(i); };
  Put(name(0), {});
  for (int i = 1; i < kJobs; ++i) {
    model::JobSpec s = Awaiting(name(i), {name(i <= kJobs / 2 ? i - 1 : 0)});
    PutJob(job_table_, s);
  }
  model::JobSpec urgent = Awaiting("run-99999", {name(kJobs / 2)});
  urgent.priority = model::Priority::kProd;
  urgent.deadline_s = 1e6;
  PutJob(job_table_, urgent);
  EXPECT_EQ(Get(name(0)).priority, model::Priority::kProd);
  const int jobs_between = kJobs / 2 + 1;
  EXPECT_EQ(Get(name(0)).deadline, 1 + 1e6 - 10 * jobs_between);
  Cancel(name(0));
  EXPECT_TRUE(Get("run-99999").cancelled);
  EXPECT_EQ(Ends().size(), kJobs + 1U);
  EXPECT_EQ(Ends().back(), name(0));
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  // Quadratic work would take minutes; this allows for sanitizers on a busy machine.
  EXPECT_LT(took.count(), 30);
}

// A swarm of jobs that are cancelled with another must not keep starts from the budget: every node
// says already that they are cancelled. What the user cancelled himself is recorded as before.
TEST_F(DependencyGraphTest, CancelledSwarmsAreWrittenLast) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  Put("run-3", {});
  Put("run-4", {});
  Cancel("run-1");
  Cancel("run-3");
  TaskTransition m;
  m.task = {"run-4", 0};
  m.attempt = 1;
  m.machine = "vm-1";
  std::vector<std::string> order;
  for (const auto& t :
       BuildTransactions(job_table_, {m}, limits_, [](const std::string&) { return 0; })) {
    for (const auto& w : t.writes) {
      const auto key = store::ParseKey(w.key);
      if (const auto* name = std::get_if<store::FinalKeyName>(&key)) order.push_back(name->job);
      if (const auto* name = std::get_if<store::TaskGroupKeyName>(&key)) order.push_back(name->job);
    }
  }
  EXPECT_EQ(order, (std::vector<std::string>{"run-3", "run-4", "run-2", "run-1"}));
  // Before the ends of single tasks all the same: on a busy day these would never end.
  EXPECT_LT(WritePriority::kCleanup, WritePriority::kTaskEnd);
  EXPECT_GT(WritePriority::kCleanup, WritePriority::kPlacement);
}

}  // namespace
}  // namespace hallpier::jobs
