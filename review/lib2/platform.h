// Stand-ins of the second review: a cloud with workers, users, and the controllers' processes.
//
// The state service is the project's own stand-in (tests/fakes/fake_state_service.h). The workers
// follow "Workers -> controller nodes" of the protocol page, with its limits on the size of
// requests and of lines. Everything runs on loopback, on the real clock, in one event loop; the
// controllers are separate processes.
#pragma once

#include <sys/types.h>

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "async/event_loop.h"
#include "async/scope.h"
#include "async/task.h"
#include "async/wait.h"
#include "fakes/fake_state_service.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace review {

using hallpier::async::EventLoop;
using hallpier::async::Scope;
using hallpier::async::Sleep;
using hallpier::async::Task;
using hallpier::wire::HttpRequest;
using hallpier::wire::HttpResponse;

// What a job is, and what its tasks do.
struct JobInfo {
  std::string id;
  std::string lane = "forecast-runs";
  std::string team = "desk-brno";
  bool standing = false;
  std::string urgency = "normal";
  int pieces = 1;
  double cpus = 1;
  double memory_gb = 1;
  std::string hall;  // empty: any
  bool one_zone = false;
  bool spread = false;
  bool lendable = true;
  double expect_s = 40;
  double run_s = 40;      // real run time of a task of an array
  bool broken = false;    // submitted with a mistake: fails on every machine
  double size_gb = 0.4;   // of its image, which all jobs share
  std::string Body() const;
};

struct Flavor {
  std::string sku = "vltava-small";
  double cpus = 4;
  double memory_gb = 16;
  double fetch_gb_per_s = 0.4;
  double boot_s = 35;
};

// Settings that every node gets; the defaults are those of the first deployment of the brief.
struct Site {
  int nodes = 3;
  std::vector<std::string> zones = {"praha-a", "praha-b", "brno-a", "ostrava-a"};
  Flavor flavor;
  double report_s = 3;
  double lease_s = 45;
  double cancel_s = 70;
  double boot_s = 2;  // real boot time; "at times machines are up within a second or two"
  // Machines that can be had, and that are up at the start, by zone.
  std::map<std::string, int> capacity;
  std::map<std::string, int> initial;
};

class Platform;

// One machine with its worker.
class Worker {
 public:
  struct Piece {
    std::string job;
    int index = 0;
    uint64_t attempt = 0;
    std::string phase;  // pulling, running, ended
    std::string cause;
    double ends_at = 0;
  };
  Worker(Platform& platform, std::string name, std::string zone, std::string endpoint,
         double up_at);
  bool Start();
  void End();
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const std::string& endpoint() const { return endpoint_; }
  bool up() const;
  double rented_at() const { return rented_at_; }
  // While it is sick, the machine fails every task that it starts.
  void SetSick(bool sick) { sick_ = sick; }
  bool sick() const { return sick_; }
  // While it is slow, its tasks take `factor` times as long.
  void SetSlow(double factor);
  // A hanging machine does not execute anything; it may go on later.
  void SetHang(bool hang);
  int CountRunning(const std::string& job) const;
  int CountAlive() const;
  double FreeCpus() const;
  double FreeMemory() const;
  const std::map<std::string, Piece>& pieces() const { return pieces_; }

 private:
  std::string Report();
  void Execute(const hallpier::wire::JsonValue& orders, const char* route);
  void Run(const std::string& name, uint64_t attempt, const char* route);
  void Begin(const std::string& name, Piece& piece);
  void EndPiece(const std::string& name, Piece& piece, const std::string& cause);
  void ExpireLease();
  Task<> TickLoop();
  Task<> ReportLoop();
  Task<> SendReport();
  Task<HttpResponse> Handle(HttpRequest request);
  Task<> AwaitAwake();

