// Which controllers are fit to hold a block, as the leader sees it. Does no I/O.
//
// A holder acknowledges each view of its machines that the leader sends; that renews the lease of
// its block, if the state service answers it. The lease says only when the leader may better lend
// the block to others: what keeps a former holder from placing are the guards
// (blocks/block_assignment.h).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "blocks/assignment_planner.h"

namespace hallpier::blocks {

class OwnerEligibility {
 public:
  struct Options {
    std::string node;          // the leader, which is always fit
    double lease_s = 0;        // without a renewal for so long, a block is taken back
    double backoff_s = 0;      // after that its holder gets none for so long; doubled each time...
    double max_backoff_s = 0;  // ...up to this
  };
  explicit OwnerEligibility(Options options) : options_(std::move(options)) {}

  // A term has begun: who held blocks before has not been heard of by this leader yet, and is given
  // the time of a lease.
  void BeginTerm(const BlockAssignmentRecord& block_assignment, double now);
  // After a pause of this process nobody has been asked for a while.
  void OnPause(double now);
  // A member's record: the session that is alive; nothing: it is suspect, failed or gone.
  void OnMember(const std::string& node, std::optional<uint64_t> session);
  // A node has acknowledged a view. `able`: the state service answers it, and its copy is current.
  // `asked`: steady time when the view was sent.
  void OnAcknowledged(const std::string& node, uint64_t session, bool able, double asked);

  // Who may hold a block now.
  Candidates Fit(double now);

 private:
  struct Node {
    std::optional<uint64_t> session;  // alive by its record
    uint64_t acknowledged_session = 0;
    std::optional<double> renewed_at;
    bool fit = false;
    double not_before = 0;
    double backoff_s = 0;
    double fit_since = 0;
  };
  void Lose(Node* node, double now) const;
  bool Renewed(const Node& node, double now) const;

  const Options options_;
  std::map<std::string, Node> nodes_;
};

}  // namespace hallpier::blocks
