// The platform's settings as given in the settings file. Read once at process start and constant
// afterwards.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace hallpier::config {

// A controller of the cluster; this node may be listed too.
struct Seed {
  std::string node;
  std::string area;
  std::string endpoint;
};

// A team's quota: its guaranteed resources and the limit on its concurrent use.
struct Team {
  std::string name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // 0: no limit
  double gpus = 0;      // guaranteed
  double gpus_max = 0;  // 0: no limit
};

// A service-level objective of a job class: at least `share` of its jobs must meet `within_s`.
struct Objective {
  std::string kind;  // "finished" or "wait"; other kinds are ignored
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

// Limits of the state service, for all controllers together.
struct StateLimits {
  double rps = 0;        // requests per second
  double write_rps = 0;  // writes per second
  double value_kb = 0;   // maximum size of a value
  int txn_ops = 0;       // maximum number of writes in a transaction
};

struct Settings {
  std::string node;
  std::string area;
  std::string listen;     // address for HTTP requests
  std::string peer_bind;  // address for connections from other controllers
  std::vector<Seed> seeds;
  std::string cloud;  // address of the cloud's API
  std::string state;  // address of the state service
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  int cluster_size = 1;             // number of controllers
  double skew_ms = 0;               // skew between wall clocks
  double heartbeat_interval_s = 0;  // of workers
  double lease_s = 0;               // of workers
  double cancel_s = 0;              // from the response to a cancellation until its last task ends
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;
  // Limits to which the state service may switch at any moment, without notice.
  std::optional<StateLimits> next_state_limits;
  double cloud_rps = 0;
  double list_lag_s = 0;
  double core_share = 1;
  double memory_mb = 0;
  int max_sockets = 0;

  // Returns the smaller of the current and the next value of each limit. A request within these is
  // accepted before and after the switch.
  StateLimits SmallestStateLimits() const;
  // Returns the seeds except this node, which may be listed among them.
  std::vector<Seed> OtherSeeds() const;
  // Returns the names of OtherSeeds().
  std::vector<std::string> OtherNodes() const;
  // Returns null if there is no such team.
  const Team* FindTeam(const std::string& name) const;
  // Returns the first objective of a kind for a job class; null if there is none.
  const Objective* FindObjective(const std::string& kind, const std::string& job_class) const;
};

}  // namespace hallpier::config
