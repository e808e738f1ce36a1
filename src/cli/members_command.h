// `hallpier members`: asks the controllers that a settings file names how they see each other, and
// prints it as text or JSON (docs/schemas/members.schema.json).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "wire/peer_messages.h"

namespace hallpier::cli {

// What became of asking one controller.
struct MembersAnswer {
  std::string node;
  std::optional<wire::MembersReport> report;
  std::string error;  // why there is no report
};

// Asks every controller, each for as long as `timeout_s`.
std::vector<MembersAnswer> AskMembers(const config::Settings& settings, double timeout_s);

std::string MembersText(const std::vector<MembersAnswer>& answers);
std::string MembersJson(const std::vector<MembersAnswer>& answers);

// The whole command; its exit status: 0 if a controller answered, 1 if none could be reached.
int RunMembersCommand(const config::Settings& settings, bool json);

}  // namespace hallpier::cli
