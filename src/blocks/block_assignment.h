// Partitions the machines into blocks, each owned by one controller, and tells which jobs an owner
// may place. Does no I/O.
//
// One record names the owners. A machine belongs to the owner that ranks highest for the machine's
// name (blocks/rendezvous_hash.h), so that the record does not grow with the fleet. The record's
// version is the fencing token of all blocks: every placement by an owner has preconditions on this
// version, on the leader's token in the record, and on the version of the owner's quota allocation.
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

// A controller that owns a block, as the block assignment record names it.
struct BlockOwner {
  std::string node;
  uint64_t session = 0;  // of the node's process (membership/member_record.h)
  // Grows whenever machines leave the block or another process becomes its owner, and with the
  // first change by a new leader (assignment_planner.h). An allocation of any other epoch is void
  // (quota/allocation_record.h).
  uint64_t allocation_epoch = 0;
  bool operator==(const BlockOwner&) const = default;
};

struct BlockAssignmentRecord {
  // Token of the leader that wrote the record (election/leader_election.h). The record is void
  // while the current token differs. Becoming leader changes the token, so even a leader of a
  // version without blocks makes the record void.
  model::FencingToken token;
  // If empty, the leader places tasks on all machines, as without blocks.
  std::vector<BlockOwner> owners;
  bool operator==(const BlockAssignmentRecord&) const = default;
};

std::string WriteBlockAssignment(const BlockAssignmentRecord& record);
// Returns std::nullopt if the text is malformed or names a node twice.
std::optional<BlockAssignmentRecord> ReadBlockAssignment(std::string_view json);

class BlockAssignment {
 public:
  explicit BlockAssignment(BlockAssignmentRecord record = {});

  const BlockAssignmentRecord& record() const { return record_; }
  bool has_owners() const { return !record_.owners.empty(); }
  // Returns the index of a node among the owners; std::nullopt if it is not an owner.
  std::optional<size_t> IndexOf(const std::string& node) const;
  // Returns the index of a machine's owner; std::nullopt if there are no owners.
  std::optional<size_t> OwnerOf(std::string_view machine) const;
  // Returns true if an owner may place tasks of a job that has waited for `waited_s`. At first only
  // the owner that ranks highest for the job's id may; the ranking is the same on every node. One
  // more owner may after each `widen_interval_s`, so that no job waits for a block without room for
  // it; none is added if the interval is not positive. Prod and urgent jobs may be placed by all
  // owners from the start. If two owners try, the preconditions of their writes decide.
  bool MayPlace(size_t owner, const model::JobSpec& spec, model::Priority priority, double waited_s,
                double widen_interval_s) const;

 private:
  BlockAssignmentRecord record_;
  RendezvousHash ranking_;
};

}  // namespace hallpier::blocks
