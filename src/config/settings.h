// The platform's settings file (TOML) and the operators' own file (libconfuse, the kin of HCL).
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace hallpier::config {

struct Seed {
  std::string node;
  std::string area;
  std::string endpoint;
};

struct Team {
  std::string name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // 0: no limit
  double gpus = 0;
  double gpus_max = 0;
};

struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

// What the state service takes.
struct StateLimits {
  double rps = 0;
  double write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;
};

struct Settings {
  std::string node;
  std::string area;
  std::string listen;
  std::string peer_bind;
  std::vector<Seed> seeds;
  std::string cloud;
  std::string state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  int size = 1;
  double skew_ms = 0;
  double heartbeat_interval_s = 0;
  double lease_s = 0;
  double cancel_s = 0;
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;
  // What it will take from some moment on, of which nobody is told.
  std::optional<StateLimits> state_next;
  double cloud_rps = 0;
  double list_lag_s = 0;
  double core_share = 1;
  double memory_mb = 0;
  int max_sockets = 0;

  // The smaller of both: what is within these is never refused for its size.
  StateLimits least() const;
  // The seeds without this node, which may stand among them.
  std::vector<Seed> OtherSeeds() const;
  std::vector<std::string> OtherNodes() const;
  const Team* FindTeam(const std::string& name) const;
  // The first one of a kind for a job class.
  const Objective* FindObjective(const std::string& kind, const std::string& job_class) const;
};

// Membership of the controllers (docs/membership.md).
struct Membership {
  bool enabled = false;
  double probe_ratio = 1.0 / 16;  // time between two probes / report_s
  double missed_probes = 3;       // unanswered ones that make a node suspect
  double confirm_probes = 3;      // a recorded suspicion stands for so many before the verdict
  double yield_leases = 1;        // least time between two changes of the leader / lease_s
};

// Team limits across controllers (docs/team-limits.md).
struct Blocks {
  bool enabled = false;
  double holders = 9;        // controllers that hold a block of machines at a time, at the most
  double lease_ratio = 1;    // unheard of for so long, a holder loses its block / report_s
  double widen_ratio = 0.5;  // after so long a job is open to one more holder / report_s
};

// Operators' own settings: ratios to the platform's figures, every one of them optional.
struct Operator {
  double round_s = 2.0;           // time between two rounds of mapping, at first
  double leader_ttl_ratio = 0.5;  // leader's lease on the state service / report_s
  double blind_ratio = 0.5;       // answers without the state service: at most this / lease_s
  double silent_ratio = 3.0;      // a machine is given up after this many report_s in silence
  double idle_ratio = 6.0;        // an idle machine is returned after this many readyS
  double headroom = 1.0;          // machines kept beyond what runs and waits
  double patience_ratio = 0.32;   // best-effort work moves up after this part of its aim
  double starve_s = 150;         // work that has not begun by then comes first, within starve_share
  double starve_share = 0.25;    // share of all processors that work which waited so long may take
  double urgent_reserve = 0.08;  // share of all processors kept for prod and urgent work
  Membership membership;
  Blocks blocks;
};

// How soon a change on a machine is known and answered: workers tell of changes between their
// regular reports, and orders go to them directly, so that a long report period does not make it
// longer.
double ReactionS(const Settings& settings, const Operator& operators);

// What the two files say that does not go together, one line per fault.
std::vector<std::string> ContradictionsOf(const Settings& settings, const Operator& operators);

// Both add one line per fault to `faults`, naming field and value; no line means success.
Settings LoadSettings(const std::string& path, std::vector<std::string>* faults);
Settings ParseSettings(const std::string& text, std::vector<std::string>* faults);
Operator LoadOperator(const std::string& path, std::vector<std::string>* faults);
Operator ParseOperator(const std::string& text, std::vector<std::string>* faults);

}  // namespace hallpier::config