  Platform& platform_;
  const std::string name_, zone_, endpoint_;
  const double rented_at_, up_at_;
  Scope scope_;
  hallpier::net::HttpServer server_;
  hallpier::net::HttpClient client_;
  std::map<std::string, Piece> pieces_;  // by the name of the piece
  bool sick_ = false;
  double slow_ = 1;
  bool hang_ = false;
  double hang_since_ = 0;
  bool ended_ = false;
  uint64_t tenure_ = 1, tick_ = 0, epoch_ = 0;
  size_t controller_ = 0;
  double lease_from_ = 0, next_report_ = 0, last_report_ = -10;
  bool changed_ = true;
  bool image_cached_ = false;
};

// One controller's process.
struct Node {
  std::string name, area, listen, peer_bind, settings_file;
  pid_t pid = 0;
};

class Platform {
 public:
  Platform(std::string root, std::string folder, Site site);
  ~Platform();

  Scope& scope() { return scope_; }
  EventLoop& loop() { return loop_; }
  double Now() const { return loop_.Now() - started_at_; }
  const Site& site() const { return site_; }
  Site& site() { return site_; }
  std::vector<Node>& nodes() { return nodes_; }
  hallpier::testing_support::FakeStateService& state() { return *state_; }
  std::map<std::string, std::unique_ptr<Worker>>& workers() { return workers_; }
  const JobInfo* Job(const std::string& id) const;
  const std::string& directory() const { return directory_; }

  // Appends a line to record.txt, with the time since the start.
  void Log(const std::string& line);
  bool Start();
  void StartNode(Node& node);
  void SignalNode(Node& node, int signal);
  void KillNode(Node& node);
  // Runs the scenario to its end and returns its exit code; 2 after `limit_s`.
  int Run(std::function<Task<int>(Platform&)> scenario, double limit_s);

  // Users. A request goes to the nodes in turn, with the waits of the protocol page.
  struct Answer {
    int status = 0;  // 0: no answer
    std::string phase;
    int done = 0, running = 0;
  };
  Task<Answer> Ask(size_t node, std::string method, std::string path, std::string body,
                   double timeout_s);
  Task<bool> Submit(JobInfo job);
  Task<bool> Withdraw(std::string id);
  Task<Answer> Poll(std::string id);
  Task<bool> AwaitReady();
  Task<> Pause(double seconds);

  // Counts, over all machines.
  int Running(const std::string& job) const;
  // Called by workers.
  void OnBegin(Worker& worker, const std::string& piece, const std::string& job);
  void OnEnd(Worker& worker, const std::string& piece, const std::string& job,
             const std::string& cause);
  bool HasResult(const std::string& piece) const { return results_.contains(piece); }
  std::function<void(Worker&, const std::string& job, const std::string& piece)> on_begin;
  std::function<void(Worker&, const std::string& job, const std::string& piece,
                     const std::string& cause)>
      on_end;
  std::function<void(Worker&, size_t bytes, const char* what, const std::string& text)> on_message;
  // A response or request above 64 KiB is against the page; a worker does not take it.
  bool drop_oversized = true;
  int ran_twice = 0;
  int begun = 0;

 private:
  Task<HttpResponse> HandleCloud(HttpRequest request);
  HttpResponse Rent(const hallpier::wire::JsonValue& request);
  void AddMachine(const std::string& zone, bool spot, double up_at);
  std::string SettingsText(size_t node) const;
  Task<> RunScenario(std::function<Task<int>(Platform&)> scenario, int* result);

  const std::string root_, folder_;
  Site site_;
  EventLoop loop_;
  double started_at_ = 0;
  Scope scope_;
  std::FILE* record_ = nullptr;
  std::string directory_;
  std::vector<std::string> command_;  // of the deploy file
  std::unique_ptr<hallpier::testing_support::FakeStateService> state_;
  std::unique_ptr<hallpier::net::HttpServer> cloud_;
  hallpier::net::HttpClient users_{8, 1 << 20};
  std::string state_address_, cloud_address_;
  std::vector<Node> nodes_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Worker>> gone_;
  std::map<std::string, std::string> rentals_;
  std::map<std::string, JobInfo> jobs_;
  std::set<std::string> results_;
  int next_machine_ = 1;
  size_t next_node_ = 0;
};

std::string FreeAddress();
// "TROUBLE=0" runs a case without its disruption.
bool Trouble();

}  // namespace review
