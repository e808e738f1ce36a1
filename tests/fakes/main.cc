// Runs a fake state service and a fake cloud with workers on loopback, to try out hallpier by hand.
// See the README.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "fakes/fake_cloud.h"
#include "fakes/fake_state_service.h"

// An exception that reaches main() intentionally terminates the process.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App cli("fake state service and fake cloud with workers, on loopback");
  int state_port = 23790;
  int cloud_port = 23791;
  hallpier::testing_support::FakeCloud::Options options;
  options.first_port = 23800;
  options.worker.controllers = {"127.0.0.1:8080"};
  options.worker.nodes = {"node-0"};
  options.worker.run_s = 5;
  cli.add_option("--state-port", state_port);
  cli.add_option("--cloud-port", cloud_port);
  cli.add_option("--first-worker-port", options.first_port);
  cli.add_option("--controllers", options.worker.controllers,
                 "controller addresses that receive the workers' heartbeats");
  cli.add_option("--nodes", options.worker.nodes, "names of the controllers, in the same order");
  cli.add_option("--run-s", options.worker.run_s, "duration of every task in seconds");
  CLI11_PARSE(cli, argc, argv);
  using namespace hallpier;
  async::EventLoop loop;
  async::Scope scope(loop);
  testing_support::FakeStateService state(scope);
  testing_support::FakeCloud cloud(scope, options);
  std::string error;
  if (!state.Listen("127.0.0.1:" + std::to_string(state_port), &error) ||
      !cloud.Listen("127.0.0.1:" + std::to_string(cloud_port), &error)) {
    std::fprintf(stderr, "cannot listen: %s\n", error.c_str());
    return 1;
  }
  loop.Run();
  return 0;
}
