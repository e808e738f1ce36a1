// Entry point: parses the command line, validates the settings and runs a controller or a command.
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
constexpr int kSuccess = 0;
constexpr int kListenFailed = 1;
constexpr int kInvalidSettings = 2;

// Logs to standard error at the level given by the environment variable LOG_LEVEL (default: info).
void SetUpLog(const std::string& node) {
  auto log = spdlog::stderr_logger_st("hallpier");
  log->set_pattern("%H:%M:%S.%e %L " + node + " %v");
  const char* level = std::getenv("LOG_LEVEL");
  log->set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
  spdlog::set_default_logger(std::move(log));
}

// A controller and its event loop, for the signal handler.
struct Node {
  hallpier::async::EventLoop loop;
  hallpier::controller::Controller controller;
};

void OnSignal(struct ev_loop* /*unused*/, ev_signal* watcher, int /*unused*/) {
  auto* node = static_cast<Node*>(watcher->data);
  node->controller.Shutdown([node] { node->loop.Stop(); });
}

// Prints one line per error to standard error. Returns false if there are errors.
bool ReportErrors(const std::string& file,
                  const std::vector<hallpier::config::ConfigError>& errors) {
  for (const auto& error : errors) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(), error.Text().c_str());
  }
  return errors.empty();
}

struct Arguments {
  std::string config_file;
  std::string operator_file;
  bool check = false;
  bool members = false;
  bool json = false;
};

// Returns the arguments, or the exit status if the program must exit immediately.
std::variant<Arguments, int> ParseArguments(int argc, char** argv) {
  Arguments arguments;
  CLI::App cli("hallpier: a controller of a cluster scheduler");
  cli.add_option("--config", arguments.config_file, "the platform's settings (TOML)");
  cli.add_option("--operator", arguments.operator_file, "the operators' options (HCL-like)");
  cli.add_flag("--check", arguments.check, "validate the settings and exit");
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

// Runs the controller until SIGTERM or SIGINT. Returns the exit status.
int Serve(hallpier::config::Settings settings,
          const hallpier::config::OperatorOptions& operator_options) {
  SetUpLog(settings.node);
  signal(SIGPIPE, SIG_IGN);
  Node node{{}, {node.loop, std::move(settings), operator_options}};
  std::string error;
  if (!node.controller.Start(&error)) {
    spdlog::error("start: can't listen reason={}", error);
    return kListenFailed;
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
  return kSuccess;
}

}  // namespace

// An exception that reaches main() intentionally terminates the process.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  using namespace hallpier;
  const std::variant<Arguments, int> parsed = ParseArguments(argc, argv);
  if (const int* status = std::get_if<int>(&parsed)) return *status;
  const auto& arguments = std::get<Arguments>(parsed);
  auto settings = config::LoadSettings(arguments.config_file);
  if (!ReportErrors(arguments.config_file, settings.errors)) return kInvalidSettings;
  if (arguments.members) return cli::RunMembersCommand(settings.value, arguments.json);
  config::ParseResult<config::OperatorOptions> options;
  if (!arguments.operator_file.empty()) {
    options = config::LoadOperatorOptions(arguments.operator_file);
  }
  if (!ReportErrors(arguments.operator_file, options.errors)) return kInvalidSettings;
  const auto inconsistencies = config::CheckConsistency(settings.value, options.value);
  if (!ReportErrors(arguments.config_file, inconsistencies)) return kInvalidSettings;
  if (arguments.check) {
    std::printf("settings are valid\n");
    return kSuccess;
  }
  return Serve(std::move(settings.value), options.value);
}
