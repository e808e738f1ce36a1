// The cases of the second review. Usage: cases CASE ROOT FOLDER
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include <cstdio>
#include <cstring>

#include "platform.h"

namespace review {
namespace {

// ---- A service after machines were sick

constexpr int kReplicas = 3;
constexpr int kSick = 3;  // of 24 machines, as 1 of 8 in the site file

Task<int> SickMachines(Platform& platform) {
  bool ready = co_await platform.AwaitReady();
  if (!ready) co_return 2;
  co_await platform.Pause(4);  // all machines have reported
  JobInfo service;
  service.id = "run-000101";
  service.lane = "forecast-runs";
  service.standing = true;
  service.urgency = "normal";
  service.pieces = kReplicas;
  service.cpus = 4;
  service.memory_gb = 12;
  int sick = 0;
  for (auto& [name, worker] : platform.workers()) {
    if (!Trouble() || sick == kSick) break;
    worker->SetSick(true);
    ++sick;
    platform.Log("sick " + name);
  }
  bool accepted = co_await platform.Submit(service);
  if (!accepted) co_return 2;
  co_await platform.Pause(12);
  for (auto& [name, worker] : platform.workers()) worker->SetSick(false);
  platform.Log("all machines are well again");
  // "Once the troubles are over, no job is left waiting for 90 s while a machine that fits has
  // room and its team is under its limit."
  double waiting_since = platform.Now();
  double longest = 0;
  for (int second = 0; second < 95; ++second) {
    co_await platform.Pause(1);
    const int running = platform.Running(service.id);
    int room = 0;
    for (const auto& [name, worker] : platform.workers()) {
      if (worker->up() && worker->FreeCpus() >= service.cpus) ++room;
    }
    if (running >= kReplicas || room == 0) waiting_since = platform.Now();
    longest = std::max(longest, platform.Now() - waiting_since);
    if (second % 5 == 0) {
      platform.Log("replicas running " + std::to_string(running) + ", machines with room " +
                   std::to_string(room));
    }
  }
  auto answer = co_await platform.Poll(service.id);
  (void)answer;
  platform.Log("longest wait with room " + std::to_string(longest));
  co_return longest > 90 ? 1 : 0;
}

Site SickSite() {
  Site site;
  for (const std::string& zone : site.zones) {
    site.initial[zone] = 6;
    site.capacity[zone] = 7;
  }
  return site;
}

// ---- A long queue for one zone

Task<int> LongQueue(Platform& platform) {
  bool ready = co_await platform.AwaitReady();
  if (!ready) co_return 2;
  co_await platform.Pause(4);
  const int jobs = Trouble() ? 2 : 1;
  for (int i = 0; i < jobs; ++i) {
    JobInfo job;
    job.id = "run-00020" + std::to_string(i);
    job.lane = "gate-bids";
    job.urgency = "urgent";
    job.pieces = 2600;
    job.cpus = 2.6;
    job.memory_gb = 7.6;
    job.expect_s = job.run_s = 60;
    bool accepted = co_await platform.Submit(job);
    if (!accepted) co_return 2;
  }
  co_await platform.Pause(6);
  platform.Log("no more jobs of the class come");
  JobInfo other;
  other.id = "run-000300";
  other.pieces = 4;
  other.memory_gb = 2.2;
  other.run_s = other.expect_s = 20;
  bool accepted = co_await platform.Submit(other);
  if (!accepted) co_return 2;
  double waiting_since = platform.Now();
  double longest = 0;
  for (int second = 0; second < 95; ++second) {
    co_await platform.Pause(1);
    int room = 0;
    for (const auto& [name, worker] : platform.workers()) {
      if (worker->up() && worker->FreeCpus() >= other.cpus &&
          worker->FreeMemory() >= other.memory_gb) {
        ++room;
      }
    }
    if (platform.Running(other.id) > 0 || room == 0) break;
    longest = std::max(longest, platform.Now() - waiting_since);
    if (second % 5 == 0) platform.Log("waits, machines with room " + std::to_string(room));
  }
  auto answer = co_await platform.Poll(other.id);
  (void)answer;
  co_return longest > 90 ? 1 : 0;
}

Site QueueSite() {
  Site site;
  for (const std::string& zone : site.zones) {
    site.initial[zone] = 2;
    site.capacity[zone] = 2;
  }
  return site;
}

// ---- A service in one zone, and the tasks in other zones

Task<int> OneZone(Platform& platform) {
  bool ready = co_await platform.AwaitReady();
  if (!ready) co_return 2;
  co_await platform.Pause(2);
  JobInfo lower;
  lower.id = "run-000400";
  lower.pieces = 12;
  lower.hall = "praha-b";
  lower.memory_gb = 2.2;
  lower.expect_s = lower.run_s = 40;
  bool accepted = co_await platform.Submit(lower);
  if (!accepted) co_return 2;
  co_await platform.Pause(2);
  JobInfo service;
  service.id = "run-000401";
  service.lane = "gate-bids";
  service.standing = true;
  service.urgency = "urgent";
  service.pieces = 4;
  service.cpus = 2;
  service.memory_gb = 7.6;
  service.one_zone = true;
  std::set<std::string> zones;
  std::map<std::string, int> stops;  // of the lower job's tasks, by task
  platform.on_begin = [&](Worker& worker, const std::string& job, const std::string&) {
    if (job == service.id) zones.insert(worker.zone());
  };
  platform.on_end = [&](Worker&, const std::string& job, const std::string& piece,
                        const std::string& cause) {
    if (job == lower.id && cause == "stopped") ++stops[piece];
  };
  accepted = co_await platform.Submit(service);
  if (!accepted) co_return 2;
  bool done = false;
  const double since = platform.Now();
  while (platform.Now() < since + 100 && !done) {
    co_await platform.Pause(5);
    auto answer = co_await platform.Poll(lower.id);
    done = answer.phase == "done";
  }
  int most = 0;
  int total = 0;
  for (const auto& [piece, count] : stops) {
    total += count;
    most = std::max(most, count);
  }
  const bool in_its_zone_alone = zones.size() == 1 && !zones.contains(lower.hall);
  platform.Log("replicas running " + std::to_string(platform.Running(service.id)) + " in " +
               (zones.empty() ? "none" : *zones.begin()) + "; the job in praha-b is " +
               (done ? "done" : "not done") + ", its tasks were stopped " + std::to_string(total) +
               " times, one of them " + std::to_string(most) + " times");
  if (!in_its_zone_alone) co_return 2;
  co_return !done && most > 10 ? 1 : 0;
}

Site OneZoneSite() {
  Site site;
  site.initial = {{"praha-a", 1}, {"praha-b", 4}};
  site.capacity = {{"praha-a", Trouble() ? 1 : 2}, {"praha-b", 4}};
  return site;
}

// ---- A job with a mistake in a zone with two machines

Task<int> Mistake(Platform& platform) {
  bool ready = co_await platform.AwaitReady();
  if (!ready) co_return 2;
  co_await platform.Pause(2);
  // Other jobs, so that one in 26 has a mistake.
  for (int i = 0; i < 24; ++i) {
    JobInfo other;
    other.id = "run-0008" + std::to_string(10 + i);
    other.hall = "praha-a";
    other.memory_gb = 2.2;
    other.expect_s = other.run_s = 1;
    bool accepted = co_await platform.Submit(other);
    if (!accepted) co_return 2;
  }
  JobInfo lower;
  lower.id = "run-000700";
  lower.pieces = 8;
  lower.hall = "praha-b";
  lower.memory_gb = 2.2;
  lower.expect_s = lower.run_s = 30;
  bool accepted = co_await platform.Submit(lower);
  if (!accepted) co_return 2;
  co_await platform.Pause(2);
  JobInfo urgent;
  urgent.id = "run-000701";
  urgent.lane = "gate-bids";
  urgent.urgency = "urgent";
  urgent.pieces = 4;
  urgent.cpus = 2;
  urgent.memory_gb = 7.6;
  urgent.hall = "praha-b";
  urgent.expect_s = urgent.run_s = 20;
  urgent.broken = Trouble();
  int starts = 0;
  std::map<std::string, int> stops;  // of the lower job's tasks, by task
  platform.on_begin = [&](Worker&, const std::string& job, const std::string&) {
    if (job == urgent.id) ++starts;
  };
  platform.on_end = [&](Worker&, const std::string& job, const std::string& piece,
                        const std::string& cause) {
    if (job == lower.id && cause == "stopped") ++stops[piece];
  };
  accepted = co_await platform.Submit(urgent);
  if (!accepted) co_return 2;
  bool done = false;
  const double since = platform.Now();
  while (platform.Now() < since + 100 && !done) {
    co_await platform.Pause(5);
    auto answer = co_await platform.Poll(lower.id);
    done = answer.phase == "done";
  }
  int most = 0;
  int total = 0;
  for (const auto& [piece, count] : stops) {
    total += count;
    most = std::max(most, count);
  }
  platform.Log("the urgent job's tasks were started " + std::to_string(starts) +
               " times; the other job is " + (done ? "done" : "not done") +
               ", its tasks were stopped " + std::to_string(total) + " times, one of them " +
               std::to_string(most) + " times");
  co_return !done && total > 10 * starts ? 1 : 0;
}

Site MistakeSite() {
  Site site;
  site.initial = {{"praha-a", 4}, {"praha-b", 2}};
  site.capacity = site.initial;
  return site;
}

// ---- Machines that were slow and hold a replica

Task<int> SlowMachines(Platform& platform) {
  bool ready = co_await platform.AwaitReady();
  if (!ready) co_return 2;
  co_await platform.Pause(2);
  JobInfo service;
  service.id = "run-000600";
  service.standing = true;
  service.pieces = 3;
  service.memory_gb = 9;  // one on each machine
  bool accepted = co_await platform.Submit(service);
  if (!accepted) co_return 2;
  while (platform.Running(service.id) < 3 && platform.Now() < 15) co_await platform.Pause(0.2);
  std::vector<Worker*> hosts;
  for (auto& [name, worker] : platform.workers()) {
    if (worker->CountRunning(service.id) > 0) hosts.push_back(worker.get());
  }
  if (hosts.size() != 3) co_return 2;
  for (Worker* worker : hosts) {
    if (!Trouble()) break;
    worker->SetSlow(4);
    platform.Log("slow " + worker->name());
  }
  JobInfo small;
  small.id = "run-000601";
  small.pieces = 140;
  small.memory_gb = 2.2;
  small.run_s = small.expect_s = 1.5;
  accepted = co_await platform.Submit(small);
  if (!accepted) co_return 2;
  Platform::Answer answer;
  while (answer.phase != "done" && platform.Now() < 25) {
    co_await platform.Pause(0.5);
    answer = co_await platform.Poll(small.id);
  }
  for (Worker* worker : hosts) worker->SetSlow(1);
  platform.Log("no machine is slow any more");
  JobInfo large;
  large.id = "run-000602";
  large.pieces = 11;
  large.cpus = 4;
  large.memory_gb = 12;
  large.run_s = large.expect_s = 200;
  accepted = co_await platform.Submit(large);
  if (!accepted) co_return 2;
  co_await platform.Pause(1.5);
  JobInfo last;
  last.id = "run-000603";
  last.pieces = 3;
  last.memory_gb = 2.2;
  last.run_s = last.expect_s = 20;
  accepted = co_await platform.Submit(last);
  if (!accepted) co_return 2;
  const double since = platform.Now();
  bool started = false;
  while (platform.Now() < since + 90.5 && !started) {
    co_await platform.Pause(0.5);
    int room = 0;
    for (const auto& [name, worker] : platform.workers()) {
      const bool fits = worker->FreeCpus() >= last.cpus && worker->FreeMemory() >= last.memory_gb;
      if (worker->up() && fits) ++room;
      for (const auto& [piece, held] : worker->pieces()) started = started || held.job == last.id;
    }
    if (room == 0 && !started) co_return 2;
  }
  platform.Log(std::string("the last job's tasks ") + (started ? "were placed" : "still wait") +
               " after " + std::to_string(platform.Now() - since) + " s");
  co_return started ? 0 : 1;
}

Site SlowSite() {
  Site site;
  site.initial = {{"praha-a", 4}, {"praha-b", 4}, {"brno-a", 3}, {"ostrava-a", 3}};
  site.capacity = site.initial;
  return site;
}

struct Case {
  const char* name;
  Site (*site)();
  Task<int> (*scenario)(Platform&);
};

constexpr Case kCases[] = {
    {"sick-machines", SickSite, SickMachines},
    {"long-queue", QueueSite, LongQueue},
    {"slow-machines", SlowSite, SlowMachines},
    {"one-zone", OneZoneSite, OneZone},
    {"mistake", MistakeSite, Mistake},
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  for (const auto& each : review::kCases) {
    if (std::strcmp(each.name, argv[1]) != 0) continue;
    review::Platform platform(argv[2], argv[3], each.site());
    return platform.Run(each.scenario, 117);
  }
  std::fprintf(stderr, "no such case: %s\n", argv[1]);
  return 2;
}
