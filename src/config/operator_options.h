// The operators' own options, from a file beside the settings (libconfuse). All are optional. Times
// are ratios to the platform's settings, so that one file serves every deployment.
#pragma once

#include <string>

#include "config/config_error.h"
#include "config/settings.h"

namespace hallpier::config {

// Membership of the controllers (docs/membership.md).
struct MembershipOptions {
  bool enabled = false;
  double probe_ratio = 1.0 / 16;  // time between two probes / heartbeat_interval_s
  double missed_probes = 3;       // unanswered ones that make a node suspect
  double confirm_probes = 3;      // a recorded suspicion stands for so many before the verdict
  double yield_leases = 1;        // least time between two changes of the leader / lease_s
};

// Team limits across controllers (docs/team-limits.md).
struct BlockOptions {
  bool enabled = false;
  double holders = 9;        // controllers that hold a block of machines at a time
  double lease_ratio = 1;    // a silent holder loses its block after this / heartbeat_interval_s
  double widen_ratio = 0.5;  // after this a job is open to one more holder / heartbeat_interval_s
};

struct OperatorOptions {
  double round_s = 2.0;           // time between two rounds of mapping, at first
  double leader_ttl_ratio = 0.5;  // leader's lease on the state service / heartbeat_interval_s
  double blind_ratio = 0.5;       // leases are renewed without the state service for this / lease_s
  double silent_ratio = 3.0;     // a machine is given up after this many silent heartbeat intervals
  double idle_ratio = 6.0;       // an idle machine is scaled in after this many nominal boot times
  double headroom = 1.0;         // machines kept beyond what runs and waits
  double patience_ratio = 0.32;  // best-effort work moves up after this part of its aim
  double starve_s = 150;         // work that has not begun by then comes first, within starve_share
  double starve_share = 0.25;    // share of all processors that work which waited so long may take
  double urgent_reserve = 0.08;  // share of all processors kept for prod and urgent work
  MembershipOptions membership;
  BlockOptions blocks;
};

// How soon a change on a machine is known and acted upon. Workers report changes between their
// regular heartbeats and commands are sent to them directly, so that a long heartbeat interval does
// not make it longer.
double ReactionTimeS(const Settings& settings, const OperatorOptions& options);

// Faults name the field and the value.
ParseResult<OperatorOptions> ParseOperatorOptions(const std::string& text);
ParseResult<OperatorOptions> LoadOperatorOptions(const std::string& path);

}  // namespace hallpier::config
