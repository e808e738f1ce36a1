// Command line of the controller.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include "cli/members_command.h"
#include "config/contradictions.h"
#include "config/operator_options.h"
#include "config/settings_parser.h"
#include "controller/controller.h"

namespace {

void SetUpLog(const std::string& node) {
  auto log = spdlog::stderr_logger_st("hallpier");
  log->set_pattern("%H:%M:%S.%e %L " + node + " %v");
  const char* level = std::getenv("LOG_LEVEL");
  log->set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
  spdlog::set_default_logger(std::move(log));
}

// Exit status for settings that are missing or at fault.
constexpr int kBadSettings = 2;

struct Running {
  hallpier::async::EventLoop loop;
  hallpier::controller::Controller controller;
};

void OnSignal(struct ev_loop* /*unused*/, ev_signal* w, int /*unused*/) {
  auto* running = static_cast<Running*>(w->data);
  running->controller.Shutdown([running] { running->loop.Stop(); });
}

// False, after a line for each, if there are any.
bool CheckFaults(const std::string& file, const std::vector<hallpier::config::Fault>& faults) {
  for (const auto& fault : faults) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(), fault.Text().c_str());
  }
  return faults.empty();
}

struct Arguments {
  std::string config_file;
  std::string operator_file;
  bool check = false;
  bool members = false;
  bool json = false;
};

// Nothing if the arguments are in order; else the exit status.
std::optional<int> ParseArguments(int argc, char** argv, Arguments* arguments) {
  CLI::App cli("hallpier: a controller of a cluster scheduler");
  cli.add_option("--config", arguments->config_file, "the platform's settings (TOML)");
  cli.add_option("--operator", arguments->operator_file, "the operators' own settings (HCL-like)");
  cli.add_flag("--check", arguments->check, "check the settings, then end");
  cli.set_version_flag("--version", std::string("hallpier ") + HALLPIER_VERSION);
  CLI::App* members = cli.add_subcommand("members", "show how the controllers see each other");
  members->add_option("--config", arguments->config_file, "the platform's settings (TOML)");
  members->add_flag("--json", arguments->json, "as JSON (docs/schemas/members.schema.json)");
  try {
    cli.parse(argc, argv);
    if (arguments->config_file.empty()) throw CLI::RequiredError("--config");
  } catch (const CLI::ParseError& e) {
    return cli.exit(e);
  }
  arguments->members = members->parsed();
  return std::nullopt;
}

// Serves until a signal ends it.
int Serve(hallpier::config::Settings settings, const hallpier::config::OperatorOptions& operators) {
  SetUpLog(settings.node);
  signal(SIGPIPE, SIG_IGN);
  Running running{{}, {running.loop, std::move(settings), operators}};
  std::string error;
  if (!running.controller.Start(&error)) {
    spdlog::error("can't listen: {}", error);
    return 1;
  }
  ev_signal term, interrupt;
  ev_signal_init(&term, OnSignal, SIGTERM);
  ev_signal_init(&interrupt, OnSignal, SIGINT);
  for (ev_signal* w : {&term, &interrupt}) {
    w->data = &running;
    ev_signal_start(running.loop.raw(), w);
  }
  running.loop.Run();
  for (ev_signal* w : {&term, &interrupt}) ev_signal_stop(running.loop.raw(), w);
  return 0;
}

}  // namespace

// An exception that reaches main ends the process, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  using namespace hallpier;
  Arguments arguments;
  if (auto status = ParseArguments(argc, argv, &arguments)) return *status;
  auto settings = config::LoadSettings(arguments.config_file);
  if (!CheckFaults(arguments.config_file, settings.faults)) return kBadSettings;
  if (arguments.members) return cli::RunMembersCommand(settings.value, arguments.json);
  config::Parsed<config::OperatorOptions> options;
  if (!arguments.operator_file.empty()) {
    options = config::LoadOperatorOptions(arguments.operator_file);
  }
  if (!CheckFaults(arguments.operator_file, options.faults)) return kBadSettings;
  const auto contradictions = config::FindContradictions(settings.value, options.value);
  if (!CheckFaults(arguments.config_file, contradictions)) return kBadSettings;
  if (arguments.check) {
    std::printf("settings are good\n");
    return 0;
  }
  return Serve(std::move(settings.value), options.value);
}
