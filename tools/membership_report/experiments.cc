#include "experiments.h"

#include <functional>

#include "model/member.h"
#include "simulation/membership_cluster.h"

namespace hallpier::report {
namespace {

using testing_support::MembershipCluster;

constexpr double kSettleS = 30;
// A leader's lease and the time between two probes, in report periods (config/settings.h).
constexpr double kLeaseRatio = 0.5;
constexpr double kProbeRatio = 1.0 / 16;

constexpr Scale kTimes{60, 12000};  // 5 ms
constexpr Scale kCounts{2000, 2000};
const std::vector<std::string> kOffAndOn = {"off", "on"};

MembershipCluster::Options ForReportPeriod(double heartbeat_interval_s) {
  MembershipCluster::Options options;
  options.leader_ttl_s = kLeaseRatio * heartbeat_interval_s;
  options.probe_s = kProbeRatio * heartbeat_interval_s;
  return options;
}

// Runs `measure` for each seed on a cluster that has settled, off and on.
Point MeasurePoint(double x, MembershipCluster::Options options, const Effort& effort, Scale scale,
                   const std::function<void(MembershipCluster&, Samples&)>& measure) {
  Point point{.x = x, .values = {}};
  for (const bool on : {false, true}) {
    Samples samples(scale);
    options.membership = on;
    for (int run = 0; run < effort.runs; ++run) {
      options.seed = effort.seed + static_cast<uint64_t>(run);
      MembershipCluster cluster(options);
      cluster.RunUntil([&] { return !cluster.Leader().empty(); }, kSettleS);
      // Not always at the same moment of the lease.
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

Experiment Handover(const Effort& effort) {
  Experiment e{
      .name = "handover",
      .title = "Time from the freeze of a leader to its successor",
      .x_label = "report period (s)",
      .y_label = "s",
      .explanation =
          "The leader's lease of half a report period runs out between two thirds of its "
          "length and all of it after the freeze, and comes first here. A verdict takes "
          "three missed probes, the agreement of the other observer, and three intervals in "
          "which the suspicion stands recorded. The best that could be had is the time of "
          "the first missed probe; what prevents it is that one missed probe says nothing "
          "of a small core that is late with its turns.",
      .series = kOffAndOn,
      .points = {}};
  for (const double heartbeat_interval_s : {3.0, 4.0, 10.0}) {
    e.points.push_back(MeasurePoint(heartbeat_interval_s, ForReportPeriod(heartbeat_interval_s),
                                    effort, kTimes, TimeToHandover));
  }
  return e;
}

Experiment LongLease(const Effort& effort) {
  Experiment e{.name = "long_lease",
               .title = "The same with longer leases of the leader, report period 4 s",
               .x_label = "leader's lease (s)",
               .y_label = "s",
               .explanation =
                   "A longer lease spares a slow leader; without membership it is paid for with "
                   "every leader that ends. With it the time hardly depends on the lease.",
               .series = kOffAndOn,
               .points = {}};
  for (const double lease_s : {2.0, 4.0, 8.0, 16.0}) {
    MembershipCluster::Options options = ForReportPeriod(4);
    options.leader_ttl_s = lease_s;
    e.points.push_back(MeasurePoint(lease_s, options, effort, kTimes, TimeToHandover));
  }
  return e;
}

Experiment Notice(const Effort& effort) {
  Experiment e{.name = "notice",
               .title = "Time until another node suspects a frozen node that does not lead",
               .x_label = "report period (s)",
               .y_label = "s",
               .explanation = "Without membership nothing notices it; 30 s is the end of the run.",
               .series = kOffAndOn,
               .points = {}};
  for (const double heartbeat_interval_s : {3.0, 4.0, 10.0}) {
    e.points.push_back(MeasurePoint(
        heartbeat_interval_s, ForReportPeriod(heartbeat_interval_s), effort, kTimes,
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

Experiment PauseLength(const Effort& effort) {
  Experiment e{.name = "pause_length",
               .title = "Changes of the leader for one pause of it, report period 4 s",
               .x_label = "length of the pause (s)",
               .y_label = "changes of the leader",
               .explanation =
                   "A pause shorter than the lease should cost nothing, a longer one one change. "
                   "Nobody can tell the two apart before the pause is over.",
               .series = kOffAndOn,
               .points = {}};
  for (const double pause_s : {0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0}) {
    e.points.push_back(MeasurePoint(pause_s, ForReportPeriod(4), effort, kCounts,
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

// Nothing fails; what is done wrongly in an hour, of the kind that `count` reads off.
Experiment Wrongs(const std::string& name, const std::string& title, const std::string& x_label,
                  const std::vector<double>& xs,
                  const std::function<void(double, MembershipCluster::Options&)>& set,
                  const std::function<double(const MembershipCluster&)>& count,
                  const std::string& explanation, const Effort& effort) {
  Experiment e{.name = name,
               .title = title,
               .x_label = x_label,
               .y_label = "in an hour",
               .explanation = explanation,
               .series = kOffAndOn,
               .points = {}};
  // An hour of simulated time each: fewer of them, and no whole one for a single run.
  const double observed_s = effort.runs > 1 ? 3600 : 60;
  const Effort less{.runs = std::max(1, effort.runs / 10), .seed = effort.seed};
  for (const double x : xs) {
    MembershipCluster::Options options = ForReportPeriod(4);
    set(x, options);
    e.points.push_back(MeasurePoint(x, options, less, kCounts,
                                    [&count, observed_s](MembershipCluster& c, Samples& samples) {
                                      const double before = count(c);
                                      c.RunFor(observed_s);
                                      samples.Add(count(c) - before);
                                    }));
  }
  return e;
}

double Suspicions(const MembershipCluster& c) { return static_cast<double>(c.suspicions()); }
double Verdicts(const MembershipCluster& c) { return static_cast<double>(c.verdicts().size()); }

}  // namespace

std::vector<Experiment> MeasureMembership(const Effort& effort) {
  const std::vector<double> losses = {0, 0.01, 0.05, 0.1, 0.2};
  auto lossy = [](double x, MembershipCluster::Options& o) {
    o.loss = x;
    o.retransmit_s = 1;
  };
  const std::vector<double> loads = {0, 0.05, 0.1, 0.2, 0.4};
  auto busy = [](double x, MembershipCluster::Options& o) {
    o.busy = x;
    o.busy_s = 5;
  };
  return {
      Notice(effort),
      Handover(effort),
      LongLease(effort),
      PauseLength(effort),
      Wrongs("loss_suspicions", "Recorded suspicions of nodes that are well, against loss",
             "part of packets sent again", losses, lossy, Suspicions,
             "Each packet that is lost comes 1 s later, or more if it is lost again.", effort),
      Wrongs("loss_verdicts", "Verdicts on nodes that are well, against loss",
             "part of packets sent again", losses, lossy, Verdicts, "The best is none.", effort),
      Wrongs("load_suspicions", "Recorded suspicions of nodes that are well, against load",
             "part of ticks followed by up to 5 s without a turn", loads, busy, Suspicions,
             "Probes and answers are late as their sender is; who is late itself waits longer "
             "before it suspects others.",
             effort),
      Wrongs("load_verdicts", "Verdicts on nodes that are well, against load",
             "part of ticks followed by up to 5 s without a turn", loads, busy, Verdicts,
             "The best is none. A node that is late in refuting as well may be judged; it joins "
             "again at once.",
             effort),
  };
}

}  // namespace hallpier::report
