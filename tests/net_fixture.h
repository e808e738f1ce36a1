// Fixture that runs one coroutine on a separate event loop, with servers and clients on loopback.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "async/wait.h"
#include "port_block.h"
#include "store/client.h"

namespace hallpier::testing_support {

class NetTest : public testing::Test {
 protected:
  NetTest() : scope_(loop_) {}

  void Run(async::Task<> script) {
    async::Scope runner(loop_);
    runner.Spawn(Script(std::move(script)));
    loop_.Run();
    scope_.Cancel();
    runner.Spawn(StopOnceJoined());
    loop_.Run();
  }
  async::Task<> Script(async::Task<> script) {
    async::Task<> owned = std::move(script);
    co_await owned;
    loop_.Stop();
  }
  async::Task<> StopOnceJoined() {
    co_await scope_.Join();
    loop_.Stop();
  }
  async::Task<> Pause(double s) {
    async::Sleep pause(scope_, s);
    co_await pause;
  }
  // Blocks the thread of the event loop, as if the process were not scheduled: clocks advance and
  // receive buffers fill.
  static void BlockThread(double s) {
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
  }

  static std::string AddressAt(int n) { return PortBlock::OfProcess().AddressAt(n); }

  static store::Client::Options StateClientOptions(int port_index) {
    store::Client::Options options;
    options.endpoint = AddressAt(port_index);
    options.rps = options.write_rps = 1000;
    options.timeout_s = 0.25;
    options.max_response_bytes = 1 << 20;
    return options;
  }

  async::EventLoop loop_;
  async::Scope scope_;
};

}  // namespace hallpier::testing_support
