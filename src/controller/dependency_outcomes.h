// Reads how awaited jobs ended. Final records lie outside the warm copy, and only those that
// unfinished jobs name are kept: each is read once, by every node, so that whoever takes the lead
// knows them already.
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
  // `found` is called whenever one more is known.
  DependencyOutcomes(async::Scope& scope, store::Client& client, store::WatchCache& cache,
                     jobs::JobTable& job_table, std::function<void()> found)
      : scope_(scope),
        client_(client),
        cache_(cache),
        job_table_(job_table),
        found_(std::move(found)) {}

  async::Task<> Run();
  // True once nothing of what a job needs is unknown; false if that takes longer than `limit_s`.
  async::Task<bool> AwaitKnown(std::string id, double limit_s);
  // Some job's record has changed or is gone.
  void OnJobsChanged();

 private:
  async::Task<> Read(std::string id);

  async::Scope& scope_;
  store::Client& client_;
  store::WatchCache& cache_;
  jobs::JobTable& job_table_;
  const std::function<void()> found_;
  std::set<std::string> reading_;
  async::Event wake_;
  async::Event known_;  // one more
};

}  // namespace hallpier::controller
