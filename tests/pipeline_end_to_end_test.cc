// Tests job dependencies with complete controllers: no job starts before the jobs that it awaits
// are done, and a cancellation reaches all dependents.
#include "end_to_end.h"
#include "model/job.h"
#include "model/task.h"

namespace hallpier {
namespace {

using namespace testing_support;

constexpr const char* kDone = R"("phase":"done")";

class PipelineTest : public EndToEndTest {
 public:
  template <class... Ids>
  static model::JobSpec SpecAwaiting(const std::string& id, uint32_t tasks, Ids... dependencies) {
    model::JobSpec s = Spec(id, tasks);
    s.dependencies = {dependencies...};
    return s;
  }
  async::Task<> Submit(int node, model::JobSpec spec) {
    bool ok =
        co_await AskUntil(node, "POST", "/submissions", SubmissionBody(spec), 201, "pending", 10);
    EXPECT_TRUE(ok) << spec.id;
  }
  async::Task<> ExpectAnswer(int node, std::string id, std::string text, double limit_s = 20) {
    bool ok = co_await AskUntil(node, "GET", "/submissions/" + id, "", 200, text, limit_s);
    EXPECT_TRUE(ok) << id << " " << text;
  }
  // Records each task that starts before all jobs that its job awaits are recorded as done.
  void CheckStartOrder() {
    cloud_->SetStartHook([this](const model::TaskId& task) {
      ++starts_by_job_[task.job];
      for (const std::string& awaited : awaits_by_job_[task.job]) {
        if (state_->Value(store::FinalKey(awaited)).find("done\"") == std::string::npos) {
          early_starts_.push_back(model::TaskName(task) + " before " + awaited);
        }
      }
    });
  }
  void RememberDependencies(const model::JobSpec& spec) {
    awaits_by_job_[spec.id] = spec.dependencies;
  }

  // Submits a diamond of dependencies with one more job at its end through all nodes, then restarts
  // nodes while the jobs run.
  async::Task<> DiamondDuringRestarts() {
    for (const auto& spec :
         {SpecAwaiting("run-1", 4), SpecAwaiting("run-2", 6, "run-1"),
          SpecAwaiting("run-3", 4, "run-1", "run-1"), SpecAwaiting("run-4", 4, "run-2", "run-3"),
          SpecAwaiting("run-5", 4, "run-4")}) {
      RememberDependencies(spec);
      co_await Submit(static_cast<int>(awaits_by_job_.size()) % 3, spec);
    }
    for (int node : {0, 1, 2, 0, 1}) {
      co_await Restart(node, 3);
      co_await Pause(0.25);
    }
    co_await ExpectAnswer(2, "run-5", R"("done","done":4)", 60);
    // Submits a job long after the jobs that it awaits are done, and repeats the submission.
    const model::JobSpec late = SpecAwaiting("run-6", 4, "run-1", "run-5");
    RememberDependencies(late);
    co_await Submit(1, late);
    co_await ExpectAnswer(0, "run-6", kDone);
    wire::HttpResponse r = co_await Ask(2, "POST", "/submissions", SubmissionBody(late));
    EXPECT_EQ(r.status, 200);
    EXPECT_NE(r.body.find(kDone), std::string::npos);
    EXPECT_EQ(early_starts_, std::vector<std::string>());
    EXPECT_EQ(cloud_->duplicate_starts(), 0);
  }

  async::Task<> CancelFirstJob() {
    model::JobSpec other = SpecAwaiting("run-3", 4, "run-1");
    other.team = "other";
    for (const auto& spec :
         {SpecAwaiting("run-1", 30), SpecAwaiting("run-2", 4), SpecAwaiting("run-4", 4, "run-3"),
          other, SpecAwaiting("run-5", 4, "run-2", "run-4")}) {
      if (spec.id == "run-4") co_await Submit(1, other);
      if (spec.id == "run-3") continue;
      co_await Submit(static_cast<int>(spec.tasks) % 3, spec);
    }
    co_await ExpectAnswer(0, "run-1", "running");
    wire::HttpResponse r = co_await Ask(0, "POST", "/submissions/run-1/withdraw");
    EXPECT_EQ(r.status, 200);
    // Every node reports the dependents as cancelled at once, regardless of what the leader has
    // written so far, also during failovers.
    for (int round = 0; round < 2; ++round) {
      for (int node = 0; node < 3; ++node) {
        for (const char* id : {"run-3", "run-4", "run-5"}) {
          co_await ExpectAnswer(node, id, "cancelled", 2);
        }
      }
      if (round == 0) {
        ShutDownNode(0);
        co_await Pause(0.05);
        StartNodes(0, 1, 3);
      }
    }
    // A new job that awaits a cancelled one is accepted and counts as cancelled. Its repeated
    // submission is answered the same way.
    const model::JobSpec late = SpecAwaiting("run-6", 4, "run-4");
    co_await Submit(1, late);
    co_await ExpectAnswer(2, "run-6", "cancelled", 2);
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(late));
    EXPECT_EQ(r.status, 200);
    EXPECT_NE(r.body.find("cancelled"), std::string::npos);
    r = co_await Ask(2, "POST", "/submissions/run-5/withdraw");
    EXPECT_NE(r.body.find("cancelled"), std::string::npos);
    // The leader records the final state of all of them, dependents first.
    const double end = loop_.Now() + 20;
    auto recorded = [&](const char* id) {
      return state_->Value(store::FinalKey(id)).find("cancelled") != std::string::npos;
    };
    while (!recorded("run-1") && loop_.Now() < end) co_await Pause(0.05);
    for (const char* id : {"run-1", "run-3", "run-4", "run-5"}) EXPECT_TRUE(recorded(id)) << id;
    co_await ExpectAnswer(1, "run-2", kDone);
    EXPECT_EQ(starts_by_job_.count("run-3") + starts_by_job_.count("run-4") +
                  starts_by_job_.count("run-5"),
              0U);
    // Withdrawing a job that was reported as done has no effect on its dependents.
    r = co_await Ask(0, "POST", "/submissions/run-2/withdraw");
    EXPECT_NE(r.body.find(kDone), std::string::npos);
    co_await Submit(0, SpecAwaiting("run-7", 4, "run-2"));
    co_await ExpectAnswer(1, "run-7", kDone);
  }

