// The operators' options, read with libconfuse from a file separate from the settings. All are
// optional. Most times are ratios to times of the platform's settings, so that one file serves
// every deployment.
#pragma once

#include <string>

#include "config/config_error.h"
#include "config/settings.h"

namespace hallpier::config {

// Cluster membership of the controllers (docs/membership.md).
struct MembershipOptions {
  bool enabled = false;
  double probe_ratio = 1.0 / 16;  // probe interval / heartbeat_interval_s
  double missed_probes = 3;       // unanswered probes after which a node is suspected
  double confirm_probes = 3;      // probe intervals until a recorded suspicion becomes a failure
  double yield_leases = 1;        // minimum time between leader changes / lease_s
};

// Partition of the machines into blocks, each owned by one controller, and enforcement of team
// limits across controllers (docs/team-limits.md).
struct BlockOptions {
  bool enabled = false;
  double max_owners = 9;     // maximum number of controllers that own a block of machines
  double lease_ratio = 1;    // silence after which an owner loses its block / heartbeat_interval_s
  double widen_ratio = 0.5;  // time until one more owner may place a job / heartbeat_interval_s
};

struct OperatorOptions {
  double round_s = 2.0;  // interval between scheduling rounds unless one is requested earlier
  double leader_ttl_ratio = 0.5;  // TTL of the leader's lease / heartbeat_interval_s
  // Time after the last renewal in which the leader answers without the state service / lease_s.
  double blind_ratio = 0.5;
  double silent_ratio = 3.0;     // missed heartbeats after which a machine counts as silent
  double idle_ratio = 6.0;       // idle time before a machine is scaled in / nominal boot time
  double headroom = 1.0;         // spare capacity / demand
  double patience_ratio = 0.32;  // waiting time after which best-effort jobs move up / objective
  double starve_s = 150;         // waiting time after which a job counts as starved and goes first
  double starve_share = 0.25;    // share of all CPUs that starved jobs may use
  double urgent_reserve = 0.08;  // share of all CPUs reserved for prod and urgent jobs
  MembershipOptions membership;
  BlockOptions blocks;
};

// Returns the time in which the leader learns of a change on a machine and acts on it. Workers
// report changes between their regular heartbeats and commands are sent to them directly, so a long
// heartbeat interval does not increase this time.
double ReactionTimeS(const Settings& settings, const OperatorOptions& options);

// Errors name the field and, for an invalid number, its value.
ParseResult<OperatorOptions> ParseOperatorOptions(const std::string& text);
ParseResult<OperatorOptions> LoadOperatorOptions(const std::string& path);

}  // namespace hallpier::config
