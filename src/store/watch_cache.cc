#include "store/watch_cache.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace hallpier::store {
namespace {

// Delay before a failed load or watch is retried.
constexpr double kRetryS = 0.25;
// Delay between a response of the watch and the next request, so that one response contains many
// changes.
constexpr double kWatchPauseS = 0.05;

}  // namespace

WatchCache::WatchCache(async::Scope& scope, Client& client, double block_s, ChangeHandler on_change,
                       BatchEndHandler on_batch_end)
    : scope_(scope),
      client_(client),
      block_s_(block_s),
      on_change_(std::move(on_change)),
      on_batch_end_(std::move(on_batch_end)) {}

uint64_t WatchCache::Version(const std::string& key) const {
  auto known = versions_.find(key);
  return known == versions_.end() ? 0 : known->second;
}

void WatchCache::ApplyAheadOfWatch(const std::string& key, const std::string& value,
                                   uint64_t version) {
  // While the response to this write was in flight, the watch may already have delivered the write
  // and later changes. The cache is then newer and the write is ignored. ApplyIfNewer alone would
  // not detect a deletion that the watch has passed, because its revision is no longer kept: a job
  // that was cancelled here, and whose end the leader recorded immediately, would reappear
  // permanently.
  if (version <= revision_ || !key.starts_with(kActivePrefix)) return;
  ApplyIfNewer(key, value, version);
  on_batch_end_();
}

async::Task<bool> WatchCache::Refresh(std::string key) {
  const uint64_t known = Version(key);
  auto current = co_await client_.Get(key, RequestPriority::kUrgent);
  if (current.ok()) {
    ApplyIfNewer(key, current.value.value, current.value.version);
  } else if (current.status == Status::kNotFound && known != 0 && Version(key) == known) {
    // The response does not contain the revision of the deletion. That revision is after the known
    // version and before any version that the key may get later, so `known + 1` can stand in for
    // it.
    ApplyIfNewer(key, "", known + 1);
  }
  on_batch_end_();
  co_return current.ok() || current.status == Status::kNotFound;
}

void WatchCache::ApplyIfNewer(const std::string& key, const std::string& value, uint64_t version) {
  auto deletion = deletion_revisions_.find(key);
  if (deletion != deletion_revisions_.end() && version <= deletion->second) return;
  auto known = versions_.find(key);
  if (known != versions_.end() && version <= known->second) return;
  if (value.empty()) {
    deletion_revisions_[key] = version;
    if (known == versions_.end()) return;
    versions_.erase(known);
  } else {
    versions_[key] = version;
  }
  on_change_(key, value);
}

async::Task<bool> WatchCache::Load() {
  std::unordered_set<std::string> listed;
  std::string after;
  uint64_t first_revision = 0;
  const double requested_at = scope_.loop().Now();
  while (true) {
    auto page = co_await client_.List(std::string(kActivePrefix), after);
    if (!page.ok()) co_return false;
    // The pages have different revisions. The watch starts at the revision of the first page;
    // changes that it delivers again do no harm, because ApplyIfNewer ignores them.
    if (first_revision == 0) first_revision = page.value.revision;
    for (const model::KeyValue& entry : page.value.entries) {
      ApplyIfNewer(entry.key, entry.value, entry.version);
      listed.insert(entry.key);
      after = entry.key;
    }
    on_batch_end_();
    if (!page.value.more || page.value.entries.empty()) break;
  }
  DeleteUnlisted(listed, first_revision);
  revision_ = first_revision;
  ConfirmCurrent(requested_at);
  co_return true;
}

void WatchCache::DeleteUnlisted(const std::unordered_set<std::string>& listed, uint64_t revision) {
  std::vector<std::string> unlisted;
  for (const auto& [key, version] : versions_) {
    if (version <= revision && !listed.contains(key)) unlisted.push_back(key);
  }
  for (const std::string& key : unlisted) ApplyIfNewer(key, "", revision);
  on_batch_end_();
}

void WatchCache::ConfirmCurrent(double requested_at) {
  const bool first_since_pause = current_as_of_ < scope_.loop().resumed_at();
  current_as_of_ = std::max(current_as_of_, requested_at);
  // After a pause of the process, callers may wait until the cache is known to be current again.
  if (first_since_pause) changed_.Notify();
}

void WatchCache::ApplyChanges(const model::WatchResponse& changes, double requested_at) {
  for (const model::WatchEvent& event : changes.events) {
    ApplyIfNewer(event.key, event.value, event.version);
  }
  on_batch_end_();
  revision_ = std::max(revision_, changes.revision);
  ConfirmCurrent(requested_at);
  std::erase_if(deletion_revisions_,
                [this](const auto& deletion) { return deletion.second <= revision_; });
  if (!changes.events.empty()) changed_.Notify();
}

async::Task<> WatchCache::Run() {
  bool must_load = true;
  while (!scope_.cancelled()) {
    if (must_load) {
      const bool succeeded = co_await Load();
      if (!succeeded) {
        async::Sleep pause(scope_, kRetryS);
        co_await pause;
        continue;
      }
      must_load = false;
      loaded_ = true;
      loaded_at_ = scope_.loop().Now();
      spdlog::info("state loaded: revision={} keys={}", revision_, versions_.size());
      changed_.Notify();
    }
    const double requested_at = scope_.loop().Now();
    auto changes = co_await client_.Watch(std::string(kActivePrefix), revision_, block_s_);
    if (changes.ok()) ApplyChanges(changes.value, requested_at);
    if (changes.status == Status::kGone) must_load = true;
    async::Sleep pause(scope_, changes.ok() ? kWatchPauseS : kRetryS);
    co_await pause;
  }
}

}  // namespace hallpier::store
