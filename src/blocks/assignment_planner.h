// Decides, on the leader, who holds blocks. Does no I/O.
//
// Safe at any moment are: to take a block back (its machines pass to the others, with what is
// placed on them), and to write the record anew under a higher token of the same leader. Whoever
// gets a block takes machines from others: then all that is lent counts for nothing until it is
// lent anew, since a former holder's share would else cover machines whose tasks count elsewhere by
// then.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "blocks/block_assignment.h"
#include "model/ids.h"

namespace hallpier::blocks {

// By node: the session of its process.
using Candidates = std::map<std::string, uint64_t>;

class AssignmentPlanner {
 public:
  // `most`: holders at a time.
  explicit AssignmentPlanner(size_t most) : most_(most) {}

  // A term of this leader has begun. What the records of others lent may be beyond the limits by
  // now: a leader of an older version may have placed without a look at them.
  void BeginTerm(model::FencingToken token) { first_token_ = token; }

  // The record to be written in place of `current`; nothing: it is as it should be. `token`: of
  // this leader. `revision`: how far its copy of the records is. Fewer than two candidates hold
  // nothing.
  std::optional<BlockAssignmentRecord> Review(const BlockAssignmentRecord& current,
                                              model::FencingToken token, uint64_t revision,
                                              const Candidates& candidates) const;

 private:
  // Those that hold a block first, then by name, `most_` at the most.
  std::vector<BlockOwner> Chosen(const BlockAssignmentRecord& current,
                                 const Candidates& candidates) const;

  const size_t most_;
  model::FencingToken first_token_;
};

}  // namespace hallpier::blocks
