#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>

#include "page.h"

namespace hallpier::report {

int RunReport(int argc, char** argv, const std::string& title, const std::string& introduction,
              Measure measure) {
  CLI::App cli(title + "; writes an HTML page and SVG plots");
  RunOptions run_options;
  std::string folder;
  Page page{title, introduction, {}, HALLPIER_SOURCE_DIR "/tools/report/report.tpl"};
  cli.add_option("--out", folder, "folder for index.html and the plots")->required();
  cli.add_option("--runs", run_options.runs, "runs for each point")->check(CLI::Range(1, 100000));
  cli.add_option("--seed", run_options.seed, "seed of the first run");
  cli.add_option("--template", page.template_file, "template of the page")
      ->check(CLI::ExistingFile);
  CLI11_PARSE(cli, argc, argv);
  spdlog::set_level(spdlog::level::off);
  std::filesystem::create_directories(folder);
  page.introduction += " Runs for each point: " + std::to_string(run_options.runs) +
                       ", seeds from " + std::to_string(run_options.seed) + ".";
  page.experiments = measure(run_options);
  for (const Experiment& experiment : page.experiments) {
    Print(experiment);
    DrawPlot(experiment, folder);
  }
  if (WritePage(page, folder)) return 0;
  std::fprintf(stderr, "%s: cannot write index.html\n", folder.c_str());
  return 1;
}

}  // namespace hallpier::report
