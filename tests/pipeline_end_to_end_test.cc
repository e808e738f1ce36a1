// DependencyGraph on whole controllers: nothing starts too early, and no cancellation gets lost.
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
  static model::JobSpec After(const std::string& id, uint32_t tasks, Ids... dependencies) {
    model::JobSpec s = Spec(id, tasks);
    s.dependencies = {dependencies...};
    return s;
  }
  async::Task<> Accepted(int node, model::JobSpec spec) {
    bool ok =
        co_await AskUntil(node, "POST", "/submissions", SubmissionBody(spec), 201, "pending", 10);
    EXPECT_TRUE(ok) << spec.id;
  }
  async::Task<> Says(int node, std::string id, std::string what, double limit_s = 20) {
    bool ok = co_await AskUntil(node, "GET", "/submissions/" + id, "", 200, what, limit_s);
    EXPECT_TRUE(ok) << id << " " << what;
  }
  // Whoever starts must have all that it awaits recorded as done by then.
  void WatchStarts() {
    cloud_->WatchStarts([this](const model::TaskId& task) {
      ++starts_of_[task.job];
      for (const std::string& a : awaits_[task.job]) {
        if (state_->Value(store::FinalKey(a)).find("done\"") == std::string::npos) {
          too_early_.push_back(model::TaskName(task) + " before " + a);
        }
      }
    });
  }
  void Note(const model::JobSpec& spec) { awaits_[spec.id] = spec.dependencies; }

  // A diamond with a tail, through every node, while nodes are restarted.
  async::Task<> Chain() {
    for (const auto& spec :
         {After("run-1", 4), After("run-2", 6, "run-1"), After("run-3", 4, "run-1", "run-1"),
          After("run-4", 4, "run-2", "run-3"), After("run-5", 4, "run-4")}) {
      Note(spec);
      co_await Accepted(static_cast<int>(awaits_.size()) % 3, spec);
    }
    for (int node : {0, 1, 2, 0, 1}) {
      co_await Restart(node, 3);
      co_await Pause(0.25);
    }
    co_await Says(2, "run-5", R"("done","done":4)", 60);
    // One that comes when all it awaits is over long since, and a late copy of a submission.
    const model::JobSpec late = After("run-6", 4, "run-1", "run-5");
    Note(late);
    co_await Accepted(1, late);
    co_await Says(0, "run-6", kDone);
    wire::HttpResponse r = co_await Ask(2, "POST", "/submissions", SubmissionBody(late));
    EXPECT_EQ(r.status, 200);
    EXPECT_NE(r.body.find(kDone), std::string::npos);
    EXPECT_EQ(too_early_, std::vector<std::string>());
    EXPECT_EQ(cloud_->duplicate_starts(), 0);
  }

  async::Task<> Cancelled() {
    model::JobSpec other = After("run-3", 4, "run-1");
    other.team = "other";
    for (const auto& spec : {After("run-1", 30), After("run-2", 4), After("run-4", 4, "run-3"),
                             other, After("run-5", 4, "run-2", "run-4")}) {
      if (spec.id == "run-4") co_await Accepted(1, other);
      if (spec.id == "run-3") continue;
      co_await Accepted(static_cast<int>(spec.tasks) % 3, spec);
    }
    co_await Says(0, "run-1", "running");
    wire::HttpResponse r = co_await Ask(0, "POST", "/submissions/run-1/withdraw");
    EXPECT_EQ(r.status, 200);
    // Every node says so at once, whatever the leader has written by then, and through takeovers.
    for (int round = 0; round < 2; ++round) {
      for (int node = 0; node < 3; ++node) {
        for (const char* id : {"run-3", "run-4", "run-5"}) {
          co_await Says(node, id, "cancelled", 2);
        }
      }
      if (round == 0) {
        ShutDownNode(0);
        co_await Pause(0.05);
        StartNodes(0, 1, 3);
      }
    }
    // Accepted all the same, and cancelled with what it names; so is a copy of it that comes late.
    const model::JobSpec late = After("run-6", 4, "run-4");
    co_await Accepted(1, late);
    co_await Says(2, "run-6", "cancelled", 2);
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(late));
    EXPECT_EQ(r.status, 200);
    EXPECT_NE(r.body.find("cancelled"), std::string::npos);
    r = co_await Ask(2, "POST", "/submissions/run-5/withdraw");
    EXPECT_NE(r.body.find("cancelled"), std::string::npos);
    // The leader ends all of them, from the last on.
    const double end = loop_.Now() + 20;
    auto recorded = [&](const char* id) {
      return state_->Value(store::FinalKey(id)).find("cancelled") != std::string::npos;
    };
    while (!recorded("run-1") && loop_.Now() < end) co_await Pause(0.05);
    for (const char* id : {"run-1", "run-3", "run-4", "run-5"}) EXPECT_TRUE(recorded(id)) << id;
    co_await Says(1, "run-2", kDone);
    EXPECT_EQ(starts_of_.count("run-3") + starts_of_.count("run-4") + starts_of_.count("run-5"),
              0U);
    // Once it was told done, a withdrawal changes nothing for those after it.
    r = co_await Ask(0, "POST", "/submissions/run-2/withdraw");
    EXPECT_NE(r.body.find(kDone), std::string::npos);
    co_await Accepted(0, After("run-7", 4, "run-2"));
    co_await Says(1, "run-7", kDone);
  }

  async::Task<> Refused() {
    co_await Accepted(0, After("run-1", 2));
    model::JobSpec service = After("run-2", 1);
    service.kind = model::JobKind::kService;
    co_await Accepted(1, service);
    // Accepted by another node a moment ago: no node may deny it.
    for (int i = 0; i < 5; ++i) {
      const std::string id = "run-" + std::to_string(100 + i);
      co_await Accepted(i % 3, After(id, 1));
      co_await Accepted((i + 1) % 3, After("run-" + std::to_string(200 + i), 1, id));
    }
    wire::HttpResponse r = co_await Ask(0, "POST", "/submissions",
                                        SubmissionBody(After("run-9", 4, "run-1", "run-77")));
    EXPECT_EQ(r.status, 422);
    EXPECT_NE(r.body.find("\"field\":\"awaits\""), std::string::npos) << r.body;
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(After("run-9", 4, "run-9")));
    EXPECT_EQ(r.status, 422) << "nor can it await itself";
    r = co_await Ask(2, "POST", "/submissions", SubmissionBody(After("run-9", 4, "run-2")));
    EXPECT_EQ(r.status, 422) << "a service never ends";
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(After("run-9", 4, "job-1")));
    EXPECT_EQ(r.status, 400);
    std::vector<std::string> many;
    many.reserve(2000);
    for (int i = 0; i < 2000; ++i) many.push_back("run-" + std::to_string(10000 + i));
    model::JobSpec crowd = Spec("run-9", 1);
    crowd.dependencies = many;
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(crowd));
    EXPECT_EQ(r.status, 400) << "more than a record holds";
    // What can't be known now is no verdict.
    state_->SetOutage(true);
    r = co_await Ask(0, "POST", "/submissions", SubmissionBody(After("run-9", 4, "run-77")));
    EXPECT_EQ(r.status, 503);
    EXPECT_GT(r.retry_after_s, 0);
    state_->SetOutage(false);
    bool ok = co_await AskUntil(0, "POST", "/submissions",
                                SubmissionBody(After("run-9", 4, "run-77")), 422, "run-77", 10);
    EXPECT_TRUE(ok);
  }

  // A job waits to be released while the state service is out, and then refuses one node alone.
  async::Task<> ThroughAnOutage() {
    co_await Accepted(0, After("run-1", 8));
    const model::JobSpec next = After("run-2", 4, "run-1");
    Note(next);
    co_await Accepted(0, next);
    co_await Says(0, "run-1", "running");
    state_->SetOutage(true);
    co_await Pause(1);
    state_->SetOutage(false);
    state_->CutSecondary(true);
    co_await Pause(0.5);
    state_->CutSecondary(false);
    co_await Says(0, "run-2", kDone, 30);
    EXPECT_EQ(too_early_, std::vector<std::string>());
    EXPECT_EQ(cloud_->duplicate_starts(), 0);
  }

 protected:
  std::map<std::string, std::vector<std::string>> awaits_;
  std::map<std::string, int> starts_of_;
  std::vector<std::string> too_early_;
};

TEST_F(PipelineTest, EachStepWaitsForTheOneBefore) {
  Start(3);
  WatchStarts();
  Run(Chain());
}

class CancelledPipelineTest : public PipelineTest {
 public:
  CancelledPipelineTest() { run_s_ = 2; }
};

TEST_F(CancelledPipelineTest, ReachesEveryJobDownstreamOnEveryNode) {
  Start(3);
  WatchStarts();
  Run(Cancelled());
}

TEST_F(PipelineTest, WhatNamesNobodyIsRefusedAndNothingElse) {
  Start(3);
  Run(Refused());
}

class OutagePipelineTest : public PipelineTest {
 public:
  OutagePipelineTest() { partitioned_node_ = 0; }
};

TEST_F(OutagePipelineTest, AJobThatWaitsToBeReleasedIsNotForgotten) {
  Start(3);
  WatchStarts();
  Run(ThroughAnOutage());
}

}  // namespace
}  // namespace hallpier
