#include "store/watch_cache.h"

#include <spdlog/spdlog.h>

#include <unordered_set>

namespace hallpier::store {
namespace {
constexpr double kRetryS = 0.25;
// Between two answers of the watch, so that a busy minute comes in batches.
constexpr double kGapS = 0.05;
}  // namespace

WatchCache::WatchCache(async::Scope& scope, Client& client, double block_s, Sink sink)
    : scope_(scope), client_(client), block_s_(block_s), sink_(std::move(sink)) {}

uint64_t WatchCache::Version(const std::string& key) const {
  auto it = versions_.find(key);
  return it == versions_.end() ? 0 : it->second;
}

void WatchCache::Apply(const std::string& key, const std::string& value, uint64_t version) {
  // The watch may have passed this write, and what came after it, while its answer was under way:
  // a job that was cancelled here and ended by the leader at once would be back for ever.
  if (version > revision_ && key.starts_with(kActive)) Take(key, value, version);
}

async::Task<bool> WatchCache::Refresh(std::string key) {
  const uint64_t known = Version(key);
  auto now = co_await client_.Get(key, Urgent::kYes);
  if (now.ok()) {
    Take(key, now.value.value, now.value.version);
  } else if (now.status == Status::kNotFound && known != 0 && Version(key) == known) {
    // Dropped after it got the version that is known here, and before anything else it may get.
    Take(key, "", known + 1);
  }
  co_return now.ok() || now.status == Status::kNotFound;
}

void WatchCache::Take(const std::string& key, const std::string& value, uint64_t version) {
  if (auto it = dropped_.find(key); it != dropped_.end() && version <= it->second) return;
  auto known = versions_.find(key);
  if (known != versions_.end() && version <= known->second) return;
  if (value.empty()) {
    dropped_[key] = version;
    if (known == versions_.end()) return;
    versions_.erase(known);
  } else {
    versions_[key] = version;
  }
  sink_(key, value);
}

async::Task<bool> WatchCache::Load() {
  std::unordered_set<std::string> seen;
  std::string after;
  uint64_t first = 0;
  const double asked = scope_.loop().Now();
  while (true) {
    auto page = co_await client_.List(std::string(kActive), after);
    if (!page.ok()) co_return false;
    // Pages are of different moments: the watch goes on from the first, and repeats do no harm.
    if (first == 0) first = page.value.revision;
    for (const auto& e : page.value.entries) {
      Take(e.key, e.value, e.version);
      seen.insert(e.key);
      after = e.key;
    }
    if (!page.value.more || page.value.entries.empty()) break;
  }
  std::vector<std::string> gone;
  for (const auto& [key, version] : versions_) {
    if (version <= first && !seen.contains(key)) gone.push_back(key);
  }
  for (const auto& key : gone) Take(key, "", first);
  revision_ = first;
  SetComplete(asked);
  co_return true;
}

void WatchCache::SetComplete(double asked) {
  const bool confirmed = complete_at_ < scope_.loop().resumed_at();
  complete_at_ = std::max(complete_at_, asked);
  // After a pause of the process, those who wait for a copy that counts hear of it.
  if (confirmed) changed_.Notify();
}

async::Task<> WatchCache::Run() {
  bool fresh = false;
  while (!scope_.cancelled()) {
    if (!fresh) {
      fresh = co_await Load();
      if (fresh) {
        loaded_ = true;
        spdlog::info("state loaded at revision {}: {} keys", revision_, versions_.size());
        changed_.Notify();
      } else {
        async::Sleep pause(scope_, kRetryS);
        co_await pause;
        continue;
      }
    }
    const double asked = scope_.loop().Now();
    auto news = co_await client_.Follow(std::string(kActive), revision_, block_s_);
    if (news.ok()) {
      for (const auto& c : news.value.events) Take(c.key, c.value, c.version);
      revision_ = std::max(revision_, news.value.revision);
      SetComplete(asked);
      std::erase_if(dropped_, [&](const auto& d) { return d.second <= revision_; });
      if (!news.value.events.empty()) changed_.Notify();
      async::Sleep pause(scope_, kGapS);
      co_await pause;
      continue;
    }
    if (news.status == Status::kGone) fresh = false;
    async::Sleep pause(scope_, kRetryS);
    co_await pause;
  }
}

}  // namespace hallpier::store
