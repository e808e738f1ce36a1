// Measures the duration of a leader takeover and of a scheduling round for several fleet sizes, on
// the processor of the machine it runs on and without any I/O. Prints one line for each size.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

#include "fleet/task_outcomes.h"
#include "large_fleet.h"

namespace {

using hallpier::testing_support::LargeFleet;

double ElapsedMs(const std::function<void()>& f) {
  const auto began = std::chrono::steady_clock::now();
  f();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began)
      .count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void Measure(size_t machines, int runs) {
  std::vector<double> load, takeover, list, collect, round;
  size_t placed = 0;
  for (int run = 0; run < runs; ++run) {
    LargeFleet fleet(machines);
    const double now = LargeFleet::kStartTimeS;
    load.push_back(ElapsedMs([&] { fleet.PutRecords(); }));
    takeover.push_back(ElapsedMs([&] { fleet.TakeOver(now); }));
    const auto listing = fleet.CloudList();
    list.push_back(ElapsedMs([&] { fleet.registry().OnCloudList(listing, now, now + 1); }));
    collect.push_back(ElapsedMs([&] {
      hallpier::fleet::CollectTaskTransitions(fleet.registry(), fleet.job_table(), now + 1);
    }));
    round.push_back(ElapsedMs([&] { placed = fleet.Plan(now + 1).placements.size(); }));
  }
  std::printf(
      "%6zu machines: load %.1f ms, takeover %.1f ms, list %.1f ms, collect %.1f ms, "
      "round %.1f ms (%zu placed); median of %d\n",
      machines, Median(load), Median(takeover), Median(list), Median(collect), Median(round),
      placed, runs);
}

}  // namespace

// An exception that reaches main() intentionally terminates the process.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App cli("scale: duration of a leader takeover and of a round by fleet size");
  std::vector<size_t> sizes = {1000, 2000, 4000};
  int runs = 9;
  cli.add_option("--machines", sizes, "fleet sizes, in machines");
  cli.add_option("--runs", runs, "runs for each size")->check(CLI::Range(1, 1000));
  CLI11_PARSE(cli, argc, argv);
  spdlog::set_level(spdlog::level::off);
  for (const size_t machines : sizes) Measure(machines, runs);
  return 0;
}
