// `hallpier members`: asks all controllers of a settings file for their view of the cluster's
// members and prints the responses as text or JSON (docs/schemas/members.schema.json). Runs a
// separate event loop.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "wire/peer_messages.h"

namespace hallpier::cli {

// The response of one controller, or the reason why there is none.
struct MembersResponse {
  std::string node;
  std::optional<wire::MembersReport> report;  // std::nullopt if there is an error
  std::string error;                          // empty if there is a report
};

// Asks all controllers of the settings concurrently, for at most `timeout_s` seconds. Returns the
// responses with this node's first, the others in the order of the settings.
std::vector<MembersResponse> AskMembers(const config::Settings& settings, double timeout_s);

// Formats the responses as human-readable lines or as one JSON document.
std::string MembersText(const std::vector<MembersResponse>& responses);
std::string MembersJson(const std::vector<MembersResponse>& responses);

// Runs the command: asks the controllers and prints their responses to standard output. Returns the
// exit status: 0 if at least one controller sent a report, 1 if none did.
int RunMembersCommand(const config::Settings& settings, bool json);

}  // namespace hallpier::cli
