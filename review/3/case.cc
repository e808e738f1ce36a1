// A leader that is cut from the state service and the other controllers, and has a successor, starts a
// task of a job that the successor has confirmed as cancelled.
#include "../lib/standin.h"

using namespace standin;

namespace {

std::mutex g_mutex;
double g_told = -1;        // when the user was told that the job is cancelled
double g_started = -1;     // first start of the job's task
std::string g_started_by;  // the message with the start command
double g_sent = -1;        // when the answered report was sent, if it came in an answer

}  // namespace

int main() {
  OpenRecord(std::getenv("CASE_RECORD"));
  Site site;  // of ezm-balancing-hunt
  site.report_s = 10;
  site.lease_s = 45;
  site.cancel_s = 70;
  site.teams = "[[params.teams]]\nname = \"team\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
  StateService state(site.state);
  Cloud::Options co;
  co.skus = {{"vltava-small", 4, 16, 2}};
  co.halls = {"a", "b"};
  co.max_machines = 1;
  Worker::Options w;
  w.report_s = site.report_s;
  w.lease_s = site.lease_s;
  const std::string job = "run-000002";
  Cloud cloud(co, w, [&](const Worker& m, const char* what, const std::string& task, const std::string& by) {
    Record("worker %s: %s %s (%s)", m.options().host.c_str(), what, task.c_str(), by.c_str());
    std::lock_guard lock(g_mutex);
    if (std::string(what) == "START" && task == job + "/0" && g_started < 0) {
      g_started = Steady();
      g_started_by = by;
      g_sent = m.last_sent_at();
    }
  });
  Controllers c(Folder(), 3, site, state.port(), cloud.port());
  cloud.SetNodes(c.ports(), c.names());
  cloud.on_new = [](Worker& m) { m.log_reports = true; };
  for (int i = 0; i < 3; ++i) c.Start(i);
  if (!c.WaitReady(15)) Finish(2, "the controllers did not become ready");

  // A first job, so that a machine is rented and reports to the leader.
  JobSpec first;
  first.id = "run-000001";
  first.run_s = 2;
  if (Submit(c, first, 0) != 201) Finish(2, "the first job was not accepted");
  while (PhaseOf(Call(c.port(0), "GET", "/submissions/" + first.id, "", 2)) != "done") {
    if (Now() > 50) Finish(2, "the first job was not done");
    SleepS(0.5);
  }
  Worker* machine = cloud.machines().at(0);
  // The leader is the controller that the machine's reports were answered by.
  auto node_of = [&](const std::string& name) {
    for (int i = 0; i < 3; ++i)
      if (c.name(i) == name) return i;
    return -1;
  };
  // Right after a report of the idle machine, so that its next one comes 7.5 to 12.5 s later.
  while (machine->tasks() > 0) {
    if (Now() > 60) Finish(2, "the machine did not become idle");
    SleepS(0.02);
  }
  SleepS(1);  // it tells of that at once
  const double last_report = machine->last_answered_at();
  while (machine->last_answered_at() == last_report) {
    if (Now() > 75) Finish(2, "the machine did not report");
    SleepS(0.02);
  }
  const int leader = node_of(machine->answered_by());
  if (leader < 0) Finish(2, "no leader");
  const int other = (leader + 1) % 3;
  Record("leader: %s", c.name(leader).c_str());
  SleepS(0.2);

  // The machine is cut for a few seconds: commands to it are reset.
  const bool trouble = Trouble();
  if (trouble) {
    Record("TROUBLE: %s is cut", machine->options().host.c_str());
    machine->cut = true;
  }
  const int refused = machine->refused_commands();
  JobSpec second;
  second.id = job;
  second.expect_s = second.run_s = 60;
  if (Submit(c, second, other) != 201) Finish(2, "the job was not accepted");
  // Until the leader has tried to start the task.
  const double until = Steady() + 5;
  while (trouble ? machine->refused_commands() == refused : g_started < 0) {
    if (Steady() > until) Finish(2, "the leader did not try to start the task in time");
    SleepS(0.02);
  }
  if (trouble) {
    Record("TROUBLE: %s is cut from the state service and the other controllers", c.name(leader).c_str());
    c.CutState(leader, true);
    c.CutPeers(leader, true);
  }
  // Until another controller leads; seen in the leader's record, which serves the timing alone.
  int cancel_at = other;
  for (const double limit = Steady() + 12; trouble; SleepS(0.02)) {
    Doc record;
    record.Parse(state.Value("hallpier/a/leader").c_str());
    const int now_leads =
        record.HasParseError() || !record.IsObject() ? -1 : node_of(Text(record, "node"));
    if (now_leads >= 0 && now_leads != leader) {
      cancel_at = now_leads;
      Record("%s leads now", c.name(now_leads).c_str());
      break;
    }
    if (Steady() > limit) Finish(2, "no other controller took the lead");
  }
  Response r = Call(c.port(cancel_at), "POST", "/submissions/" + job + "/withdraw", "{}", 3);
  g_told = Steady();
  Record("user: withdraw %s at %s: %d %s", job.c_str(), c.name(cancel_at).c_str(), r.status, r.body.c_str());
  if (r.status != 200 || PhaseOf(r) != "cancelled") Finish(2, "the job was not cancelled at once");
  if (trouble) {
    machine->cut = false;
    Record("%s is no longer cut", machine->options().host.c_str());
  }
  for (int i = 0; i < 35; ++i) {
    {
      std::lock_guard lock(g_mutex);
      // A start whose command was in flight when the user was told is allowed: one that came by a
      // command, or in the answer to a report that was sent before.
      if (g_started > g_told && g_sent > g_told &&
          g_started_by.compare(0, 6, "report") == 0) {
        Record("told at %.3f; started %.3f s later, %s, which was sent after the user was told",
               g_told - g_start, g_started - g_told, g_started_by.c_str());
        SleepS(3);
        Finish(1, "a task was started after its user was told that the job is cancelled");
      }
    }
    SleepS(1);
  }
  Finish(0, "no task of the cancelled job was started");
}
