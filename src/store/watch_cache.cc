#include "store/watch_cache.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace hallpier::store {
namespace {

// Before a failed load or watch is tried again.
constexpr double kRetryS = 0.25;
// Between an answer of the watch and the next request, so that many changes come in one answer.
constexpr double kWatchPauseS = 0.05;

}  // namespace

WatchCache::WatchCache(async::Scope& scope, Client& client, double block_s, ChangeHandler on_change)
    : scope_(scope), client_(client), block_s_(block_s), on_change_(std::move(on_change)) {}

uint64_t WatchCache::Version(const std::string& key) const {
  auto known = versions_.find(key);
  return known == versions_.end() ? 0 : known->second;
}

void WatchCache::ApplyAheadOfWatch(const std::string& key, const std::string& value,
                                   uint64_t version) {
  // While the answer to this write was on its way, the watch may have passed the write and what
  // came after it. Then the copy knows better: otherwise a job that was cancelled here, and ended
  // by the leader at once, would be back for ever.
  if (version > revision_ && key.starts_with(kActivePrefix)) ApplyIfNewer(key, value, version);
}

async::Task<bool> WatchCache::Refresh(std::string key) {
  const uint64_t known = Version(key);
  auto current = co_await client_.Get(key, RequestPriority::kUrgent);
  if (current.ok()) {
    ApplyIfNewer(key, current.value.value, current.value.version);
  } else if (current.status == Status::kNotFound && known != 0 && Version(key) == known) {
    // The revision of the drop is not told. It is after the known version, and before any that the
    // key may get later.
    ApplyIfNewer(key, "", known + 1);
  }
  co_return current.ok() || current.status == Status::kNotFound;
}

void WatchCache::ApplyIfNewer(const std::string& key, const std::string& value, uint64_t version) {
  auto drop = dropped_.find(key);
  if (drop != dropped_.end() && version <= drop->second) return;
  auto known = versions_.find(key);
  if (known != versions_.end() && version <= known->second) return;
  if (value.empty()) {
    dropped_[key] = version;
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
  const double asked_at = scope_.loop().Now();
  while (true) {
    auto page = co_await client_.List(std::string(kActivePrefix), after);
    if (!page.ok()) co_return false;
    // The pages are of different revisions. The watch continues from that of the first, and changes
    // that it repeats do no harm.
    if (first_revision == 0) first_revision = page.value.revision;
    for (const model::KeyValue& entry : page.value.entries) {
      ApplyIfNewer(entry.key, entry.value, entry.version);
      listed.insert(entry.key);
      after = entry.key;
    }
    if (!page.value.more || page.value.entries.empty()) break;
  }
  DropUnlisted(listed, first_revision);
  revision_ = first_revision;
  ConfirmCurrent(asked_at);
  co_return true;
}

void WatchCache::DropUnlisted(const std::unordered_set<std::string>& listed, uint64_t revision) {
  std::vector<std::string> gone;
  for (const auto& [key, version] : versions_) {
    if (version <= revision && !listed.contains(key)) gone.push_back(key);
  }
  for (const std::string& key : gone) ApplyIfNewer(key, "", revision);
}

void WatchCache::ConfirmCurrent(double asked_at) {
  const bool first_since_pause = current_as_of_ < scope_.loop().resumed_at();
  current_as_of_ = std::max(current_as_of_, asked_at);
  // After a pause of the process, some wait until the copy is known to be current again.
  if (first_since_pause) changed_.Notify();
}

void WatchCache::TakeIn(const model::WatchResponse& changes, double asked_at) {
  for (const model::WatchEvent& event : changes.events) {
    ApplyIfNewer(event.key, event.value, event.version);
  }
  revision_ = std::max(revision_, changes.revision);
  ConfirmCurrent(asked_at);
  std::erase_if(dropped_, [this](const auto& drop) { return drop.second <= revision_; });
  if (!changes.events.empty()) changed_.Notify();
}

async::Task<> WatchCache::Run() {
  bool must_load = true;
  while (!scope_.cancelled()) {
    if (must_load) {
      const bool done = co_await Load();
      if (!done) {
        async::Sleep pause(scope_, kRetryS);
        co_await pause;
        continue;
      }
      must_load = false;
      loaded_ = true;
      spdlog::info("state loaded: revision={} keys={}", revision_, versions_.size());
      changed_.Notify();
    }
    const double asked_at = scope_.loop().Now();
    auto changes = co_await client_.Watch(std::string(kActivePrefix), revision_, block_s_);
    if (changes.ok()) TakeIn(changes.value, asked_at);
    if (changes.status == Status::kGone) must_load = true;
    async::Sleep pause(scope_, changes.ok() ? kWatchPauseS : kRetryS);
    co_await pause;
  }
}

}  // namespace hallpier::store
