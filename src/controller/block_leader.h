// The leader's duties where machines are divided among controllers: it grants and takes back
// blocks, lends shares of the teams' limits, and tells holders of their machines.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "async/wait.h"
#include "blocks/lending.h"
#include "blocks/view_sender.h"
#include "controller/node_services.h"
#include "membership/record.h"
#include "plan/round.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class BlockLeader {
 public:
  BlockLeader(const NodeServices& services, const fleet::WorkerRegistry& registry,
              const plan::Context& context);

  // A term begins; its duties end with the scope.
  void Begin(async::Scope& term);
  void OnMember(const std::string& node, const std::optional<membership::MemberRecord>& record);
  void OnLink(const std::string& node);
  void OnAcknowledged(const std::string& node, const wire::BlockAcknowledgement& answer);

  // True while blocks are held, as far as the records here say.
  bool divided() const { return services_.block_records->division().divided(); }
  // True if the leader may place on all machines under the limits themselves: nobody holds a block,
  // and the copy has all that was placed while somebody did.
  bool MayPlaceOnAll() const;
  // The number of this node among the holders, if it may place on its block now. `session`: of this
  // process.
  std::optional<size_t> Holding(uint64_t session) const;
  plan::PlacementScope WholeScope() const;
  plan::PlacementScope OwnScope(size_t holder) const;

  // After a plan over all machines: writes what has to change, and tells holders what is new.
  // `scope`: the one it was made with; null: machines were not divided.
  async::Task<> Review(async::Scope& term, const plan::RoundResult& round,
                       const plan::PlacementScope* scope);

 private:
  // What a node was sent and has not acknowledged yet.
  struct Link {
    blocks::ViewSender sender;
    std::map<uint64_t, double> asked;  // steady time by sequence number
  };
  async::Task<> HeartbeatLoop(async::Scope& term);
  void NotePause(double now);
  async::Task<> ReviewDivision(async::Scope& term);
  async::Task<> ReviewShares(async::Scope& term, const plan::RoundResult& round,
                             const plan::PlacementScope& scope);
  async::Task<> Write(async::Scope& term, blocks::RecordChange change) const;
  // Notes for how long which holder is asked to retry which failing job.
  void NoteRetries(const plan::RoundResult& round, const plan::PlacementScope& scope);
  std::set<std::string> RetriesOf(size_t holder) const;
  void SendViews();
  blocks::CopyState Copy() const;
  double WidenS() const;
  double BeatS() const;  // between two views at the most
  double Now() const { return term_->loop().Now(); }

  const NodeServices& services_;
  const fleet::WorkerRegistry& registry_;
  const plan::Context& context_;
  blocks::Lending lending_;
  async::Scope* term_ = nullptr;
  std::map<std::string, Link> links_;  // of all other nodes of the settings
  struct Retry {
    size_t holder = 0;
    double until = 0;
  };
  std::map<std::string, Retry> retries_;  // by job
  double sent_at_ = 0;
  double pause_seen_ = 0;
};

}  // namespace hallpier::controller
