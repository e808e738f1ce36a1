// `hallpier members`: asks the controllers that a settings file names how they see each other, and
// prints it as text or JSON (docs/schemas/members.schema.json). Runs an event loop of its own.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "wire/peer_messages.h"

namespace hallpier::cli {

// What came of asking one controller.
struct MembersAnswer {
  std::string node;
  std::optional<wire::MembersReport> report;  // nothing: there is an error
  std::string error;                          // why there is no report
};

// Asks every controller of the settings at once, for `timeout_s` seconds at the most. The answers
// are in the order of the settings, this node's own first.
std::vector<MembersAnswer> AskMembers(const config::Settings& settings, double timeout_s);

// The answers as lines for a reader, or as one JSON document.
std::string MembersText(const std::vector<MembersAnswer>& answers);
std::string MembersJson(const std::vector<MembersAnswer>& answers);

// The whole command: asks, and prints the answers to standard output. Returns the exit status: 0 if
// a controller answered, 1 if none could be reached.
int RunMembersCommand(const config::Settings& settings, bool json);

}  // namespace hallpier::cli
