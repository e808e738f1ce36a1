// From when on records may be written in the newer forms, which versions without job dependencies
// can't read.
//
// Each node records the newest format that it understands. Once all nodes of the settings
// understand the newer forms, that is recorded for the whole service ("format record"), once and
// for good, and every later leader finds it there. Until a node has read that record, it writes
// only what the older version reads and preserves.
//
// Two events prove without such records that every node is upgraded, since the operators promise
// both only for then: a submission that awaits other jobs, and a refusal that only the lowered
// limits explain.
//
// One per node, owned by the controller; used on the thread of its event loop only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "async/wait.h"
#include "config/settings.h"
#include "store/client.h"
#include "store/records.h"
#include "store/watch_cache.h"

namespace hallpier::store {

class RecordFormats {
 public:
  // `own_format`: the newest format that this node understands.
  RecordFormats(async::Scope& scope, const config::Settings& settings, Client& client,
                WatchCache& cache, uint64_t own_format = kCancellationReportFormat);

  // The routine that records this node's own format, and the change once all nodes understand it.
  // Ends when both are recorded or the scope is cancelled.
  async::Task<> Run();
  // The watch cache has a node's format; an empty value: the record was dropped.
  void OnNodeFormat(const std::string& node, const std::string& value);
  // The watch cache has the format record.
  void OnFormatRecord(const std::string& value);
  // Something has shown that every node is upgraded, whatever is recorded. `reason` is logged.
  void MarkAllNodesUpgraded(const std::string& reason);

  // What a node understands, according to the format that it recorded.
  bool SupportsCancellationReports(const std::string& node) const {
    return NodeFormatOf(node) >= kCancellationReportFormat;
  }
  bool SupportsMembership(const std::string& node) const {
    return NodeFormatOf(node) >= kMembershipFormat;
  }
  bool SupportsBlocks(const std::string& node) const { return NodeFormatOf(node) >= kBlocksFormat; }
  // True if blocks are switched on at every node of the settings.
  bool AllNodesSupportBlocks() const { return AllNodesSupport(kBlocksFormat); }

  // True once the format record is read: the newer forms, packed groups among them, may be written.
  bool packed_groups_enabled() const { return format_record_.has_value(); }
  // True while the change is proven but its record is not read yet. What was refused in the old
  // form would be refused again until then.
  bool change_pending() const { return !packed_groups_enabled() && !proof_.empty(); }
  // Bytes that a value may have, and writes that a transaction may hold. From the change on these
  // are the lower limits, so that nothing is too large once the limits are lowered.
  size_t max_value_bytes() const;
  int max_transaction_writes() const;
  // The group size that the record of a new job names; 0: none.
  uint32_t new_job_group_size() const;

 private:
  bool AllNodesSupport(uint64_t format) const;
  uint64_t NodeFormatOf(const std::string& node) const;
  bool OwnFormatRecorded() const;
  bool ChangeDue() const;
  bool Finished() const { return packed_groups_enabled() && OwnFormatRecorded(); }
  // Writes a key if its version is the given one; 0: if there is no such key.
  async::Task<bool> Write(std::string key, uint64_t version, std::string value);

  async::Scope& scope_;
  const config::Settings& settings_;
  Client& client_;
  WatchCache& cache_;
  const uint64_t own_format_;
  std::map<std::string, uint64_t> node_formats_;  // by node
  std::optional<FormatRecord> format_record_;
  std::string proof_;  // that all nodes are upgraded; empty: none
  async::Event wake_;
};

// The layout, after the change, of jobs whose records name none: the wholes are the groups that the
// older version made, and each is kept in as many parts as it takes to fit the lower limits.
TaskGroupLayout CommonLayout(const config::Settings& settings);

}  // namespace hallpier::store
