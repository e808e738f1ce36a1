// A local copy of everything under kActivePrefix, kept up to date by one watch.
//
// One per node, owned by the controller; used on the thread of its event loop only. The node's own
// commits are applied at once; the watch then repeats them, and may still bring older changes of
// the same keys. For each key, only what is newer than the known version counts, drops included.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "async/wait.h"
#include "model/ids.h"
#include "model/key_value.h"
#include "store/client.h"
#include "store/keys.h"

namespace hallpier::store {

class WatchCache {
 public:
  // Called for every change that counts. An empty value: the key was dropped.
  using ChangeHandler = std::function<void(const std::string& key, const std::string& value)>;

  // A watch without changes is renewed after `block_s` seconds, so that a lost connection is
  // noticed within about that time.
  WatchCache(async::Scope& scope, Client& client, double block_s, ChangeHandler on_change);

  // The routine that loads and then watches, until its scope is cancelled.
  async::Task<> Run();
  bool loaded() const { return loaded_; }
  // The copy holds all changes up to this revision.
  uint64_t revision() const { return revision_; }
  // Steady time in seconds: the copy is known to hold all that was written before.
  double current_as_of() const { return current_as_of_; }
  // At the steady time `asked_at`, somebody asked the service for its revision and was told one
  // that the copy has reached since.
  void ConfirmCurrent(double asked_at);
  // 0 if there is no such key.
  uint64_t Version(const std::string& key) const;
  // The highest fencing token that any leader has taken, as far as the copy knows.
  model::FencingToken fencing_token() const {
    return model::FencingToken(Version(FencingTokenKey()));
  }
  async::Event& changed() { return changed_; }

  // Takes in a write of this node ahead of the watch.
  void ApplyAheadOfWatch(const std::string& key, const std::string& value, uint64_t version);
  // Reads a key again that has turned out to differ from the copy; false if that failed.
  async::Task<bool> Refresh(std::string key);

 private:
  async::Task<bool> Load();
  // Drops the keys that a load up to `revision` did not find.
  void DropUnlisted(const std::unordered_set<std::string>& listed, uint64_t revision);
  void TakeIn(const model::WatchResponse& changes, double asked_at);
  // Takes in a change unless it is older than what is known of the key.
  void ApplyIfNewer(const std::string& key, const std::string& value, uint64_t version);

  async::Scope& scope_;
  Client& client_;
  const double block_s_;
  ChangeHandler on_change_;
  bool loaded_ = false;
  uint64_t revision_ = 0;
  double current_as_of_ = -std::numeric_limits<double>::infinity();
  std::unordered_map<std::string, uint64_t> versions_;
  // Revisions of drops, kept until the watch has passed them: it may still bring older changes of
  // the same keys.
  std::unordered_map<std::string, uint64_t> dropped_;
  async::Event changed_;
};

}  // namespace hallpier::store
