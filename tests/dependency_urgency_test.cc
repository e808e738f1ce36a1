// Priorities and deadlines that jobs inherit from downstream jobs: their values, and the number of
// dependencies that are examined to derive them.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fixtures.h"
#include "jobs/dependency_graph.h"
#include "store/records.h"

namespace hallpier::jobs {
namespace {

using testing_support::Spec;

constexpr double kNoDeadline = std::numeric_limits<double>::infinity();
constexpr double kDeadlineS = 7200;
// How often a single change may examine each dependency: to find the jobs in topological order, to
// check whether a job is affected, to pass its urgency on, and to derive that of a job anew.
constexpr uint64_t kMaxVisitsPerDependency = 5;

store::JobRecord Record(const std::string& id, std::vector<std::string> dependencies,
                        double estimated_run_s = 10, double deadline_s = 0) {
  store::JobRecord record;
  record.spec = Spec(id, 1);
  record.spec.dependencies = std::move(dependencies);
  record.spec.estimated_run_s = estimated_run_s;
  record.spec.deadline_s = deadline_s;
  return record;
}

std::string Id(size_t number) { return "run-" + std::to_string(1000000 + number); }

// A pipeline in which each stage has two parallel jobs and one that awaits both. The number of
// paths doubles with each stage. The estimates of a stage differ by `step(stage)` seconds, so that
// nearly all paths have different lengths.
struct Ladder {
  static constexpr size_t kDependenciesPerStage = 4;

