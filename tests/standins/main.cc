// Stand-ins on loopback, for a first try by hand: see the README.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "standins/standins.h"

// An exception that reaches main ends the process, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App cli("stand-ins for the state service and the cloud, on loopback");
  int state_port = 23790, cloud_port = 23791, first_worker_port = 23800;
  std::vector<std::string> controllers = {"127.0.0.1:8080"};
  std::vector<std::string> nodes = {"node-0"};
  double run_s = 5;
  cli.add_option("--state-port", state_port);
  cli.add_option("--cloud-port", cloud_port);
  cli.add_option("--first-worker-port", first_worker_port);
  cli.add_option("--controllers", controllers, "addresses that workers report to");
  cli.add_option("--nodes", nodes, "their names, in the same order");
  cli.add_option("--run-s", run_s, "how long every task runs");
  CLI11_PARSE(cli, argc, argv);
  using namespace hallpier;
  async::EventLoop loop;
  async::Scope scope(loop);
  standins::State state(scope);
  standins::Cloud cloud(scope, {controllers, nodes, 3, 45, run_s, first_worker_port});
  std::string error;
  if (!state.Listen("127.0.0.1:" + std::to_string(state_port), &error) ||
      !cloud.Listen("127.0.0.1:" + std::to_string(cloud_port), &error)) {
    std::fprintf(stderr, "can't listen: %s\n", error.c_str());
    return 1;
  }
  loop.Run();
  return 0;
}
