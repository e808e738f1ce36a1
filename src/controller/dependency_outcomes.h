// Reads the outcomes of finished jobs that other jobs depend on. The watch cache does not contain
// final records, and the job table keeps only the final records that unfinished jobs depend on.
// Every node reads each of them once, so that a new leader already knows them. Owned by the
// controller; its coroutines end with the node's scope.
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
  // All references must outlive this object. `on_outcome` is called after each outcome that was
  // read.
  DependencyOutcomes(async::Scope& scope, store::Client& client, store::WatchCache& cache,
                     jobs::JobTable& job_table, std::function<void()> on_outcome)
      : scope_(scope),
        client_(client),
        cache_(cache),
        job_table_(job_table),
        on_outcome_(std::move(on_outcome)) {}

  // Runs until the scope is cancelled.
  async::Task<> Run();
  // Waits until every outcome that a job depends on is known. Returns false if that takes longer
  // than `limit_s` seconds.
  async::Task<bool> AwaitResolved(std::string job, double limit_s);
  // Handles a job record that was changed or deleted.
  void OnJobsChanged();

 private:
  async::Task<> Read(std::string job);

  async::Scope& scope_;
  store::Client& client_;
  store::WatchCache& cache_;
  jobs::JobTable& job_table_;
  const std::function<void()> on_outcome_;
  // Jobs whose final record is being read, or whose read waits for a retry.
  std::set<std::string> reading_;
  async::Event wake_;
  async::Event outcome_read_;
};

}  // namespace hallpier::controller
