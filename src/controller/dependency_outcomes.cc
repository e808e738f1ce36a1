#include "controller/dependency_outcomes.h"

namespace hallpier::controller {
namespace {
// Reads under way at a time: they take their turn beside polls.
constexpr size_t kMostAtOnce = 8;
// After this long what could not be read is tried again.
constexpr double kRetryS = 0.5;
}  // namespace

void DependencyOutcomes::OnChange() {
  if (!job_table_.dependency_graph().unresolved().empty()) wake_.Notify();
}

async::Task<> DependencyOutcomes::Run() {
  while (!scope_.cancelled()) {
    const auto& unknown = job_table_.dependency_graph().unresolved();
    if (cache_.loaded()) {
      for (auto it = unknown.begin(); it != unknown.end() && reading_.size() < kMostAtOnce; ++it) {
        if (reading_.insert(*it).second) scope_.Spawn(Read(*it));
      }
    }
    if (unknown.empty()) {
      auto wait = wake_.Await(scope_);
      co_await wait;
    } else {
      auto wait = wake_.Await(scope_, kRetryS);
      co_await wait;
    }
  }
}

async::Task<bool> DependencyOutcomes::Settled(std::string id, double limit_s) {
  const double end = scope_.loop().Now() + limit_s;
  while (!job_table_.dependency_graph().UpstreamResolved(id)) {
    const double left = end - scope_.loop().Now();
    if (left <= 0 || scope_.cancelled()) co_return false;
    auto wait = known_.Await(scope_, left);
    co_await wait;
  }
  co_return true;
}

async::Task<> DependencyOutcomes::Read(std::string id) {
  auto entry = co_await client_.Get(store::FinalKey(id));
  auto record = entry.ok() ? store::ReadFinal(entry.value.value).ToOptional() : std::nullopt;
  if (record) {
    job_table_.RecordFinal(id, *record);
    found_();
    known_.Notify();
  } else {
    // Not there: it has not reached the warm copy yet, or could not be asked for. Who awaits it
    // goes on waiting.
    async::Sleep pause(scope_, kRetryS);
    co_await pause;
  }
  reading_.erase(id);
  wake_.Notify();
}

}  // namespace hallpier::controller
