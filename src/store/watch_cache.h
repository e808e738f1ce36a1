// A local cache of all keys with kActivePrefix, kept up to date by one watch.
//
// The controller of each node owns one instance and uses it only on the thread of its event loop.
// Commits of this node are applied immediately; the watch then delivers them again, and may still
// deliver older changes of the same keys. For each key, only changes newer than the known version
// are applied, including deletions.
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
  // Called for every applied change. An empty value means that the key was deleted.
  using ChangeHandler = std::function<void(const std::string& key, const std::string& value)>;
  // Called after the changes of one response have been applied, and after a single change that did
  // not come in a response of the watch.
  using BatchEndHandler = std::function<void()>;

  // A watch without changes is renewed after `block_s` seconds, so that a lost connection is
  // detected within about that time.
  WatchCache(
      async::Scope& scope, Client& client, double block_s, ChangeHandler on_change,
      BatchEndHandler on_batch_end = [] {});

  // Loads all keys and then watches them until the scope is cancelled.
  async::Task<> Run();
  bool loaded() const { return loaded_; }
  // Steady time (s) at which the last load of all keys ended. Changes from before that time may
  // have been missed if a later change replaced them.
  double loaded_at() const { return loaded_at_; }
  // The cache contains all changes up to this revision.
  uint64_t revision() const { return revision_; }
  // Steady time in seconds. The cache is known to contain everything written before this time.
  double current_as_of() const { return current_as_of_; }
  // Reports that the revision of the service was requested at the steady time `requested_at` and
  // that the cache has reached the returned revision since.
  void ConfirmCurrent(double requested_at);
  // Returns 0 if there is no such key.
  uint64_t Version(const std::string& key) const;
  // The highest fencing token that any leader has acquired, according to the cache.
  model::FencingToken fencing_token() const {
    return model::FencingToken(Version(FencingTokenKey()));
  }
  // Notified after a load, after changes from the watch, and at the first ConfirmCurrent after a
  // pause of the process.
  async::Event& changed() { return changed_; }

  // Applies a change known from another source, such as a commit of this node, before the watch
  // delivers it.
  void ApplyAheadOfWatch(const std::string& key, const std::string& value, uint64_t version);
  // Reads a key again after its version at the service turned out to differ from the cached one.
  // Returns false if the read failed.
  async::Task<bool> Refresh(std::string key);

 private:
  async::Task<bool> Load();
  // Deletes the keys that a load up to `revision` did not list.
  void DeleteUnlisted(const std::unordered_set<std::string>& listed, uint64_t revision);
  void ApplyChanges(const model::WatchResponse& changes, double requested_at);
  // Applies a change only if it is newer than the known version of the key. The caller calls
  // on_batch_end_ before it suspends.
  void ApplyIfNewer(const std::string& key, const std::string& value, uint64_t version);

  async::Scope& scope_;
  Client& client_;
  const double block_s_;
  ChangeHandler on_change_;
  BatchEndHandler on_batch_end_;
  bool loaded_ = false;
  double loaded_at_ = -std::numeric_limits<double>::infinity();
  uint64_t revision_ = 0;
  double current_as_of_ = -std::numeric_limits<double>::infinity();
  std::unordered_map<std::string, uint64_t> versions_;
  // Revisions of deletions, kept until the watch has passed them, because it may still deliver
  // older changes of the same keys.
  std::unordered_map<std::string, uint64_t> deletion_revisions_;
  async::Event changed_;
};

}  // namespace hallpier::store
