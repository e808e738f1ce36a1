// A pipeline whose last job has a due time keeps every controller busy in the dependency graph.
#include <cmath>

#include "../lib/standin.h"

using namespace standin;

namespace {

constexpr int kStages = 32;          // each: two jobs side by side, and one that awaits both
constexpr double kStepS = 1e-6;      // smallest difference of two estimates
constexpr double kUnansweredS = 75;  // "no question is answered for 75 s"

std::string Id(int number) {
  char id[32];
  std::snprintf(id, sizeof(id), "run-%06d", number);
  return id;
}

}  // namespace

int main() {
  OpenRecord(std::getenv("CASE_RECORD"));
  Site site;  // of ezm-balancing
  site.teams = "[[params.teams]]\nname = \"team\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
  StateService state(site.state);
  Worker::Options w;
  w.report_s = site.report_s;
  w.lease_s = site.lease_s;
  Cloud::Options co;
  co.skus = {{"vltava-small", 4, 16, 2}};
  co.halls = {"a", "b"};
  co.max_machines = 4;
  Cloud cloud(co, w, [](const Worker& m, const char* what, const std::string& task, const std::string& by) {
    Record("worker %s: %s %s (%s)", m.options().host.c_str(), what, task.c_str(), by.c_str());
  });
  Controllers c(Folder(), 3, site, state.port(), cloud.port());
  cloud.SetNodes(c.ports(), c.names());
  for (int i = 0; i < 3; ++i) c.Start(i);
  if (!c.WaitReady(15)) Finish(2, "the controllers did not become ready");
  SleepS(2);

  // The first job of the pipeline runs for long, so that the others wait.
  JobSpec first;
  first.id = Id(1);
  first.expect_s = 300;
  first.run_s = 300;
  if (Submit(c, first, 0) != 201) Finish(2, "the first job was not accepted");
  // Each stage: two jobs that await the stage before, and one that awaits both.
  std::string before = first.id;
  for (int stage = 0; stage < kStages; ++stage) {
    JobSpec left, right, join;
    left.id = Id(3 * stage + 2);
    right.id = Id(3 * stage + 3);
    join.id = Id(3 * stage + 4);
    left.awaits = right.awaits = {before};
    join.awaits = {left.id, right.id};
    left.expect_s = 10 + kStepS * std::exp2(stage);
    right.expect_s = 10;
    join.expect_s = 5;
    const bool last = stage == kStages - 1;
    if (last && Trouble()) join.due_s = 7200;
    for (const JobSpec* j : {&left, &right, &join}) {
      if (j == &join && last) {
        // The user of the last job goes on while the others ask.
        std::thread([&c, spec = *j] { Submit(c, spec, 1, 60); }).detach();
      } else if (int s = Submit(c, *j, (stage + 1) % 3, 20); s != 201 && s != 200) {
        Finish(2, "a job of the pipeline was not accepted");
      }
    }
    before = join.id;
  }
  const double accepted = Steady();
  SleepS(0.5);

  // Users ask for the first job at every node, every 5 s, and wait 2 s.
  double last_answer[3] = {Steady(), Steady(), Steady()};
  double longest = 0;
  // For a look by hand only: whether a restart of all controllers helps.
  bool restart = std::getenv("RESTART") != nullptr;
  while (Steady() - accepted < kUnansweredS + 5) {
    for (int i = 0; i < 3; ++i) {
      Response r = Call(c.port(i), "GET", "/submissions/" + first.id, "", 2);
      Response ready = Call(c.port(i), "GET", "/ready", "", 1);
      Record("user: poll %s at %s: %d %s; ready: %d; processor %.1f s", first.id.c_str(),
             c.name(i).c_str(), r.status, r.body.substr(0, 80).c_str(), ready.status,
             c.CpuSeconds(i));
      if (r.status == 200) last_answer[i] = Steady();
      c.Ended(i);
    }
    const double answered = std::max({last_answer[0], last_answer[1], last_answer[2]});
    longest = std::max(longest, Steady() - answered);
    if (longest > kUnansweredS) Finish(1, "an accepted job got no answer from any node for 75 s");
    if (restart && Steady() - accepted > 20) {
      restart = false;
      c.KillAll();
      SleepS(3);
      for (int i = 0; i < 3; ++i) c.Start(i);
    }
    SleepS(1);
  }
  Record("longest time without an answer: %.1f s", longest);
  Finish(0, "questions about the accepted job were answered");
}
