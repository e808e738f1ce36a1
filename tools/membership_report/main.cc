// Measures membership in fake time and writes an HTML report with plots.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>

#include "page.h"

namespace {

void PrintRows(const hallpier::report::Experiment& experiment) {
  std::printf("%s\n", experiment.title.c_str());
  for (const auto& point : experiment.points) {
    std::printf("  %8.3g  off %8.3g %8.3g %8.3g  on %8.3g %8.3g %8.3g\n", point.x, point.off.median,
                point.off.p90, point.off.p99, point.on.median, point.on.p90, point.on.p99);
  }
}

}  // namespace

// An exception that reaches main ends the process, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App cli("membership_report: measures membership on simulated nodes, writes HTML and SVG");
  hallpier::report::Effort effort;
  std::string folder, template_file = HALLPIER_SOURCE_DIR "/tools/membership_report/report.tpl";
  cli.add_option("--out", folder, "folder for index.html and the plots")->required();
  cli.add_option("--runs", effort.runs, "runs for each point")->check(CLI::Range(1, 100000));
  cli.add_option("--seed", effort.seed, "of the first run");
  cli.add_option("--template", template_file, "of the page")->check(CLI::ExistingFile);
  CLI11_PARSE(cli, argc, argv);
  spdlog::set_level(spdlog::level::off);
  std::filesystem::create_directories(folder);
  const auto experiments = hallpier::report::MeasureAll(effort);
  for (const auto& experiment : experiments) {
    PrintRows(experiment);
    hallpier::report::DrawPlot(experiment, folder);
  }
  if (hallpier::report::WritePage(experiments, effort, template_file, folder)) return 0;
  std::fprintf(stderr, "%s: the page can't be written\n", folder.c_str());
  return 1;
}
