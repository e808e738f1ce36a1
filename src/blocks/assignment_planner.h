// Decides, on the leader, which controllers own a block. Does no I/O.
//
// Two changes are safe at any time: removing an owner (its machines pass to the other owners,
// together with the tasks placed on them), and rewriting the record under a higher token of the
// same leader. Adding an owner takes machines from the others. It therefore makes all quota
// allocations void until the leader allocates again. Otherwise a former owner's allocation would
// still cover machines whose tasks count for another owner by then.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "blocks/block_assignment.h"
#include "model/ids.h"

namespace hallpier::blocks {

// The nodes that may own a block, with the session of each node's process.
using Candidates = std::map<std::string, uint64_t>;

class AssignmentPlanner {
 public:
  // `max_owners`: limit on the number of owners at a time.
  explicit AssignmentPlanner(size_t max_owners) : max_owners_(max_owners) {}

  // Starts a term of this leader. Its first change makes allocations of earlier leaders void: they
  // may exceed the limits by now, because a leader of an older version may have placed tasks
  // without reading them.
  void BeginTerm(model::FencingToken token) { term_token_ = token; }

  // Returns the record that should replace `current`; std::nullopt if no change is needed. `token`
  // is this leader's token, `revision` the revision of its watch cache. With fewer than two
  // candidates the record has no owners.
  std::optional<BlockAssignmentRecord> PlanChange(const BlockAssignmentRecord& current,
                                                  model::FencingToken token, uint64_t revision,
                                                  const Candidates& candidates) const;

 private:
  // Returns up to `max_owners_` candidates: current owners first, then the others by name.
  std::vector<BlockOwner> ChooseOwners(const BlockAssignmentRecord& current,
                                       const Candidates& candidates) const;

  const size_t max_owners_;
  model::FencingToken term_token_;
};

}  // namespace hallpier::blocks
