// Decides when records may be written in the newer forms, which versions without job
// dependencies can't read.
//
// Each node records the newest format that it supports. Once all nodes in the settings support the
// newer forms, this fact is recorded permanently for the whole service (the "format record"), where
// every later leader finds it. Until a node has read the format record, it writes only what
// versions without job dependencies can read and preserve.
//
// Two events prove that every node is upgraded even without these records, because the operators
// guarantee that neither occurs earlier: a submission that awaits other jobs, and a refusal that
// only the lowered limits can explain.
//
// The controller of each node owns one instance and uses it only on the thread of its event loop.
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
  // `local_format`: the newest format that this node supports, with the features enabled on it.
  RecordFormats(async::Scope& scope, const config::Settings& settings, Client& client,
                WatchCache& cache, uint64_t local_format = kCancellationReportFormat);

  // Records the format of this node, and writes the format record once all nodes support the newer
  // forms. Returns when both are recorded or the scope is cancelled.
  async::Task<> Run();
  // Handles a node's format from the watch cache; an empty value means the record was deleted.
  void OnNodeFormat(const std::string& node, const std::string& value);
  // Handles the format record from the watch cache.
  void OnFormatRecord(const std::string& value);
  // Declares that every node is known to be upgraded, regardless of the recorded formats. `reason`
  // is logged.
  void MarkAllNodesUpgraded(const std::string& reason);

  // Return whether a node supports a feature, according to the format that it recorded.
  bool SupportsCancellationReports(const std::string& node) const {
    return NodeFormatOf(node) >= kCancellationReportFormat;
  }
  bool SupportsMembership(const std::string& node) const {
    return NodeFormatOf(node) >= kMembershipFormat;
  }
  bool SupportsBlocks(const std::string& node) const { return NodeFormatOf(node) >= kBlocksFormat; }
  // Returns true if every node in the settings has recorded a format that includes blocks, which a
  // node records only if blocks are enabled on it.
  bool AllNodesSupportBlocks() const { return AllNodesSupport(kBlocksFormat); }

  // True once this node has read the format record. The newer forms, including packed groups, may
  // then be written.
  bool packed_groups_enabled() const { return format_record_.has_value(); }
  // True while all nodes are known to be upgraded but this node has not read the format record yet.
  // Until it has read the record, a write that was refused in the old form would be refused again.
  bool change_pending() const { return !packed_groups_enabled() && !upgrade_proof_.empty(); }
  // Limits on the bytes of a value and on the writes of a transaction. Once the format record has
  // been read, these are the lower limits, so that nothing is too large when the service lowers its
  // limits.
  size_t max_value_bytes() const;
  int max_transaction_writes() const;
  // Tasks per group for the record of a new job; 0 if the record does not specify it.
  uint32_t new_job_group_size() const;

 private:
  bool AllNodesSupport(uint64_t format) const;
  uint64_t NodeFormatOf(const std::string& node) const;
  bool LocalFormatRecorded() const;
  bool MustWriteFormatRecord() const;
  bool BothFormatsRecorded() const { return packed_groups_enabled() && LocalFormatRecorded(); }
  // Writes a key if it has the given version. Version 0 requires that the key does not exist.
  async::Task<bool> Write(std::string key, uint64_t version, std::string value);

  async::Scope& scope_;
  const config::Settings& settings_;
  Client& client_;
  WatchCache& cache_;
  const uint64_t local_format_;
  std::map<std::string, uint64_t> node_formats_;  // by node
  std::optional<FormatRecord> format_record_;
  std::string upgrade_proof_;  // why all nodes are known to be upgraded; empty if they are not
  async::Event wake_;
};

// Returns the layout that the format record specifies for jobs whose records specify none. The base
// groups are the groups that the older version created; each is stored in as many parts as needed
// to fit the lower limits.
TaskGroupLayout DefaultLayout(const config::Settings& settings);

}  // namespace hallpier::store