  template <typename Step>
  Ladder(size_t stages, Step step, bool second_is_longer = false)
      : dependencies(kDependenciesPerStage * stages) {
    records.push_back(Record(Id(0), {}));
    for (size_t stage = 0; stage < stages; ++stage) {
      const std::string before = records.back().spec.id;
      const std::string left = Id(3 * stage + 1);
      const std::string right = Id(3 * stage + 2);
      const double difference_s = step(stage);
      records.push_back(Record(left, {before}, second_is_longer ? 10 : 10 + difference_s));
      records.push_back(Record(right, {before}, second_is_longer ? 10 + difference_s : 10));
      records.push_back(Record(Id(3 * stage + 3), {left, right}, 5));
      longest_path_s += 15 + difference_s;
    }
    records.back().spec.deadline_s = kDeadlineS;
  }
  std::vector<store::JobRecord> records;  // in order of submission; the last one has a deadline
  size_t dependencies;
  double longest_path_s = 0;  // from the end of the first job to the end of the last one
};

Ladder DoublingLadder(size_t stages, bool second_is_longer = false) {
  return {stages, [](size_t stage) { return 1e-6 * std::exp2(stage); }, second_is_longer};
}
// For more stages than a doubling difference allows.
Ladder LongLadder(size_t stages) {
  return {stages, [](size_t stage) { return 1e-3 * static_cast<double>(stage % 7); }};
}

void Add(DependencyGraph& graph, const store::JobRecord& record) {
  graph.AddOrUpdate(record);
  graph.PropagateUrgency();
}

void Cancel(DependencyGraph& graph, store::JobRecord record) {
  record.cancelled = true;
  graph.AddOrUpdate(record);
  graph.PropagateUrgency();
}

// Guards against the hang of all controllers: the deadline of a pipeline's last job was passed up
// along each path, so that 32 stages took 2^32 steps in one turn of the event loop.
TEST(DependencyUrgencyTest, PassingADeadlineUpExaminesEachDependencyOnce) {
  for (const size_t stages : {4, 8, 16, 32}) {
    const Ladder ladder = DoublingLadder(stages);
    DependencyGraph graph;
    for (size_t i = 0; i + 1 < ladder.records.size(); ++i) Add(graph, ladder.records[i]);
    const uint64_t before = graph.examined_dependencies();
    Add(graph, ladder.records.back());
    EXPECT_LE(graph.examined_dependencies() - before, kMaxVisitsPerDependency * ladder.dependencies)
        << stages;
    EXPECT_NEAR(graph.Find(Id(0))->deadline, kDeadlineS - ladder.longest_path_s, 1e-3) << stages;
  }
}

// Guards against the same hang when the deadline is taken back: the last job is cancelled, or its
// record is deleted.
TEST(DependencyUrgencyTest, TakingADeadlineBackExaminesEachDependencyOnce) {
  for (const size_t stages : {4, 8, 16, 32}) {
    for (const bool deleted : {false, true}) {
      const Ladder ladder = DoublingLadder(stages, true);
      DependencyGraph graph;
      for (const store::JobRecord& record : ladder.records) Add(graph, record);
      const uint64_t before = graph.examined_dependencies();
      if (deleted) {
        graph.Remove(ladder.records.back().spec.id);
        graph.PropagateUrgency();
      } else {
        Cancel(graph, ladder.records.back());
      }
      EXPECT_LE(graph.examined_dependencies() - before,
                kMaxVisitsPerDependency * ladder.dependencies)
          << stages;
      EXPECT_EQ(graph.Find(Id(0))->deadline, kNoDeadline) << stages;
    }
  }
}

// Guards against quadratic work when a controller loads the records after a restart: records come
// in any order, and each may connect two parts of a pipeline.
TEST(DependencyUrgencyTest, LoadingRecordsInAnyOrderExaminesEachDependencyOnce) {
  std::mt19937 random(1);
  for (const size_t stages : {500, 1000, 2000}) {
    Ladder ladder = LongLadder(stages);
    for (const bool shuffled : {false, true}) {
      if (shuffled) {
        std::shuffle(ladder.records.begin(), ladder.records.end(), random);
      } else {
        std::reverse(ladder.records.begin(), ladder.records.end());
      }
      DependencyGraph graph;
      for (const store::JobRecord& record : ladder.records) graph.AddOrUpdate(record);
      graph.PropagateUrgency();
      EXPECT_LE(graph.examined_dependencies(), kMaxVisitsPerDependency * ladder.dependencies)
          << stages;
      EXPECT_NEAR(graph.Find(Id(0))->deadline, kDeadlineS - ladder.longest_path_s, 1e-3) << stages;
    }
  }
}

// Guards against quadratic work when many urgent jobs that share a second awaited job are cancelled
// at once with the first.
TEST(DependencyUrgencyTest, CancellingManyDependentsExaminesEachDependencyOnce) {
  for (const size_t dependents : {500, 1000, 2000}) {
    DependencyGraph graph;
    Add(graph, Record("run-1", {}));
    Add(graph, Record("run-2", {}));
    for (size_t i = 0; i < dependents; ++i) {
      Add(graph, Record(Id(i), {"run-1", "run-2"}, 10, kDeadlineS - static_cast<double>(i % 7)));
    }
    const uint64_t before = graph.examined_dependencies();
    graph.SetFinalRecord("run-1", {model::JobPhase::kCancelled, 0, 50});
    graph.Remove("run-1");
    graph.PropagateUrgency();
    EXPECT_LE(graph.examined_dependencies() - before, kMaxVisitsPerDependency * 2 * dependents)
        << dependents;
    EXPECT_EQ(graph.Find("run-2")->deadline, kNoDeadline);
  }
}

// Guards against quadratic work while an outcome is not known: each poll for a waiting job walked
// all of its upstream jobs.
TEST(DependencyUrgencyTest, PollsShareOneWalkForUnresolvedJobs) {
  for (const size_t stages : {100, 200, 400}) {
    const Ladder ladder = LongLadder(stages);
    DependencyGraph graph;
    for (const store::JobRecord& record : ladder.records) graph.AddOrUpdate(record);
    graph.AddOrUpdate(Record("run-1", {}));
    graph.PropagateUrgency();
    graph.Remove(Id(0));
    const uint64_t before = graph.examined_dependencies();
    for (size_t i = 1; i < ladder.records.size(); ++i) EXPECT_FALSE(graph.UpstreamResolved(Id(i)));
    EXPECT_TRUE(graph.UpstreamResolved("run-1"));
    EXPECT_LE(graph.examined_dependencies() - before, ladder.dependencies) << stages;
    graph.SetFinalRecord(Id(0), {model::JobPhase::kDone, 1, 50});
    EXPECT_TRUE(graph.UpstreamResolved(Id(3)));
  }
}

// A dependency cycle can't be submitted. If records have one nevertheless, no controller may hang.
TEST(DependencyUrgencyTest, CycleInRecordsEnds) {
  DependencyGraph graph;
  Add(graph, Record("run-1", {"run-2"}));
  Add(graph, Record("run-2", {"run-1", "run-3"}, 10, kDeadlineS));
  Add(graph, Record("run-3", {}));
  EXPECT_LE(graph.Find("run-3")->deadline, kDeadlineS - 10);
  Cancel(graph, Record("run-1", {"run-2"}));
  EXPECT_TRUE(graph.Find("run-2")->cancelled);
}

// Jobs in reverse order of submission.
using NewestFirst = std::map<std::string, store::JobRecord, std::greater<>>;

// The urgency of all jobs, derived from scratch.
class ReferenceUrgency {
 public:
  explicit ReferenceUrgency(const NewestFirst& unfinished) {
    for (const auto& [id, record] : unfinished) {
      Pass(id, record.spec.priority,
           record.spec.deadline_s > 0 ? record.submitted_at + record.spec.deadline_s : kNoDeadline);
      for (const std::string& awaited : record.spec.dependencies) {
        Pass(awaited, priorities[id], deadlines[id] - record.spec.estimated_run_s);
      }
    }
  }
  std::map<std::string, model::Priority> priorities;
  std::map<std::string, double> deadlines;

