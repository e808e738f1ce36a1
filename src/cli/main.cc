// The program: parses the command line, checks the settings, and runs a controller or a command.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <variant>
#include <vector>

#include "cli/members_command.h"
#include "config/consistency_check.h"
#include "config/operator_options.h"
#include "config/settings_parser.h"
#include "controller/controller.h"

namespace {

// Exit statuses.
constexpr int kGood = 0;
constexpr int kCannotListen = 1;
constexpr int kBadSettings = 2;

// Logs to standard error, at the level of the environment's LOG_LEVEL.
void SetUpLog(const std::string& node) {
  auto log = spdlog::stderr_logger_st("hallpier");
  log->set_pattern("%H:%M:%S.%e %L " + node + " %v");
  const char* level = std::getenv("LOG_LEVEL");
  log->set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
  spdlog::set_default_logger(std::move(log));
}

// A controller on its event loop, as the signal handler sees them.
struct Node {
  hallpier::async::EventLoop loop;
  hallpier::controller::Controller controller;
};

void OnSignal(struct ev_loop* /*unused*/, ev_signal* watcher, int /*unused*/) {
  auto* node = static_cast<Node*>(watcher->data);
  node->controller.Shutdown([node] { node->loop.Stop(); });
}

// False, after a line for each, if there are any.
bool CheckFaults(const std::string& file,
                 const std::vector<hallpier::config::ConfigError>& faults) {
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

// The arguments, or the exit status if the program is to end at once.
std::variant<Arguments, int> ParseArguments(int argc, char** argv) {
  Arguments arguments;
  CLI::App cli("hallpier: a controller of a cluster scheduler");
  cli.add_option("--config", arguments.config_file, "the platform's settings (TOML)");
  cli.add_option("--operator", arguments.operator_file, "the operators' own settings (HCL-like)");
  cli.add_flag("--check", arguments.check, "check the settings, then end");
  cli.set_version_flag("--version", std::string("hallpier ") + HALLPIER_VERSION);
  CLI::App* members = cli.add_subcommand("members", "show how the controllers see each other");
  members->add_option("--config", arguments.config_file, "the platform's settings (TOML)");
  members->add_flag("--json", arguments.json, "as JSON (docs/schemas/members.schema.json)");
  try {
    cli.parse(argc, argv);
    if (arguments.config_file.empty()) throw CLI::RequiredError("--config");
  } catch (const CLI::ParseError& error) {
    return cli.exit(error);
  }
  arguments.members = members->parsed();
  return arguments;
}

// Serves until a signal ends it. Returns the exit status.
int Serve(hallpier::config::Settings settings, const hallpier::config::OperatorOptions& operators) {
  SetUpLog(settings.node);
  signal(SIGPIPE, SIG_IGN);
  Node node{{}, {node.loop, std::move(settings), operators}};
  std::string error;
  if (!node.controller.Start(&error)) {
    spdlog::error("start: can't listen reason={}", error);
    return kCannotListen;
  }
  ev_signal on_terminate;
  ev_signal on_interrupt;
  ev_signal_init(&on_terminate, OnSignal, SIGTERM);
  ev_signal_init(&on_interrupt, OnSignal, SIGINT);
  for (ev_signal* watcher : {&on_terminate, &on_interrupt}) {
    watcher->data = &node;
    ev_signal_start(node.loop.raw(), watcher);
  }
  node.loop.Run();
  for (ev_signal* watcher : {&on_terminate, &on_interrupt}) {
    ev_signal_stop(node.loop.raw(), watcher);
  }
  return kGood;
}

}  // namespace

// An exception that reaches main ends the process, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  using namespace hallpier;
  const std::variant<Arguments, int> parsed = ParseArguments(argc, argv);
  if (const int* status = std::get_if<int>(&parsed)) return *status;
  const auto& arguments = std::get<Arguments>(parsed);
  auto settings = config::LoadSettings(arguments.config_file);
  if (!CheckFaults(arguments.config_file, settings.errors)) return kBadSettings;
  if (arguments.members) return cli::RunMembersCommand(settings.value, arguments.json);
  config::ParseResult<config::OperatorOptions> options;
  if (!arguments.operator_file.empty()) {
    options = config::LoadOperatorOptions(arguments.operator_file);
  }
  if (!CheckFaults(arguments.operator_file, options.errors)) return kBadSettings;
  const auto contradictions = config::CheckConsistency(settings.value, options.value);
  if (!CheckFaults(arguments.config_file, contradictions)) return kBadSettings;
  if (arguments.check) {
    std::printf("settings are good\n");
    return kGood;
  }
  return Serve(std::move(settings.value), options.value);
}
