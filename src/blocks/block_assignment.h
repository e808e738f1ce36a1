// How the machines are divided among controllers, and which of them may place what. Does no I/O.
//
// One record names the holders of blocks; a machine belongs to the holder that comes first for its
// name (blocks/rendezvous_hash.h), so that the record does not grow with the fleet. The record's
// version is the fencing token of all blocks: every placement is guarded by it, by the leader's
// token that it names, and by the version of its holder's share.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "blocks/rendezvous_hash.h"
#include "model/ids.h"
#include "model/job.h"

namespace hallpier::blocks {

struct BlockOwner {
  std::string node;
  uint64_t session = 0;  // of its process (membership/member_record.h)
  // Grows whenever machines leave the block or another process holds it. What was lent to the
  // holder with another grant counts for nothing (quota/allocation_record.h).
  uint64_t allocation_epoch = 0;
  bool operator==(const BlockOwner&) const = default;
};

struct BlockAssignmentRecord {
  // Of the leader that wrote it (election/leader_election.h). A leader of a version that knows no
  // blocks makes it void by taking the lead.
  model::FencingToken token;
  std::vector<BlockOwner> holders;  // none: the leader places on all machines, as without blocks
  bool operator==(const BlockAssignmentRecord&) const = default;
};

std::string WriteBlockAssignment(const BlockAssignmentRecord& record);
// Nothing if it can't be read, or names a node twice.
std::optional<BlockAssignmentRecord> ReadBlockAssignment(std::string_view json);

class BlockAssignment {
 public:
  explicit BlockAssignment(BlockAssignmentRecord record = {});

  const BlockAssignmentRecord& record() const { return record_; }
  bool has_owners() const { return !record_.holders.empty(); }
  // The number of a node among the holders.
  std::optional<size_t> IndexOf(const std::string& node) const;
  // The number of a machine's holder; nothing: it is in no block.
  std::optional<size_t> OwnerOf(std::string_view machine) const;
  // True if a holder may place tasks of a job that has waited for `waited_s`. One holder may from
  // the start, the rule being the same on every node; one more may after each `widen_s`, so that no
  // job waits for a block that has no room for it. Prod and urgent work is open to all at once.
  // Where two try, the guards decide.
  bool MayPlace(size_t holder, const model::JobSpec& spec, model::Priority priority,
                double waited_s, double widen_s) const;

 private:
  BlockAssignmentRecord record_;
  RendezvousHash order_;
};

}  // namespace hallpier::blocks
