#include "controller/dependency_outcomes.h"

#include "store/keys.h"
#include "store/records.h"

namespace hallpier::controller {
namespace {

// Maximum number of concurrent reads, which share the state service's rate limits with users'
// reads.
constexpr size_t kMaxReads = 8;
// Seconds before a failed read is retried.
constexpr double kRetryS = 0.5;

}  // namespace

void DependencyOutcomes::OnJobsChanged() {
  if (!job_table_.dependency_graph().unresolved().empty()) wake_.Notify();
}

async::Task<> DependencyOutcomes::Run() {
  while (!scope_.cancelled()) {
    const auto& unresolved = job_table_.dependency_graph().unresolved();
    if (cache_.loaded()) {
      for (auto it = unresolved.begin(); it != unresolved.end() && reading_.size() < kMaxReads;
           ++it) {
        if (reading_.insert(*it).second) scope_.Spawn(Read(*it));
      }
    }
    if (unresolved.empty()) {
      auto wait = wake_.Await(scope_);
      co_await wait;
    } else {
      auto wait = wake_.Await(scope_, kRetryS);
      co_await wait;
    }
  }
}

async::Task<bool> DependencyOutcomes::AwaitResolved(std::string job, double limit_s) {
  const double deadline = scope_.loop().Now() + limit_s;
  while (!job_table_.dependency_graph().UpstreamResolved(job)) {
    const double left_s = deadline - scope_.loop().Now();
    if (left_s <= 0 || scope_.cancelled()) co_return false;
    auto wait = outcome_read_.Await(scope_, left_s);
    co_await wait;
  }
  co_return true;
}

async::Task<> DependencyOutcomes::Read(std::string job) {
  auto entry = co_await client_.Get(store::FinalKey(job));
  auto record = entry.ok() ? store::ReadFinal(entry.value.value).ToOptional() : std::nullopt;
  if (record) {
    job_table_.SetFinalRecord(job, *record);
    on_outcome_();
    outcome_read_.Notify();
  } else {
    // Not found, because the end of the job has not reached the watch cache yet, or not readable.
    // The dependent jobs keep waiting.
    async::Sleep wait(scope_, kRetryS);
    co_await wait;
  }
  reading_.erase(job);
  wake_.Notify();
}

}  // namespace hallpier::controller
