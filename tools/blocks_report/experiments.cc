#include "experiments.h"

#include <functional>

#include "fixtures.h"
#include "simulation/blocks_cluster.h"

namespace hallpier::report {
namespace {

using testing_support::BlocksCluster;
using testing_support::Spec;

constexpr int kMaxBlocks = 3;
constexpr double kSettleS = 30;
constexpr double kMeasuredS = 60;
constexpr uint32_t kTasks = 4;
constexpr HistogramRange kTimeRange{120, 12000};  // bins of 10 ms
constexpr HistogramRange kFractionRange{2, 2000};
constexpr HistogramRange kCountRange{20, 2000};
// Seconds between submissions of kTasks tasks. The light load uses half of the limit of twelve
// processors; the full load exceeds it.
constexpr double kLightLoadIntervalS = 2.7;
constexpr double kFullLoadIntervalS = 1.2;
const std::vector<std::string> kLoadLabels = {"light load", "full load"};

BlocksCluster::Options WithBlocks(int blocks, uint64_t seed) {
  BlocksCluster::Options options;
  options.seed = seed;
  // With one block, blocks are disabled and only the leader places.
  options.max_owners = blocks > 1 ? blocks : 0;
  return options;
}

// Submits jobs at the given average interval for `duration_s` seconds, to a cluster that has
// settled.
void SubmitLoad(BlocksCluster& cluster, double interval_s, double duration_s) {
  const double end = cluster.now() + duration_s;
  for (int i = 0; cluster.now() < end; ++i) {
    cluster.Submit(Spec("run-" + std::to_string(i), kTasks));
    cluster.RunFor(interval_s * cluster.Uniform(0.5, 1.5));
  }
}

using Collect = std::function<void(BlocksCluster& cluster, double duration_s, Samples& samples)>;

// Measures each number of blocks under light and full load. `collect` adds the samples of a run.
Experiment MeasureUnderLoad(Experiment experiment, HistogramRange range,
                            const RunOptions& run_options, const Collect& collect) {
  experiment.x_label = "blocks";
  experiment.series = kLoadLabels;
  for (int blocks = 1; blocks <= kMaxBlocks; ++blocks) {
    Point point{.x = static_cast<double>(blocks), .values = {}};
    for (const double interval_s : {kLightLoadIntervalS, kFullLoadIntervalS}) {
      Samples samples(range);
      for (int run = 0; run < run_options.runs; ++run) {
        BlocksCluster cluster(WithBlocks(blocks, run_options.seed + static_cast<uint64_t>(run)));
        cluster.RunFor(kSettleS);
        SubmitLoad(cluster, interval_s, kMeasuredS);
        collect(cluster, kMeasuredS, samples);
      }
      point.values.push_back(samples.Summarize());
    }
    experiment.points.push_back(std::move(point));
  }
  return experiment;
}

Experiment MakeExperiment(const std::string& name, const std::string& title,
                          const std::string& y_label, const std::string& explanation) {
  Experiment experiment;
  experiment.name = name;
  experiment.title = title;
  experiment.y_label = y_label;
  experiment.explanation = explanation;
  return experiment;
}

// Kills an owner that is not the leader or, with one block, the leader.
Experiment MeasureOwnerFailure(const RunOptions& run_options) {
  Experiment experiment = MakeExperiment(
      "after_death", "Time from a block owner's failure to the next start on its machines", "s",
      "With one block the owner is the leader. The lower bound is the time until the failure is "
      "declared, 2 s here, plus two writes.");
  experiment.x_label = "blocks";
  experiment.series = {"full load"};
  for (int blocks = 1; blocks <= kMaxBlocks; ++blocks) {
    Samples samples(kTimeRange);
    for (int run = 0; run < run_options.runs; ++run) {
      BlocksCluster cluster(WithBlocks(blocks, run_options.seed + static_cast<uint64_t>(run)));
      cluster.RunFor(kSettleS);
      const std::string other = cluster.OwnerOtherThan(cluster.Leader());
      const std::string owner = blocks > 1 ? other : cluster.Leader();
      const std::set<std::string> machines = cluster.MachinesOf(owner);
      double began = 0;
      std::optional<double> next;
      cluster.OnStart([&](const std::string& machine) {
        if (began > 0 && !next && machines.contains(machine)) next = cluster.now();
      });
      cluster.At(kSettleS / 2, [&] {
        began = cluster.now();
        cluster.Kill(owner);
      });
      SubmitLoad(cluster, kFullLoadIntervalS, kMeasuredS);
      samples.Add(next ? *next - began : kTimeRange.max);
    }
    experiment.points.push_back({static_cast<double>(blocks), {samples.Summarize()}});
  }
  return experiment;
}

}  // namespace

std::vector<Experiment> MeasureBlocks(const RunOptions& run_options) {
  return {
      MeasureUnderLoad(
          MakeExperiment(
              "wait", "Time from submission to start, by task", "s",
              "Under full load a task mainly waits for its team's limit. One block is the "
              "optimum, because it needs no allocations."),
          kTimeRange, run_options,
          [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
            for (const double wait : cluster.waits()) samples.Add(wait);
          }),
      MeasureUnderLoad(
          MakeExperiment("idle", "Fraction of the limit left unused while a task waited for it",
                         "fraction of the limit", "The optimum is 0."),
          kFractionRange, run_options,
          [](BlocksCluster& cluster, double duration_s, Samples& samples) {
            samples.Add(cluster.idle_cpu_s() / duration_s / BlocksCluster::Options().limit);
          }),
      MeasureUnderLoad(
          MakeExperiment(
              "writes", "Keys written for each task", "keys",
              "Submissions, placements, task ends and, with more than one block, allocations."),
          kCountRange, run_options,
          [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
            samples.Add(static_cast<double>(cluster.writes()) / cluster.starts());
          }),
      MeasureUnderLoad(
          MakeExperiment("conflicts", "Failed transactions for each task", "transactions",
                         "Two transactions wrote the same task group, or the sender's allocation "
                         "has changed."),
          kCountRange, run_options,
          [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
            samples.Add(static_cast<double>(cluster.conflicts()) / cluster.starts());
          }),
      MeasureUnderLoad(
          MakeExperiment("overshoot", "Starts beyond the limit", "starts", "The optimum is 0."),
          kCountRange, run_options,
          [](BlocksCluster& cluster, double /*duration_s*/, Samples& samples) {
            samples.Add(cluster.starts_over_limit());
          }),
      MeasureOwnerFailure(run_options),
  };
}

}  // namespace hallpier::report
