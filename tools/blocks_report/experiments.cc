#include "experiments.h"

#include <functional>

#include "fixtures.h"
#include "simulation/blocks_cluster.h"

namespace hallpier::report {
namespace {

using testing_support::BlocksCluster;
using testing_support::Spec;

constexpr int kMostBlocks = 3;
constexpr double kSettleS = 30;
constexpr double kMeasuredS = 60;
constexpr uint32_t kTasks = 4;
constexpr Scale kTimes{120, 12000};  // 10 ms
constexpr Scale kParts{2, 2000};
constexpr Scale kCounts{20, 2000};
// Seconds between two submissions of four tasks: a limit of twelve is used by half, and beyond it.
constexpr double kLightS = 2.7;
constexpr double kHeavyS = 1.2;
const std::vector<std::string> kLoads = {"light load", "full load"};

BlocksCluster::Options WithBlocks(int blocks, uint64_t seed) {
  BlocksCluster::Options options;
  options.seed = seed;
  // One block is none: the leader places alone.
  options.max_holders = blocks > 1 ? blocks : 0;
  return options;
}

// Submits at a pace for a while, to a cluster that has settled.
void Load(BlocksCluster& cluster, double pace_s, double duration_s) {
  const double end = cluster.now() + duration_s;
  for (int i = 0; cluster.now() < end; ++i) {
    cluster.Submit(Spec("run-" + std::to_string(i), kTasks));
    cluster.RunFor(pace_s * cluster.Uniform(0.5, 1.5));
  }
}

using Take = std::function<void(BlocksCluster& cluster, double duration_s, Samples& samples)>;

// Adds what `take` reads off each run, under a light and a full load.
Experiment UnderLoad(Experiment experiment, Scale scale, const Effort& effort, const Take& take) {
  experiment.x_label = "blocks";
  experiment.series = kLoads;
  for (int blocks = 1; blocks <= kMostBlocks; ++blocks) {
    Point point{.x = static_cast<double>(blocks), .values = {}};
    for (const double pace_s : {kLightS, kHeavyS}) {
      Samples samples(scale);
      for (int run = 0; run < effort.runs; ++run) {
        BlocksCluster cluster(WithBlocks(blocks, effort.seed + static_cast<uint64_t>(run)));
        cluster.RunFor(kSettleS);
        Load(cluster, pace_s, kMeasuredS);
        take(cluster, kMeasuredS, samples);
      }
      point.values.push_back(samples.Summarize());
    }
    experiment.points.push_back(std::move(point));
  }
  return experiment;
}

Experiment Described(const std::string& name, const std::string& title, const std::string& y_label,
                     const std::string& explanation) {
  Experiment experiment;
  experiment.name = name;
  experiment.title = title;
  experiment.y_label = y_label;
  experiment.explanation = explanation;
  return experiment;
}

// A holder that does not lead ends, or with one block the leader.
Experiment AfterDeath(const Effort& effort) {
  Experiment experiment = Described(
      "after_death", "Time from a holder's end to the next start on its machines", "s",
      "With one block the holder is the leader. The best that could be had is the time in "
      "which a verdict is reached, 2 s here, and two writes.");
  experiment.x_label = "blocks";
  experiment.series = {"full load"};
  for (int blocks = 1; blocks <= kMostBlocks; ++blocks) {
    Samples samples(kTimes);
    for (int run = 0; run < effort.runs; ++run) {
      BlocksCluster cluster(WithBlocks(blocks, effort.seed + static_cast<uint64_t>(run)));
      cluster.RunFor(kSettleS);
      const std::string other = cluster.HolderOtherThan(cluster.Leader());
      const std::string holder = blocks > 1 ? other : cluster.Leader();
      const std::set<std::string> machines = cluster.MachinesOf(holder);
      double began = 0;
      std::optional<double> next;
      cluster.OnStart([&](const std::string& machine) {
        if (began > 0 && !next && machines.contains(machine)) next = cluster.now();
      });
      cluster.At(kSettleS / 2, [&] {
        began = cluster.now();
        cluster.Kill(holder);
      });
      Load(cluster, kHeavyS, kMeasuredS);
      samples.Add(next ? *next - began : kTimes.most);
    }
    experiment.points.push_back({static_cast<double>(blocks), {samples.Summarize()}});
  }
  return experiment;
}

}  // namespace

std::vector<Experiment> MeasureBlocks(const Effort& effort) {
  return {
      UnderLoad(
          Described("wait", "Time from submission to start, by task", "s",
                    "Under the full load a task waits for its team's limit above all. The best "
                    "is one block's: it needs no lending."),
          kTimes, effort,
          [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
            for (const double wait : cluster.waits()) samples.Add(wait);
          }),
      UnderLoad(Described("idle", "Part of the limit that lay idle while a task waited for it",
                          "part of the limit", "The best is none."),
                kParts, effort,
                [](BlocksCluster& cluster, double duration_s, Samples& samples) {
                  samples.Add(cluster.idle_cpu_s() / duration_s / BlocksCluster::Options().limit);
                }),
      UnderLoad(
          Described("writes", "Keys written for each task", "keys",
                    "Submissions, placements, ends, and with more than one block what is lent."),
          kCounts, effort,
          [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
            samples.Add(static_cast<double>(cluster.writes()) / cluster.starts());
          }),
      UnderLoad(
          Described("conflicts", "Transactions that lost, for each task", "transactions",
                    "Two that write the same group of tasks, or one whose share has changed."),
          kCounts, effort,
          [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
            samples.Add(static_cast<double>(cluster.conflicts()) / cluster.starts());
          }),
      UnderLoad(Described("overshoot", "Starts beyond the limit", "starts", "The best is none."),
                kCounts, effort,
                [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
                  samples.Add(cluster.starts_over_limit());
                }),
      AfterDeath(effort),
  };
}

}  // namespace hallpier::report
