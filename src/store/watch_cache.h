// A warm copy of everything under kActive, followed by one watch.
//
// Own commits are applied at once; the watch then repeats them, and may still bring older changes
// of the same keys. Per key only what is newer than the known version counts, drops included.
#pragma once

#include <algorithm>
#include <limits>
#include <string>
#include <unordered_map>

#include "async/event_loop.h"
#include "store/client.h"
#include "store/keys.h"

namespace hallpier::store {

class WatchCache {
 public:
  // Told of every change that counts. An empty value: the key was dropped.
  using Sink = std::function<void(const std::string& key, const std::string& value)>;

  // A watch is asked anew after `block_s`, so that a cut is noticed within about that time.
  WatchCache(async::Scope& scope, Client& client, double block_s, Sink sink);

  // The routine that loads and follows, for as long as its scope lives.
  async::Task<> Run();
  bool loaded() const { return loaded_; }
  uint64_t revision() const { return revision_; }
  // Steady time as of which the copy is known to hold all that had been written.
  double complete_at() const { return complete_at_; }
  // Somebody read at `asked` that the service was no further than this copy is now.
  void SetComplete(double asked);
  uint64_t Version(const std::string& key) const;
  // The highest token that any leader has taken, as far as the copy knows.
  model::FencingToken fencing_token() const {
    return model::FencingToken(Version(FencingTokenKey()));
  }
  async::Event& changed() { return changed_; }

  // Takes in a write of this node's own ahead of the watch.
  void Apply(const std::string& key, const std::string& value, uint64_t version);
  // Reads a key that has turned out to be other than it is here; false if that failed.
  async::Task<bool> Refresh(std::string key);

 private:
  async::Task<bool> Load();
  void Take(const std::string& key, const std::string& value, uint64_t version);

  async::Scope& scope_;
  Client& client_;
  const double block_s_;
  Sink sink_;
  bool loaded_ = false;
  uint64_t revision_ = 0;
  double complete_at_ = -std::numeric_limits<double>::infinity();
  std::unordered_map<std::string, uint64_t> versions_;
  // Keys dropped ahead of the watch, until it has passed that revision.
  std::unordered_map<std::string, uint64_t> dropped_;
  async::Event changed_;
};

}  // namespace hallpier::store
