// The leader's duties where machines are divided among controllers (docs/team-limits.md): it
// assigns blocks to holders and takes them back, lends holders shares of the teams' quotas, and
// sends them views of their machines. Owned by the leader; its routine ends with the term.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "async/wait.h"
#include "blocks/lending.h"
#include "blocks/view_sender.h"
#include "controller/node_services.h"
#include "fleet/worker_registry.h"
#include "membership/record.h"
#include "plan/round.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class BlockCoordinator {
 public:
  // All references must outlive this.
  BlockCoordinator(const NodeServices& services, const fleet::WorkerRegistry& registry,
                   const plan::PlanningContext& context);

  // A term begins; its duties end with the scope.
  void BeginTerm(async::Scope& term);
  // A member's record has changed; nothing: it was deleted, or can't be read.
  void OnMember(const std::string& node, const std::optional<membership::MemberRecord>& record);
  // The link to a node was made or has broken.
  void OnLink(const std::string& node);
  void OnAcknowledged(const std::string& node, const wire::BlockAcknowledgement& answer);

  // True while blocks have holders, by the records as they are known here.
  bool divided() const { return services_.block_records->division().divided(); }
  // True if the leader may place on all machines, under the quotas themselves: no block has a
  // holder, and the copy of the records has all that was placed while some had.
  bool MayPlaceOnAll() const;
  // This node's index among the holders; nothing: it may not place on a block of its own now.
  // `session`: of this process in the membership.
  std::optional<size_t> HolderIndex(uint64_t session) const;
  // The scopes of a plan over all machines, and of one over a holder's block.
  plan::PlacementScope WholeScope() const;
  plan::PlacementScope HolderScope(size_t holder) const;

  // After a plan over all machines: writes what has to change in the division and the shares, and
  // sends holders what is new. `scope`: the one of the plan; null: machines were not divided.
  async::Task<> ReviewAfterRound(const plan::RoundResult& round, const plan::PlacementScope* scope);

 private:
  // What was sent to a node by its present link.
  struct Link {
    blocks::ViewSender sender;
    // Steady times of views without an acknowledgement, by sequence number.
    std::map<uint64_t, double> unacknowledged;
  };
  // A holder that may retry a job which fails on every machine.
  struct RetryGrant {
    size_t holder = 0;
    double expires_at = 0;  // steady time
  };
  // Sends views at regular intervals, so that holders' leases are renewed without rounds.
  async::Task<> SendRegularly();
  void CheckPause();
  async::Task<> ReviewDivision();
  async::Task<> ReviewShares(const plan::RoundResult& round, const plan::PlacementScope& scope);
  async::Task<> Write(blocks::RecordChange change);
  void GrantRetries(const plan::RoundResult& round, const plan::PlacementScope& scope);
  std::set<std::string> RetriesGrantedTo(size_t holder) const;
  void SendViews();
  blocks::CopyState Copy() const;
  double WidenS() const;         // blocks::Division::MayPlace
  double ViewIntervalS() const;  // between two views at the most
  double Now() const { return services_.scope->loop().Now(); }

  const NodeServices& services_;
  const fleet::WorkerRegistry& registry_;
  const plan::PlanningContext& context_;
  blocks::Lending lending_;
  async::Scope* term_ = nullptr;
  std::map<std::string, Link> links_;               // to all other nodes of the settings
  std::map<std::string, RetryGrant> retry_grants_;  // by job
  double views_sent_at_ = 0;
  double last_pause_ = 0;  // end of the last pause of the process that was taken into account
};

}  // namespace hallpier::controller