  async::Task<> SubmitInvalidDependencies() {
    co_await Submit(0, SpecAwaiting("run-1", 2));
    model::JobSpec service = SpecAwaiting("run-2", 1);
    service.kind = model::JobKind::kService;
    co_await Submit(1, service);
    // A job that another node has just accepted is known to every node.
    for (int i = 0; i < 5; ++i) {
      const std::string id = "run-" + std::to_string(100 + i);
      co_await Submit(i % 3, SpecAwaiting(id, 1));
      co_await Submit((i + 1) % 3, SpecAwaiting("run-" + std::to_string(200 + i), 1, id));
    }
    wire::HttpResponse r = co_await Ask(
        0, "POST", "/submissions", SubmissionBody(SpecAwaiting("run-9", 4, "run-1", "run-77")));
    EXPECT_EQ(r.status, 422);
    EXPECT_NE(r.body.find("\"field\":\"awaits\""), std::string::npos) << r.body;
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(SpecAwaiting("run-9", 4, "run-9")));
    EXPECT_EQ(r.status, 422) << "a job cannot await itself";
    r = co_await Ask(2, "POST", "/submissions", SubmissionBody(SpecAwaiting("run-9", 4, "run-2")));
    EXPECT_EQ(r.status, 422) << "a service never ends";
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(SpecAwaiting("run-9", 4, "job-1")));
    EXPECT_EQ(r.status, 400);
    std::vector<std::string> ids;
    ids.reserve(2000);
    for (int i = 0; i < 2000; ++i) ids.push_back("run-" + std::to_string(10000 + i));
    model::JobSpec too_many = Spec("run-9", 1);
    too_many.dependencies = ids;
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(too_many));
    EXPECT_EQ(r.status, 400) << "more jobs than a record can hold";
    // During an outage the node cannot know the awaited job, so it must not reject the submission.
    state_->SetOutage(true);
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(SpecAwaiting("run-9", 4, "run-77")));
    EXPECT_EQ(r.status, 503);
    EXPECT_GT(r.retry_after_s, 0);
    state_->SetOutage(false);
    bool ok =
        co_await AskUntil(0, "POST", "/submissions",
                          SubmissionBody(SpecAwaiting("run-9", 4, "run-77")), 422, "run-77", 10);
    EXPECT_TRUE(ok);
  }

  // A job waits for its dependency during an outage of the state service and while the service
  // refuses requests of the leader only.
  async::Task<> DependencyDuringOutage() {
    co_await Submit(0, SpecAwaiting("run-1", 8));
    const model::JobSpec next = SpecAwaiting("run-2", 4, "run-1");
    RememberDependencies(next);
    co_await Submit(0, next);
    co_await ExpectAnswer(0, "run-1", "running");
    state_->SetOutage(true);
    co_await Pause(1);
    state_->SetOutage(false);
    state_->CutSecondary(true);
    co_await Pause(0.5);
    state_->CutSecondary(false);
    co_await ExpectAnswer(0, "run-2", kDone, 30);
    EXPECT_EQ(early_starts_, std::vector<std::string>());
    EXPECT_EQ(cloud_->duplicate_starts(), 0);
  }

 protected:
  std::map<std::string, std::vector<std::string>> awaits_by_job_;
  std::map<std::string, int> starts_by_job_;
  std::vector<std::string> early_starts_;
};

TEST_F(PipelineTest, JobsStartOnlyAfterTheJobsTheyAwait) {
  Start(3);
  CheckStartOrder();
  Run(DiamondDuringRestarts());
}

class PipelineCancellationTest : public PipelineTest {
 public:
  PipelineCancellationTest() { run_s_ = 2; }
};

TEST_F(PipelineCancellationTest, EveryNodeReportsAllDependentsAsCancelled) {
  Start(3);
  CheckStartOrder();
  Run(CancelFirstJob());
}

TEST_F(PipelineTest, OnlyInvalidDependenciesAreRejected) {
  Start(3);
  Run(SubmitInvalidDependencies());
}

class PipelineOutageTest : public PipelineTest {
 public:
  PipelineOutageTest() { partitioned_node_ = 0; }
};

TEST_F(PipelineOutageTest, WaitingJobIsReleasedAfterTheOutage) {
  Start(3);
  CheckStartOrder();
  Run(DependencyDuringOutage());
}

}  // namespace
}  // namespace hallpier
