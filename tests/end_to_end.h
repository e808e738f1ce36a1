// Fixture that runs complete controllers on loopback against a fake state service and a fake cloud.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "config/operator_options.h"
#include "controller/controller.h"
#include "fakes/fake_cloud.h"
#include "fakes/fake_state_service.h"
#include "fixtures.h"
#include "model/job.h"
#include "model/key_value.h"
#include "port_block.h"
#include "wire/json.h"
#include "wire/user_codec.h"

namespace hallpier::testing_support {

inline constexpr double kHeartbeatIntervalS = 0.2;

class EndToEndTest : public testing::Test {
 protected:
  EndToEndTest() : scope_(loop_), client_(4, 1 << 20), state_client_(scope_, StateOptions()) {}

  ~EndToEndTest() override {
    // These callbacks may use members of a derived fixture, which are already destroyed.
    if (state_) state_->SetWriteHook({});
    if (cloud_) cloud_->SetStartHook({});
    // All nodes shut down in order. A coroutine that does not end makes the test hang here.
    size_t running = nodes_.size() - shut_down_.size();
    auto on_shutdown = [&] {
      if (--running == 0) loop_.Stop();
    };
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!shut_down_.contains(i)) nodes_[i]->Shutdown(on_shutdown);
    }
    if (running > 0) loop_.Run();
    scope_.Cancel();
    scope_.Spawn(StopWhenOthersHaveEnded());
    loop_.Run();
  }

  // Stops the loop once no other coroutine of the scope is running.
  async::Task<> StopWhenOthersHaveEnded() {
    while (scope_.active_coroutines() > 1) {
      async::Sleep turn(idle_, 0);
      co_await turn;
    }
    loop_.Stop();
  }

  // Starts the shutdown of a node's current process and does not wait for it.
  void ShutDownNode(int node) {
    shut_down_.insert(current_process_.at(node));
    nodes_[current_process_.at(node)]->Shutdown([] {});
  }

  // Returns the address of a port that is reserved for this process, so that tests can run in
  // parallel.
  static std::string AddressAt(int n) { return PortBlock::OfProcess().AddressAt(n); }

  config::Settings NodeSettings(int i, int count) {
    config::Settings s = TestSettings();
    s.node = "node-" + std::to_string(i);
    s.listen = AddressAt(2 * i);
    s.peer_bind = AddressAt(2 * i + 1);
    for (int j = 0; j < count; ++j) {
      if (j != i) s.seeds.push_back({"node-" + std::to_string(j), "a", AddressAt(2 * j + 1)});
    }
    s.cluster_size = count;
    s.state = i == partitioned_node_ || i == refused_node_ ? AddressAt(22) : AddressAt(20);
    // The partitioned node has no links to the other nodes, nor they to it.
    if (i == partitioned_node_) {
      for (auto& seed : s.seeds) seed.endpoint = AddressAt(23);
    } else {
      for (auto& seed : s.seeds) {
        if (seed.node == "node-" + std::to_string(partitioned_node_)) seed.endpoint = AddressAt(23);
      }
    }
    s.cloud = AddressAt(21);
    s.heartbeat_interval_s = kHeartbeatIntervalS;
    s.lease_s = lease_s_;
    if (cancel_s_) s.cancel_s = *cancel_s_;
    s.list_lag_s = 0.1;
    s.cloud_rps = 50;
    s.state_rps = state_rps_;
    s.state_write_rps = 500;
    s.next_state_limits = next_state_limits_;
    s.teams.push_back({"other", 0, 0, 0, 0});
    if (cpus_max_ > 0) s.teams[0].cpus_max = cpus_max_;
    if (state_write_rps_ > 0) s.state_write_rps = state_write_rps_;
    return s;
  }

  void Start(int count) {
    StartServices(count);
    // The partitioned or refused node starts alone, so that it becomes the leader.
    StartNodes(0, partitioned_node_ >= 0 || refused_node_ >= 0 ? 1 : count, count);
  }

  void StartServices(int count) {
    std::string error;
    FakeCloud::Options options;
    for (int i = 0; i < count; ++i) {
      options.worker.controllers.push_back(AddressAt(2 * i));
      options.worker.nodes.push_back("node-" + std::to_string(i));
    }
    options.worker.heartbeat_interval_s = kHeartbeatIntervalS;
    options.worker.lease_s = lease_s_;
    options.worker.run_s = run_s_;
    options.worker.failing_tasks = failing_tasks_;
    options.worker.command_copy_delays_s = command_copy_delays_s_;
    options.first_port = PortBlock::OfProcess().first() + kFirstWorkerPort;
    options.ports = kWorkerPorts;
    state_ = std::make_unique<FakeStateService>(scope_);
    cloud_ = std::make_unique<FakeCloud>(scope_, options);
    RequireStarted(state_->Listen(AddressAt(20), &error), "the state service", error);
    RequireStarted(state_->ListenSecondary(AddressAt(22), &error),
                   "the second address of the state service", error);
    RequireStarted(cloud_->Listen(AddressAt(21), &error), "the cloud", error);
  }

  void StartNodes(int first, int end, int count) {
    std::string error;
    for (int i = first; i < end; ++i) {
      current_process_[i] = nodes_.size();
      nodes_.push_back(std::make_unique<controller::Controller>(loop_, NodeSettings(i, count),
                                                                operator_options_));
      RequireStarted(nodes_.back()->Start(&error), "node " + std::to_string(i), error);
    }
  }

  // Shuts down a node's current process and waits until it has ended.
  async::Task<> ShutDownAndWait(int node) {
    bool ended = false;
    shut_down_.insert(current_process_.at(node));
    nodes_[current_process_.at(node)]->Shutdown([&ended] { ended = true; });
    while (!ended) {
      async::Sleep turn(scope_, 0.005);
      co_await turn;
    }
  }

  // Shuts down a node and starts it again at once with the same settings.
  async::Task<> Restart(int node, int count) {
    co_await ShutDownAndWait(node);
    StartNodes(node, node + 1, count);
  }

  // Runs the test's coroutine to its end. The destructor then shuts the nodes down.
  void Run(async::Task<> script) {
    scope_.Spawn(Script(std::move(script)));
    loop_.Run();
    EXPECT_TRUE(script_finished_);
  }

  async::Task<> Script(async::Task<> script) {
    async::Task<> owned = std::move(script);
    co_await owned;
    script_finished_ = true;
    loop_.Stop();
  }

  async::Task<wire::HttpResponse> Ask(int node, std::string method, std::string target,
                                      std::string body = "") {
    wire::HttpRequest q{.method = method, .target = target, .body = body};
    auto r = co_await client_.Call(scope_, AddressAt(2 * node), std::move(q), 2, true);
    co_return r.value_or(wire::HttpResponse{.status = 0, .body = ""});
  }

  static std::string SubmissionBody(const model::JobSpec& spec) {
    wire::JsonWriter w;
    wire::WriteJobSpec(w, spec);
    return w.Take();
  }

  // Returns the heartbeat of a worker that exists only in the test. A node that answers it with
  // status 200 is entitled to send commands to workers.
  static std::string HeartbeatBody(uint64_t sequence) {
    return R"({"host":"vm-x","endpoint":"127.0.0.1:1","flavor":"odd","hall":"a","lendable":false,)"
           R"("tenure":1,"tick":)" +
           std::to_string(sequence) + R"(,"epoch":0,"reclaimS":null,"pieces":[]})";
  }

  async::Task<> Pause(double s) {
    async::Sleep pause(scope_, s);
    co_await pause;
  }

  // Repeats a request until the response has status `status` and contains `text`. Returns false if
  // `limit_s` passes before that.
  async::Task<bool> AskUntil(int node, std::string method, std::string target, std::string body,
                             int status, std::string text, double limit_s) {
    const double end = loop_.Now() + limit_s;
    while (loop_.Now() < end) {
      wire::HttpResponse r = co_await Ask(node, method, target, body);
      if (r.status == status && r.body.find(text) != std::string::npos) co_return true;
      async::Sleep pause(scope_, 0.1);
      co_await pause;
    }
    co_return false;
  }

  // Waits until node 0 leads, then starts nodes 1 and 2.
  async::Task<> StartOthersOnceNode0Leads() {
    bool ok = co_await AskUntil(0, "POST", "/checkin", HeartbeatBody(1), 200, "epoch", 10);
    EXPECT_TRUE(ok);
    StartNodes(1, 3, 3);
  }

  static store::Client::Options StateOptions() {
    store::Client::Options o;
    o.endpoint = AddressAt(20);
    o.rps = o.write_rps = 10000;
    o.max_response_bytes = 1 << 20;
    return o;
  }

  // Writes to the state service like another process.
  async::Task<> WriteRecord(std::string key, std::string value) {
    std::vector<model::Precondition> preconditions;
    std::vector<model::KeyWrite> writes = {{std::move(key), std::move(value), 0}};
    auto r = co_await state_client_.Commit(std::move(preconditions), std::move(writes));
    EXPECT_TRUE(r.ok());
  }

  // Waits until `condition` holds or `limit_s` seconds have passed. Returns whether it holds.
  async::Task<bool> WaitFor(double limit_s, std::function<bool()> condition) {
    const double end = loop_.Now() + limit_s;
    while (!condition() && loop_.Now() < end) co_await Pause(0.02);
    co_return condition();
  }

  // Lower ports of the block belong to nodes and services.
  static constexpr int kFirstWorkerPort = 30;
  static constexpr int kWorkerPorts = PortBlock::kPorts - 1 - kFirstWorkerPort;

  async::EventLoop loop_;
  async::Scope scope_;
  async::Scope idle_{loop_};
  std::set<size_t> shut_down_;             // indexes in nodes_
  std::map<int, size_t> current_process_;  // by node: index in nodes_ of its newest process
  net::HttpClient client_;
  store::Client state_client_;
  std::unique_ptr<FakeStateService> state_;
  std::unique_ptr<FakeCloud> cloud_;
  std::vector<std::unique_ptr<controller::Controller>> nodes_;
  bool script_finished_ = false;
  double state_rps_ = 2000;
  double state_write_rps_ = 0;  // 0: the value that NodeSettings() sets
  double cpus_max_ = 0;         // quota of the team; 0: no limit
  double run_s_ = 0.3;
  // Faults of the workers (FakeWorker::Options).
  uint32_t failing_tasks_ = 0;
  std::vector<double> command_copy_delays_s_;
  std::optional<config::StateLimits> next_state_limits_;
  config::OperatorOptions operator_options_;
  // The node that has no links to its peers and that CutSecondary() cuts off from the state
  // service; -1 if none.
  int partitioned_node_ = -1;
  // The node that keeps its links to its peers but whose requests the state service refuses after
  // CutSecondary(); -1 if none.
  int refused_node_ = -1;
  double lease_s_ = 3;
  std::optional<double> cancel_s_;
};

}  // namespace hallpier::testing_support
