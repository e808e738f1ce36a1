// The messages between controllers. wire/peer_codec.h has their bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "model/ids.h"
#include "model/machine_view.h"
#include "model/member.h"
#include "wire/http.h"

namespace hallpier::wire {

// How a node sees the lead and the state service; sent as a ping, and back as its answer.
struct PeerStatus {
  std::string node;
  model::FencingToken token;  // the highest that it knows
  bool leading = false;
  bool state_reachable = false;  // the state service answers it
  bool operator==(const PeerStatus&) const = default;
};

// A request to the state service on behalf of a node that is refused there.
struct RelayRequest {
  uint64_t id = 0;
  HttpRequest request;
};

struct RelayResponse {
  uint64_t id = 0;
  bool has_response = false;  // false: no answer came, or the peer refused
  HttpResponse response;
};

// A job's record says that it is cancelled; `version` is the revision of that change.
struct Cancellation {
  std::string job;
  uint64_t version = 0;
  bool operator==(const Cancellation&) const = default;
};

// Cancellation reports are understood by nodes whose recorded format is at least
// store::kCancellationReportFormat, and sent to no other.

// Sent by a leader that the state service does not answer: it asks for every cancellation that it
// may lack, which are those beyond this revision.
struct CancellationReportRequest {
  uint64_t after_revision = 0;
};

// `complete`: every cancellation that this node may ever have confirmed to a user is in
// `cancelled`, or no newer than the revision asked for. `revision`: how far its own watch cache is.
struct CancellationReport {
  bool complete = false;
  uint64_t revision = 0;
  std::vector<Cancellation> cancelled;
};

// Sent unasked as soon as a cancellation is recorded, so that its tasks are stopped early.
struct CancelNotice {
  Cancellation cancelled;
};

// Membership (src/membership) is understood by nodes whose recorded format is at least
// store::kMembershipFormat, and sent to no other.

struct MemberStatus {
  std::string node;
  model::Incarnation incarnation;
  model::MemberState state = model::MemberState::kAlive;  // kLeft: it is shutting down
  model::MemberVitals vitals;
  std::string yields_to;  // a leader that resigns names its successor
  std::vector<model::MemberObservation> observations;
  bool operator==(const MemberStatus&) const = default;
};

// The answer to a probe repeats its sequence number.
struct MemberProbe {
  uint64_t sequence = 0;
  MemberStatus status;
};

struct MemberProbeResponse {
  uint64_t sequence = 0;
  MemberStatus status;
};

// Sent by the command line: asks how a node sees all members.
struct MembersRequest {};

struct MemberRow {
  std::string node;
  model::Incarnation incarnation;
  model::MemberState state = model::MemberState::kAlive;
  bool has_record = false;  // false: it has no record; an older version, or without membership
  bool leading = false;
  uint64_t state_age_ms = 0;  // how long it has been in its state, as far as this node knows
  std::vector<std::string> suspected_by;
  std::string reason;  // of the suspicion or the verdict
  bool operator==(const MemberRow&) const = default;
};

struct MembersReport {
  std::string node;      // whose view it is
  bool enabled = false;  // false: membership is off there, and the rest is empty
  std::vector<MemberRow> rows;
  // The last change of the leader that this node saw; empty: none.
  std::string handover_from, handover_to;
  uint64_t handover_ms_ago = 0;
  bool operator==(const MembersReport&) const = default;
};

// Blocks of machines (src/blocks) are understood by nodes whose recorded format is at least
// store::kBlocksFormat, and sent to no other.

// The state of machines as a holder of a block needs it: what has changed since the view before.
struct BlockView {
  model::FencingToken token;  // of the leader that sends it; the highest one counts
  uint64_t sequence = 0;      // 1: all that was sent before is void
  std::vector<model::MachineView> changed;
  std::vector<std::string> gone;
  std::vector<model::JobFailures> failures;  // the whole list
  bool operator==(const BlockView&) const = default;
};

struct BlockAcknowledgement {
  uint64_t sequence = 0;   // of the view; 0: one was missed, and all is to be sent anew
  uint64_t session = 0;    // of the process that answers
  bool can_place = false;  // the state service answers it, and its watch cache is current
  bool operator==(const BlockAcknowledgement&) const = default;
};

using PeerMessage = std::variant<PeerStatus, RelayRequest, RelayResponse, CancellationReportRequest,
                                 CancellationReport, CancelNotice, MemberProbe, MemberProbeResponse,
                                 MembersRequest, MembersReport, BlockView, BlockAcknowledgement>;

}  // namespace hallpier::wire
