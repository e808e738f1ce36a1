// The platform's settings, as the settings file has them. Read once at the start of the process and
// never changed while it runs.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace hallpier::config {

// Another controller, or this one.
struct Seed {
  std::string node;
  std::string area;
  std::string endpoint;
};

// A team's quota: what it is guaranteed, and the most that it may use at a time.
struct Team {
  std::string name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // 0: no limit
  double gpus = 0;      // guaranteed
  double gpus_max = 0;  // 0: no limit
};

// A service-level objective of a class of jobs: this share of them within this time.
struct Objective {
  std::string kind;  // "finished" or "wait"; others are ignored
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

// What the state service accepts from all controllers together.
struct StateLimits {
  double rps = 0;        // requests a second
  double write_rps = 0;  // writes a second
  double value_kb = 0;   // size of a value
  int txn_ops = 0;       // writes in a transaction
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
  int cluster_size = 1;             // controllers
  double skew_ms = 0;               // of wall clocks
  double heartbeat_interval_s = 0;  // of workers
  double lease_s = 0;               // of workers
  double cancel_s = 0;              // from the answer to a cancellation to its last task's end
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;
  // Limits that the state service may change to at any moment, without notice.
  std::optional<StateLimits> next_state_limits;
  double cloud_rps = 0;
  double list_lag_s = 0;
  double core_share = 1;
  double memory_mb = 0;
  int max_sockets = 0;

  // The smaller of the present and the coming limits: what keeps to these is never refused.
  StateLimits SmallestStateLimits() const;
  // The seeds without this node, which may be one of them.
  std::vector<Seed> OtherSeeds() const;
  std::vector<std::string> OtherNodes() const;
  // Null if there is no such team.
  const Team* FindTeam(const std::string& name) const;
  // The first one of a kind for a job class; null if there is none.
  const Objective* FindObjective(const std::string& kind, const std::string& job_class) const;
};

}  // namespace hallpier::config
