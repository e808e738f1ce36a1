// Partitions the machines among the controllers on behalf of the leader (docs/team-limits.md):
// assigns blocks of machines to owners and takes them back, gives the owners allocations of the
// teams' quotas, and sends them views of their machines. Owned by the leader; its coroutine ends
// with the term.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "async/wait.h"
#include "blocks/block_planner.h"
#include "blocks/block_view_builder.h"
#include "controller/node_services.h"
#include "fleet/worker_registry.h"
#include "membership/member_record.h"
#include "plan/round.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class BlockCoordinator {
 public:
  // All references must outlive this object.
  BlockCoordinator(const NodeServices& services, const fleet::WorkerRegistry& registry,
                   const plan::PlanningContext& context);

  // Starts the work of a term, which ends when the scope is cancelled.
  void BeginTerm(async::Scope& term);
  // Handles a change of a member's record. `record` is std::nullopt if the record was deleted or
  // can't be decoded.
  void OnMemberRecord(const std::string& node,
                      const std::optional<membership::MemberRecord>& record);
  // Called when the link to a node was established or lost.
  void OnLinkChanged(const std::string& node);
  // Handles an owner's acknowledgement of a view.
  void OnAcknowledged(const std::string& node, const wire::BlockAcknowledgement& acknowledgement);

  // True while blocks have owners, according to the records known to this node.
  bool has_owners() const { return services_.block_records->block_assignment().has_owners(); }
  // True if the leader may place on all machines and use the teams' full quotas: no block has an
  // owner, and the watch cache contains every placement that was made while some block had an
  // owner.
  bool MayPlaceOnAllMachines() const;
  // Returns this node's index among the owners, or std::nullopt if it may not place on a block now.
  // `session` is the membership session of this process.
  std::optional<size_t> OwnerIndex(uint64_t session) const;
  // Returns the scope of a plan over all machines.
  plan::PlacementScope AllMachinesScope() const;
  // Returns the scope of a plan over one owner's block.
  plan::PlacementScope OwnerScope(size_t owner) const;

  // Called after a plan over all machines: writes the necessary changes of the block assignment and
  // the allocations. Sends views to the other nodes if a block has an owner or the view interval
  // has passed. `scope` is the scope of the plan, null if no block had an owner.
  async::Task<> ReviewAfterRound(const plan::RoundResult& round, const plan::PlacementScope* scope);

 private:
  // The views that were sent to a node over its current link.
  struct Link {
    blocks::BlockViewBuilder view_builder;
    // When the views without an acknowledgement were sent (steady time), by sequence number.
    std::map<uint64_t, double> unacknowledged;
  };
  // Permits an owner to retry a job that fails on every machine.
  struct RetryGrant {
    size_t owner = 0;
    double expires_at = 0;  // steady time
  };
  // Sends views at regular intervals, so that owners' leases are renewed even without rounds.
  async::Task<> SendViewsPeriodically();
  // Reports a pause of this process to the block planner, once per pause.
  void HandlePause();
  async::Task<> UpdateBlockAssignment();
  async::Task<> UpdateAllocations(const plan::RoundResult& round,
                                  const plan::PlacementScope& scope);
  async::Task<> CommitChange(blocks::RecordChange change);
  void GrantRetries(const plan::RoundResult& round, const plan::PlacementScope& scope);
  std::set<std::string> RetriesGrantedTo(size_t owner) const;
  void SendViews();
  blocks::CacheState CurrentCacheState() const;
  // Seconds after which one more owner may place a waiting job (blocks::BlockAssignment::MayPlace).
  double WideningIntervalS() const;
  // Maximum seconds between two views.
  double ViewIntervalS() const;
  double Now() const { return services_.scope->loop().Now(); }

  const NodeServices& services_;
  const fleet::WorkerRegistry& registry_;
  const plan::PlanningContext& context_;
  blocks::BlockPlanner block_planner_;
  async::Scope* term_ = nullptr;
  std::map<std::string, Link> links_;               // to all other nodes in the settings
  std::map<std::string, RetryGrant> retry_grants_;  // by job
  double views_sent_at_ = 0;
  double last_pause_end_ = 0;  // end of the last handled pause of the process
};

}  // namespace hallpier::controller
