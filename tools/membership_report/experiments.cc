#include "experiments.h"

#include <functional>

#include "model/member.h"
#include "simulation/membership_cluster.h"

namespace hallpier::report {
namespace {

using testing_support::MembershipCluster;

constexpr double kSettleS = 30;
// The leader's lease and the probe interval, in report periods (config/settings.h).
constexpr double kLeaseRatio = 0.5;
constexpr double kProbeRatio = 1.0 / 16;

constexpr HistogramRange kTimeRange{60, 12000};  // 5 ms
constexpr HistogramRange kCountRange{2000, 2000};
const std::vector<std::string> kOffAndOn = {"off", "on"};

MembershipCluster::Options ForReportPeriod(double heartbeat_interval_s) {
  MembershipCluster::Options options;
  options.leader_ttl_s = kLeaseRatio * heartbeat_interval_s;
  options.probe_s = kProbeRatio * heartbeat_interval_s;
  return options;
}

// Runs `measure` for each seed on a cluster that has a leader, with membership off and on.
Point MeasurePoint(double x, MembershipCluster::Options options, const RunOptions& run_options,
                   HistogramRange range,
                   const std::function<void(MembershipCluster&, Samples&)>& measure) {
  Point point{.x = x, .values = {}};
  for (const bool on : {false, true}) {
    Samples samples(range);
    options.membership = on;
    for (int run = 0; run < run_options.runs; ++run) {
      options.seed = run_options.seed + static_cast<uint64_t>(run);
      MembershipCluster cluster(options);
      cluster.RunUntil([&] { return !cluster.Leader().empty(); }, kSettleS);
      // Varies the phase of the lease at which the measurement begins.
      cluster.RunFor(10 + 0.037 * run);
      measure(cluster, samples);
    }
    point.values.push_back(samples.Summarize());
  }
  return point;
}

void TimeToHandover(MembershipCluster& cluster, Samples& samples) {
  const double began = cluster.now();
  const size_t before = cluster.handovers().size();
  cluster.Freeze(cluster.Leader());
  cluster.RunUntil([&] { return cluster.handovers().size() > before; }, kSettleS);
  samples.Add(cluster.now() - began);
}

Experiment MeasureHandover(const RunOptions& run_options) {
  Experiment e{
      .name = "handover",
      .title = "Time from the freeze of a leader to the election of its successor",
      .x_label = "report period (s)",
      .y_label = "s",
      .explanation =
          "The leader's lease lasts half a report period. It expires between two thirds of its "
          "duration and all of it after the freeze, which is before the verdict here. A verdict "
          "takes three missed probes, the agreement of the other observer, and three intervals "
          "in which the suspicion is recorded. The lower bound is the time of the first missed "
          "probe. It is not reached because one missed probe does not prove that a node has "
          "failed: on a small core its process may merely be scheduled late.",
      .series = kOffAndOn,
      .points = {}};
  for (const double heartbeat_interval_s : {3.0, 4.0, 10.0}) {
    e.points.push_back(MeasurePoint(heartbeat_interval_s, ForReportPeriod(heartbeat_interval_s),
                                    run_options, kTimeRange, TimeToHandover));
  }
  return e;
}

Experiment MeasureLongLease(const RunOptions& run_options) {
  Experiment e{.name = "long_lease",
               .title = "Time to a successor with longer leader leases, report period 4 s",
               .x_label = "leader's lease (s)",
               .y_label = "s",
               .explanation =
                   "A longer lease tolerates a slow leader. Without membership it delays the "
                   "handover after every failure of a leader. With membership the time hardly "
                   "depends on the lease.",
               .series = kOffAndOn,
               .points = {}};
  for (const double lease_s : {2.0, 4.0, 8.0, 16.0}) {
    MembershipCluster::Options options = ForReportPeriod(4);
    options.leader_ttl_s = lease_s;
    e.points.push_back(MeasurePoint(lease_s, options, run_options, kTimeRange, TimeToHandover));
  }
  return e;
}

Experiment MeasureDetection(const RunOptions& run_options) {
  Experiment e{
      .name = "notice",
      .title = "Time until the leader suspects a frozen follower",
      .x_label = "report period (s)",
      .y_label = "s",
      .explanation = "Without membership the failure is not detected; 30 s is the end of the run.",
      .series = kOffAndOn,
      .points = {}};
  for (const double heartbeat_interval_s : {3.0, 4.0, 10.0}) {
    e.points.push_back(MeasurePoint(
        heartbeat_interval_s, ForReportPeriod(heartbeat_interval_s), run_options, kTimeRange,
        [](MembershipCluster& c, Samples& samples) {
          const std::string leader = c.Leader();
          const std::string subject = c.Name(leader == c.Name(0) ? 1 : 0);
          const double began = c.now();
          c.Freeze(subject);
          c.RunUntil(
              [&] { return c.ObservedState(leader, subject) == model::MemberState::kSuspect; },
              kSettleS);
          samples.Add(c.now() - began);
        }));
  }
  return e;
}

Experiment MeasurePauseLength(const RunOptions& run_options) {
  Experiment e{.name = "pause_length",
               .title = "Leader changes caused by one pause of the leader, report period 4 s",
               .x_label = "length of the pause (s)",
               .y_label = "leader changes",
               .explanation =
                   "A pause shorter than the lease should cause no change, a longer one should "
                   "cause one. The two cannot be distinguished before the pause ends.",
               .series = kOffAndOn,
               .points = {}};
  for (const double pause_s : {0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0}) {
    e.points.push_back(MeasurePoint(pause_s, ForReportPeriod(4), run_options, kCountRange,
                                    [pause_s](MembershipCluster& c, Samples& samples) {
                                      const size_t before = c.handovers().size();
                                      const std::string leader = c.Leader();
                                      c.Freeze(leader);
                                      c.RunFor(pause_s);
                                      c.Resume(leader);
                                      c.RunFor(kSettleS);
                                      samples.Add(
                                          static_cast<double>(c.handovers().size() - before));
                                    }));
  }
  return e;
}

// No node fails. Measures the events that `count` returns for one hour: false suspicions or
// verdicts.
Experiment MeasureFalsePositives(
    const std::string& name, const std::string& title, const std::string& x_label,
    const std::vector<double>& xs,
    const std::function<void(double, MembershipCluster::Options&)>& set,
    const std::function<double(const MembershipCluster&)>& count, const std::string& explanation,
    const RunOptions& run_options) {
  Experiment e{.name = name,
               .title = title,
               .x_label = x_label,
               .y_label = "per hour",
               .explanation = explanation,
               .series = kOffAndOn,
               .points = {}};
  // Each run simulates an hour, so a tenth of the runs is used. A single run is shortened to 60 s.
  const double observed_s = run_options.runs > 1 ? 3600 : 60;
  const RunOptions fewer_runs{.runs = std::max(1, run_options.runs / 10), .seed = run_options.seed};
  for (const double x : xs) {
    MembershipCluster::Options options = ForReportPeriod(4);
    set(x, options);
    e.points.push_back(MeasurePoint(x, options, fewer_runs, kCountRange,
                                    [&count, observed_s](MembershipCluster& c, Samples& samples) {
                                      const double before = count(c);
                                      c.RunFor(observed_s);
                                      samples.Add(count(c) - before);
                                    }));
  }
  return e;
}

double CountSuspicions(const MembershipCluster& c) { return static_cast<double>(c.suspicions()); }
double CountFailureDeclarations(const MembershipCluster& c) {
  return static_cast<double>(c.failure_declarations().size());
}

}  // namespace

std::vector<Experiment> MeasureMembership(const RunOptions& run_options) {
  const std::vector<double> losses = {0, 0.01, 0.05, 0.1, 0.2};
  auto lossy = [](double x, MembershipCluster::Options& o) {
    o.loss = x;
    o.retransmit_s = 1;
  };
  const std::vector<double> loads = {0, 0.05, 0.1, 0.2, 0.4};
  auto busy = [](double x, MembershipCluster::Options& o) {
    o.pause_probability = x;
    o.max_pause_s = 5;
  };
  return {
      MeasureDetection(run_options),
      MeasureHandover(run_options),
      MeasureLongLease(run_options),
      MeasurePauseLength(run_options),
      MeasureFalsePositives(
          "loss_suspicions", "Recorded suspicions of healthy nodes, by packet loss",
          "fraction of packets retransmitted", losses, lossy, CountSuspicions,
          "Each lost packet arrives 1 s later, or later still if it is lost again.", run_options),
      MeasureFalsePositives("loss_verdicts", "Verdicts on healthy nodes, by packet loss",
                            "fraction of packets retransmitted", losses, lossy,
                            CountFailureDeclarations, "The optimum is 0.", run_options),
      MeasureFalsePositives(
          "load_suspicions", "Recorded suspicions of healthy nodes, by load",
          "fraction of ticks followed by a pause of up to 5 s", loads, busy, CountSuspicions,
          "Probes and answers are as late as their sender. A node that is late itself waits longer "
          "before it suspects others.",
          run_options),
      MeasureFalsePositives(
          "load_verdicts", "Verdicts on healthy nodes, by load",
          "fraction of ticks followed by a pause of up to 5 s", loads, busy,
          CountFailureDeclarations,
          "The optimum is 0. A node that is also late in refuting a suspicion may receive a "
          "verdict; it rejoins immediately.",
          run_options),
  };
}

}  // namespace hallpier::report
