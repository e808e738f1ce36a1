// From when on records may be written in forms that versions without pipelines can't read.
//
// Each node records that it reads them. Once all nodes of the settings have, the change is recorded
// for the whole service, once and for good; whoever leads later finds it there. Until that record
// is read here, this node writes what the version before reads and keeps, and nothing else.
//
// Two things prove without such records that every node is new, as the operators promise: a
// submission that awaits others, and a refusal that only the lowered limits explain.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "async/event_loop.h"
#include "config/settings.h"
#include "store/client.h"
#include "store/records.h"
#include "store/task_group_layout.h"
#include "store/watch_cache.h"

namespace hallpier::store {

class Formats {
 public:
  // `mark`: what this node records that it reads.
  Formats(async::Scope& scope, const config::Settings& settings, Client& client, WatchCache& cache,
          uint64_t mark = kCancellationReportFormat);

  // The routine that records what this node reads, and the change once all do.
  async::Task<> Run();
  void OnNodeFormat(const std::string& node, const std::string& value);
  void OnRecord(const std::string& value);
  // Something has shown that every node is new, whatever is recorded.
  void Prove(const std::string& why);

  // True if a node's mark says that it understands cancellation reports between nodes.
  bool UnderstandsCancellationReports(const std::string& node) const {
    return NodeFormatOf(node) >= kCancellationReportFormat;
  }

  // True if a node's mark says that membership is on there.
  bool UnderstandsMembership(const std::string& node) const {
    return NodeFormatOf(node) >= kMembershipFormat;
  }

  bool UnderstandsBlocks(const std::string& node) const {
    return NodeFormatOf(node) >= kBlocksFormat;
  }
  // True if blocks are on at every node of the settings, as their marks say.
  bool AllUnderstandBlocks() const { return AllMarked(kBlocksFormat); }

  // True once the newer forms may be written.
  bool packed() const { return record_.has_value(); }
  // True while the change is proven and not recorded yet: what was refused in the old form would be
  // refused again.
  bool changing() const { return !packed() && !proof_.empty(); }
  // What a record may hold now, so that the lowering of the limits finds nothing too large.
  size_t value_bytes() const;
  int txn_ops() const;
  // Tasks in a group of a new job; 0: as the versions before reckon.
  uint32_t group() const;

 private:
  bool AllMarked(uint64_t least) const;
  uint64_t NodeFormatOf(const std::string& node) const;
  // Writes a key if its version is the given one; 0: if nobody has written it.
  async::Task<bool> Record(std::string key, uint64_t version, std::string value);

  async::Scope& scope_;
  const config::Settings& settings_;
  Client& client_;
  WatchCache& cache_;
  const uint64_t mark_;
  std::map<std::string, uint64_t> marks_;  // by node
  std::optional<FormatRecord> record_;
  std::string proof_;
  async::Event wake_;
};

// The layout that jobs without one of their own have after the change: groups as the versions
// before divide tasks, each in as many parts as it takes to fit the smaller of the limits.
TaskGroupLayout CommonLayout(const config::Settings& settings);

}  // namespace hallpier::store
