// Jobs that await others: readiness, and propagation of cancellation, priority and deadline.
#include <gtest/gtest.h>

#include <chrono>

#include "fixtures.h"
#include "jobs/transaction_builder.h"
#include "model/job.h"

namespace hallpier::jobs {
namespace {

using namespace testing_support;
using Kind = TaskTransition::Kind;

constexpr double kNoDeadline = std::numeric_limits<double>::infinity();

class DependencyGraphTest : public testing::Test {
 protected:
  DependencyGraphTest() : job_table_(64) {}

  static model::JobSpec SpecAwaiting(const std::string& id, std::vector<std::string> dependencies) {
    model::JobSpec s = Spec(id, 2);
    s.dependencies = std::move(dependencies);
    return s;
  }
  void Put(const std::string& id, std::vector<std::string> dependencies, double at = 1) {
    PutJob(job_table_, SpecAwaiting(id, std::move(dependencies)), at);
  }
  void Cancel(const std::string& id) {
    PutJob(job_table_, job_table_.Find(id)->spec, job_table_.Find(id)->submitted_at, true);
  }
  void DeleteRecord(const std::string& id) {
    job_table_.Apply(store::ParseKey(store::JobKey(id)), "");
  }
  // Ends the job as the leader does: sets the final record, then deletes the job's record.
  void End(const std::string& id, model::JobPhase phase, double at = 50) {
    job_table_.SetFinalRecord(id, {phase, 2, at});
    DeleteRecord(id);
  }
  const Job& Get(const std::string& id) { return *job_table_.Find(id); }
  bool IsPlacementWritten(const std::string& id) {
    TaskTransition transition;
    transition.task = {id, 0};
    transition.attempt = 1;
    transition.machine = "vm-1";
    return !BuildTransactions(job_table_, {transition}, limits_, [](const std::string&) {
              return 0;
            }).empty();
  }
  // Returns the ids of the jobs that a round makes final, in the order of the writes.
  std::vector<std::string> FinalJobIds() {
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

TEST_F(DependencyGraphTest, JobIsBlockedUntilAllAwaitedJobsAreDone) {
  Put("run-1", {});
  Put("run-2", {});
  Put("run-3", {"run-1", "run-2"}, 10);
  EXPECT_TRUE(Get("run-3").blocked);
  End("run-1", model::JobPhase::kDone, 50);
  EXPECT_TRUE(Get("run-3").blocked);
  EXPECT_FALSE(IsPlacementWritten("run-3")) << "a requested placement must be skipped";
  End("run-2", model::JobPhase::kDone, 40);
  EXPECT_FALSE(Get("run-3").blocked);
  EXPECT_EQ(Get("run-3").runnable_since, 50) << "the latest end of an awaited job";
  EXPECT_TRUE(IsPlacementWritten("run-3"));
}

// When another node ends a job, this node sees only the deletion of the job's record. The final
// record is not in the watch cache, so a dependent must stay blocked until the final record is
// read.
TEST_F(DependencyGraphTest, UnknownOutcomeOfAwaitedJobBlocksDependent) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  DeleteRecord("run-1");
  EXPECT_TRUE(Get("run-2").blocked);
  EXPECT_EQ(job_table_.dependency_graph().unresolved(), std::set<std::string>{"run-1"});
  EXPECT_FALSE(IsPlacementWritten("run-2"));
  job_table_.SetFinalRecord("run-1", {model::JobPhase::kDone, 2, 0});
  EXPECT_FALSE(Get("run-2").blocked);
  EXPECT_EQ(Get("run-2").runnable_since, 1)
      << "an end without a time counts as before the submission";
  EXPECT_TRUE(job_table_.dependency_graph().unresolved().empty());
  DeleteRecord("run-2");
  EXPECT_EQ(job_table_.dependency_graph().FindFinalRecord("run-1"), nullptr)
      << "kept only while a job awaits it";
}

TEST_F(DependencyGraphTest, OrderOfRecordsDoesNotMatter) {
  Put("run-3", {"run-2"});
  EXPECT_TRUE(Get("run-3").blocked);
  model::JobSpec second_job = SpecAwaiting("run-2", {"run-1"});
  PutJob(job_table_, second_job);
  EXPECT_EQ(job_table_.dependency_graph().unresolved(), std::set<std::string>{"run-1"});
  PutJob(job_table_, Spec("run-1", 2), 1, true);
  EXPECT_TRUE(Get("run-2").cancelled);
  EXPECT_TRUE(Get("run-3").cancelled);
}

TEST_F(DependencyGraphTest, CancellationReachesAllDependents) {
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
  EXPECT_TRUE(Get("run-7").cancelled) << "also a dependent that is submitted afterwards";
}

// Guards against the deletion of a cancelled job's record while a dependent is unfinished: a new
// leader would have to find out from final records which jobs are cancelled. So jobs become final
// from the last dependent backwards.
TEST_F(DependencyGraphTest, DependentsOfCancelledJobBecomeFinalBeforeIt) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  Put("run-3", {"run-1", "run-2"});
  Cancel("run-1");
  EXPECT_EQ(FinalJobIds(), (std::vector<std::string>{"run-3", "run-2", "run-1"}));
  // A job cancelled while its tasks run becomes final later. Its dependents become final at once.
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
  EXPECT_EQ(FinalJobIds(), (std::vector<std::string>{"run-3", "run-2"}));
  // A new leader continues a partly finished cancellation.
  DeleteRecord("run-3");
  EXPECT_EQ(FinalJobIds(), std::vector<std::string>{"run-2"});
}

// The dependent was submitted at a node that had not seen the cancellation, and the leader had not
// seen the dependent. Only the final record shows the cancellation.
TEST_F(DependencyGraphTest, CancelledFinalRecordCancelsDependents) {
  Put("run-2", {"run-1"});
  Put("run-3", {"run-2"});
  EXPECT_FALSE(Get("run-3").cancelled);
  job_table_.SetFinalRecord("run-1", {model::JobPhase::kCancelled, 0, 50});
  EXPECT_TRUE(Get("run-3").cancelled);
  EXPECT_EQ(FinalJobIds(), (std::vector<std::string>{"run-3", "run-2"}));
}

TEST_F(DependencyGraphTest, LateFinalRecordDoesNotChangeDoneJob) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  End("run-1", model::JobPhase::kDone);
  // A late final record that contradicts the first one.
  job_table_.SetFinalRecord("run-1", {model::JobPhase::kCancelled, 0, 60});
  EXPECT_FALSE(Get("run-2").cancelled);
  EXPECT_FALSE(Get("run-2").blocked);
}

TEST_F(DependencyGraphTest, AwaitedJobInheritsPriorityAndDeadlineOfDependents) {
  model::JobSpec last_job = SpecAwaiting("run-4", {"run-2", "run-3"});
  last_job.priority = model::Priority::kUrgent;
  last_job.deadline_s = 200;
  model::JobSpec third_job = SpecAwaiting("run-3", {"run-1"});
  third_job.estimated_run_s = 40;
  Put("run-1", {});
  Put("run-2", {"run-1"});
  PutJob(job_table_, third_job);
  EXPECT_EQ(Get("run-1").priority, model::Priority::kNormal);
  EXPECT_EQ(Get("run-1").deadline, kNoDeadline) << "before the last job is submitted";
  PutJob(job_table_, last_job, 10);
  for (const char* id : {"run-1", "run-2", "run-3"}) {
    EXPECT_EQ(Get(id).priority, model::Priority::kUrgent) << id;
  }
  EXPECT_EQ(Get("run-4").deadline, 210);
  EXPECT_EQ(Get("run-3").deadline, 200) << "minus the run time of the last job";
  EXPECT_EQ(Get("run-1").deadline, 160) << "along the longest path";
  EXPECT_EQ(Get("run-4").runnable_since, 10) << "its deadline counts from the submission";
  Cancel("run-3");
  EXPECT_EQ(Get("run-1").priority, model::Priority::kNormal) << "no urgent dependent is left";
  EXPECT_EQ(Get("run-1").deadline, kNoDeadline);
}

TEST_F(DependencyGraphTest, EarliestDeadlineOfSeveralDependentsCounts) {
  Put("run-1", {});
  for (int i = 2; i < 6; ++i) {
    model::JobSpec s = SpecAwaiting("run-" + std::to_string(i), {"run-1"});
    s.deadline_s = 100.0 * i;
    PutJob(job_table_, s, 0);
  }
  EXPECT_EQ(Get("run-1").deadline, 190);
  Cancel("run-2");
  EXPECT_EQ(Get("run-1").deadline, 290);
}

// Guards against quadratic work and recursion in deep chains and with many dependents of one job: a
// change updates only the jobs that it affects.
TEST_F(DependencyGraphTest, UpdatesThousandsOfDependentsWithoutQuadraticWork) {
  constexpr int kJobs = 6000;
  const auto begin = std::chrono::steady_clock::now();
  auto name = [](int i) { return "run-" + std::to_string(i); };
  Put(name(0), {});
  for (int i = 1; i < kJobs; ++i) {
    model::JobSpec s = SpecAwaiting(name(i), {name(i <= kJobs / 2 ? i - 1 : 0)});
    PutJob(job_table_, s);
  }
  model::JobSpec urgent = SpecAwaiting("run-99999", {name(kJobs / 2)});
  urgent.priority = model::Priority::kProd;
  urgent.deadline_s = 1e6;
  PutJob(job_table_, urgent);
  EXPECT_EQ(Get(name(0)).priority, model::Priority::kProd);
  const int jobs_between = kJobs / 2 + 1;
  EXPECT_EQ(Get(name(0)).deadline, 1 + 1e6 - 10 * jobs_between);
  Cancel(name(0));
  EXPECT_TRUE(Get("run-99999").cancelled);
  EXPECT_EQ(FinalJobIds().size(), kJobs + 1U);
  EXPECT_EQ(FinalJobIds().back(), name(0));
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  // Quadratic work would take minutes; this allows for sanitizers on a busy machine.
  EXPECT_LT(elapsed.count(), 30);
}

// Guards against the hang of all controllers that review/1 shows: the deadline of a pipeline's last
// job was passed up along each path, and taken back in the same way. The first took 2^stages steps
// if the longer of two parallel jobs has the smaller id, the second if it has the larger id. More
// in dependency_urgency_test.cc.
TEST_F(DependencyGraphTest, DeadlineOfBranchingPipelineTakesLinearTime) {
  constexpr int kStages = 26;
  const auto begin = std::chrono::steady_clock::now();
  for (const int longer : {0, 1}) {
    auto name = [&](int i) { return "run-" + std::to_string(1000 * (longer + 1) + i); };
    Put(name(0), {});
    for (int stage = 0; stage < kStages; ++stage) {
      const int first = 3 * stage + 1;
      for (const int parallel : {0, 1}) {
        model::JobSpec job = SpecAwaiting(name(first + parallel), {name(first - 1)});
        if (parallel == longer) job.estimated_run_s += 1e-6 * (1 << stage);
        PutJob(job_table_, job);
      }
      model::JobSpec join = SpecAwaiting(name(first + 2), {name(first), name(first + 1)});
      if (stage == kStages - 1) join.deadline_s = 7200;
      PutJob(job_table_, join);
    }
    EXPECT_LT(Get(name(0)).deadline, 7200 - 20.0 * kStages);
    Cancel(name(3 * kStages));
    EXPECT_EQ(Get(name(0)).deadline, kNoDeadline);
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  // A step for each of the 2^26 paths takes longer even without sanitizers.
  EXPECT_LT(elapsed.count(), 5);
}

// Guards against cancelled dependents that use up the write budget and so delay placements. Many
// jobs may be cancelled with the job that they await. Their final records can wait, since every
// node already reports them as cancelled. Jobs that a user cancelled directly are recorded as
// before.
TEST_F(DependencyGraphTest, CancelledDependentsAreWrittenAfterPlacements) {
  Put("run-1", {});
  Put("run-2", {"run-1"});
  Put("run-3", {});
  Put("run-4", {});
  Cancel("run-1");
  Cancel("run-3");
  TaskTransition transition;
  transition.task = {"run-4", 0};
  transition.attempt = 1;
  transition.machine = "vm-1";
  std::vector<std::string> order;
  for (const auto& t :
       BuildTransactions(job_table_, {transition}, limits_, [](const std::string&) { return 0; })) {
    for (const auto& w : t.writes) {
      const auto key = store::ParseKey(w.key);
      if (const auto* name = std::get_if<store::FinalKeyName>(&key)) order.push_back(name->job);
      if (const auto* name = std::get_if<store::TaskGroupKeyName>(&key)) order.push_back(name->job);
    }
  }
  EXPECT_EQ(order, (std::vector<std::string>{"run-3", "run-4", "run-2", "run-1"}));
  // They are still written before the ends of single tasks: otherwise, under load, these jobs
  // would never end.
  EXPECT_LT(WritePriority::kCleanup, WritePriority::kTaskEnd);
  EXPECT_GT(WritePriority::kCleanup, WritePriority::kPlacement);
}

}  // namespace
}  // namespace hallpier::jobs
