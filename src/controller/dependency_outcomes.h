// Reads how the jobs ended that others depend on. Final records are not part of the copy of the
// records, and only those that unfinished jobs name are kept: each is read once, by every node, so
// that a node which takes the lead knows them already. Owned by the controller; its routines end
// with the node's scope.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "async/wait.h"
#include "jobs/job_table.h"
#include "store/client.h"
#include "store/watch_cache.h"

namespace hallpier::controller {

class DependencyOutcomes {
 public:
  // All references must outlive this. `on_outcome` is called whenever one more is known.
  DependencyOutcomes(async::Scope& scope, store::Client& client, store::WatchCache& cache,
                     jobs::JobTable& job_table, std::function<void()> on_outcome)
      : scope_(scope),
        client_(client),
        cache_(cache),
        job_table_(job_table),
        on_outcome_(std::move(on_outcome)) {}

  // The routine: runs until the scope is cancelled.
  async::Task<> Run();
  // True once every outcome that a job depends on is known; false if that takes longer than
  // `limit_s` seconds.
  async::Task<bool> AwaitKnown(std::string job, double limit_s);
  // A job's record has changed or was deleted.
  void OnJobsChanged();

 private:
  async::Task<> Read(std::string job);

  async::Scope& scope_;
  store::Client& client_;
  store::WatchCache& cache_;
  jobs::JobTable& job_table_;
  const std::function<void()> on_outcome_;
  std::set<std::string> reading_;  // jobs whose final record is being read, or is read again soon
  async::Event wake_;
  async::Event outcome_known_;
};

}  // namespace hallpier::controller
