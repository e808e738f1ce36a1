#include "experiments.h"

#include <functional>

#include "model/member.h"
#include "simulation/membership_cluster.h"

namespace hallpier::report {
namespace {

using testing_support::MembershipCluster;

constexpr double kSettleS = 30;
// The leader's lease and the probe interval, in heartbeat intervals (config/settings.h).
constexpr double kLeaseRatio = 0.5;
constexpr double kProbeRatio = 1.0 / 16;

constexpr HistogramRange kTimeRange{60, 12000};  // bins of 5 ms
constexpr HistogramRange kCountRange{2000, 2000};
const std::vector<std::string> kOffAndOn = {"off", "on"};

MembershipCluster::Options ForHeartbeatInterval(double heartbeat_interval_s) {
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
  Experiment experiment{
      .name = "handover",
      .title = "Time from the freeze of a leader to the election of its successor",
      .x_label = "heartbeat interval (s)",
      .y_label = "s",
      .explanation =
          "The leader's lease lasts half a heartbeat interval. It expires between two thirds of "
          "its duration and all of it after the freeze, which here is before the leader is "
          "declared failed. The declaration takes three missed probes, the agreement of the other "
          "observer, and three intervals in which the suspicion is recorded. The lower bound is "
          "the time of the first missed probe. It is not reached because one missed probe does not "
          "prove that a node has failed: on a small core its process may merely be scheduled late.",
      .series = kOffAndOn,
      .points = {}};
  for (const double heartbeat_interval_s : {3.0, 4.0, 10.0}) {
    experiment.points.push_back(MeasurePoint(heartbeat_interval_s,
                                             ForHeartbeatInterval(heartbeat_interval_s),
                                             run_options, kTimeRange, TimeToHandover));
  }
  return experiment;
}

Experiment MeasureLongLease(const RunOptions& run_options) {
  Experiment experiment{
      .name = "long_lease",
      .title = "Time to a successor with longer leader leases, heartbeat interval 4 s",
      .x_label = "leader's lease (s)",
      .y_label = "s",
      .explanation =
          "A longer lease tolerates a slow leader. Without membership it delays the "
          "handover after every failure of a leader. With membership the time hardly "
          "depends on the lease.",
      .series = kOffAndOn,
      .points = {}};
  for (const double lease_s : {2.0, 4.0, 8.0, 16.0}) {
    MembershipCluster::Options options = ForHeartbeatInterval(4);
    options.leader_ttl_s = lease_s;
    experiment.points.push_back(
        MeasurePoint(lease_s, options, run_options, kTimeRange, TimeToHandover));
  }
  return experiment;
}

Experiment MeasureDetection(const RunOptions& run_options) {
  Experiment experiment{
      .name = "notice",
      .title = "Time until the leader suspects a frozen follower",
      .x_label = "heartbeat interval (s)",
      .y_label = "s",
      .explanation = "Without membership the failure is not detected; 30 s is the end of the run.",
      .series = kOffAndOn,
      .points = {}};
  for (const double heartbeat_interval_s : {3.0, 4.0, 10.0}) {
    experiment.points.push_back(MeasurePoint(
        heartbeat_interval_s, ForHeartbeatInterval(heartbeat_interval_s), run_options, kTimeRange,
        [](MembershipCluster& cluster, Samples& samples) {
          const std::string leader = cluster.Leader();
          const std::string subject = cluster.Name(leader == cluster.Name(0) ? 1 : 0);
          const double began = cluster.now();
          cluster.Freeze(subject);
          cluster.RunUntil(
              [&] {
                return cluster.ObservedState(leader, subject) == model::MemberState::kSuspect;
              },
              kSettleS);
          samples.Add(cluster.now() - began);
        }));
  }
  return experiment;
}

Experiment MeasurePauseLength(const RunOptions& run_options) {
  Experiment experiment{
      .name = "pause_length",
      .title = "Leader changes caused by one pause of the leader, heartbeat interval 4 s",
      .x_label = "length of the pause (s)",
      .y_label = "leader changes",
      .explanation =
          "A pause shorter than the lease should cause no change, a longer one should "
          "cause one. The two cannot be distinguished before the pause ends.",
      .series = kOffAndOn,
      .points = {}};
  for (const double pause_s : {0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0}) {
    experiment.points.push_back(
        MeasurePoint(pause_s, ForHeartbeatInterval(4), run_options, kCountRange,
                     [pause_s](MembershipCluster& cluster, Samples& samples) {
                       const size_t before = cluster.handovers().size();
                       const std::string leader = cluster.Leader();
                       cluster.Freeze(leader);
                       cluster.RunFor(pause_s);
                       cluster.Resume(leader);
                       cluster.RunFor(kSettleS);
                       samples.Add(static_cast<double>(cluster.handovers().size() - before));
                     }));
  }
  return experiment;
}

// No node fails. Measures the number of events that `count` returns for one hour: false suspicions
// or false failure declarations.
Experiment MeasureFalsePositives(
    const std::string& name, const std::string& title, const std::string& x_label,
    const std::vector<double>& xs,
    const std::function<void(double, MembershipCluster::Options&)>& set,
    const std::function<double(const MembershipCluster&)>& count, const std::string& explanation,
    const RunOptions& run_options) {
  Experiment experiment{.name = name,
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
    MembershipCluster::Options options = ForHeartbeatInterval(4);
    set(x, options);
    experiment.points.push_back(
        MeasurePoint(x, options, fewer_runs, kCountRange,
                     [&count, observed_s](MembershipCluster& cluster, Samples& samples) {
                       const double before = count(cluster);
                       cluster.RunFor(observed_s);
                       samples.Add(count(cluster) - before);
                     }));
  }
  return experiment;
}

double CountSuspicions(const MembershipCluster& cluster) {
  return static_cast<double>(cluster.suspicions());
}
double CountFailureDeclarations(const MembershipCluster& cluster) {
  return static_cast<double>(cluster.failure_declarations().size());
}

}  // namespace

std::vector<Experiment> MeasureMembership(const RunOptions& run_options) {
  const std::vector<double> losses = {0, 0.01, 0.05, 0.1, 0.2};
  auto lossy = [](double x, MembershipCluster::Options& options) {
    options.loss = x;
    options.retransmit_s = 1;
  };
  const std::vector<double> loads = {0, 0.05, 0.1, 0.2, 0.4};
  auto busy = [](double x, MembershipCluster::Options& options) {
    options.pause_probability = x;
    options.max_pause_s = 5;
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
      MeasureFalsePositives("loss_verdicts",
                            "Failure declarations of healthy nodes, by packet loss",
                            "fraction of packets retransmitted", losses, lossy,
                            CountFailureDeclarations, "The optimum is 0.", run_options),
      MeasureFalsePositives(
          "load_suspicions", "Recorded suspicions of healthy nodes, by load",
          "fraction of ticks followed by a pause of up to 5 s", loads, busy, CountSuspicions,
          "Probes and answers are as late as their sender. A node that is late itself waits longer "
          "before it suspects others.",
          run_options),
      MeasureFalsePositives(
          "load_verdicts", "Failure declarations of healthy nodes, by load",
          "fraction of ticks followed by a pause of up to 5 s", loads, busy,
          CountFailureDeclarations,
          "The optimum is 0. A node that is also late in refuting a suspicion may be declared "
          "failed; it rejoins immediately.",
          run_options),
  };
}

}  // namespace hallpier::report