 private:
  void Pass(const std::string& id, model::Priority priority, double deadline) {
    auto known = priorities.try_emplace(id, priority).first;
    known->second = std::min(known->second, priority);
    auto known_deadline = deadlines.try_emplace(id, deadline).first;
    known_deadline->second = std::min(known_deadline->second, deadline);
  }
};

// Random graphs under random changes, in batches of random size, against the reference.
TEST(DependencyUrgencyTest, RandomChangesGiveTheUrgencyDerivedFromScratch) {
  constexpr int kSeeds = 30;
  constexpr size_t kChanges = 200;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    std::mt19937 random(seed);
    // Returns a random number below `end`.
    auto draw = [&](size_t end) {
      return std::uniform_int_distribution<int>(0, static_cast<int>(end) - 1)(random);
    };
    DependencyGraph graph;
    NewestFirst live;  // neither cancelled nor removed
    for (size_t change = 0; change < kChanges; ++change) {
      auto any = live.empty() ? live.end() : std::next(live.begin(), draw(live.size()));
      if (any == live.end() || draw(4) > 0) {
        store::JobRecord record = Record(Id(change), {}, static_cast<double>(draw(20)));
        for (int i = draw(4); i > 0 && !live.empty(); --i) {
          const std::string& awaited = std::next(live.begin(), draw(live.size()))->first;
          auto& dependencies = record.spec.dependencies;
          if (std::find(dependencies.begin(), dependencies.end(), awaited) == dependencies.end()) {
            dependencies.push_back(awaited);
          }
        }
        if (draw(3) == 0) record.spec.deadline_s = 100 + static_cast<double>(draw(500));
        record.spec.priority = static_cast<model::Priority>(draw(4));
        graph.AddOrUpdate(record);
        live[record.spec.id] = record;
      } else if (draw(2) == 0) {
        store::JobRecord record = any->second;
        record.cancelled = true;
        graph.AddOrUpdate(record);
        std::erase_if(live, [&](const auto& entry) { return graph.Find(entry.first)->cancelled; });
      } else if (graph.Dependents(any->first).empty()) {
        graph.Remove(any->first);
        live.erase(any);
      }
      if (draw(3) == 0) continue;  // the batch goes on
      graph.PropagateUrgency();
      const ReferenceUrgency reference(live);
      for (const auto& [id, record] : live) {
        ASSERT_EQ(graph.Find(id)->priority, reference.priorities.at(id)) << id;
        ASSERT_DOUBLE_EQ(graph.Find(id)->deadline, reference.deadlines.at(id)) << id;
      }
    }
  }
}

}  // namespace
}  // namespace hallpier::jobs
