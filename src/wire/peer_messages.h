// The messages between controllers. Their encoding is in wire/peer_codec.h.
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

// A node's view of the leadership and of the state service. Sent both as a ping and as its
// response.
struct PeerStatus {
  std::string node;
  model::FencingToken token;  // the highest that the node knows
  bool leading = false;
  bool state_reachable = false;  // true if the state service answers the node
  bool operator==(const PeerStatus&) const = default;
};

// Asks the receiver to relay a request to the state service, which refuses the sender.
struct RelayRequest {
  uint64_t id = 0;
  HttpRequest request;
};

struct RelayResponse {
  uint64_t id = 0;
  bool has_response = false;  // false if the service did not answer or the peer refused to relay
  HttpResponse response;
};

// A job whose record marks it as cancelled.
struct Cancellation {
  std::string job;
  uint64_t version = 0;  // the revision that recorded the cancellation
  bool operator==(const Cancellation&) const = default;
};

// Cancellation reports are sent only to nodes whose recorded format is at least
// store::kCancellationReportFormat; others may not understand them.

// Sent by a leader that the state service does not answer. Asks for every cancellation that the
// leader may have missed: those with a revision after `after_revision`.
struct CancellationReportRequest {
  uint64_t after_revision = 0;
};

// `complete` is true if every cancellation that the sender may ever have confirmed to a user is
// either in `cancelled` or no newer than the request's `after_revision`. `revision` is the revision
// that the sender's watch cache has reached.
struct CancellationReport {
  bool complete = false;
  uint64_t revision = 0;
  std::vector<Cancellation> cancelled;
};

// Sent without a request as soon as a cancellation is recorded, so that the job's tasks are stopped
// early.
struct CancelNotice {
  Cancellation cancelled;
};

// Membership messages (src/membership) are sent only to nodes whose recorded format is at least
// store::kMembershipFormat; others may not understand them.

// A node's view of itself and of the other members.
struct MemberStatus {
  std::string node;
  model::Incarnation incarnation;
  model::MemberState state = model::MemberState::kAlive;  // kLeft: the node is shutting down
  model::LeadershipFitness fitness;
  std::string successor;  // the successor that a resigning leader names; otherwise empty
  std::vector<model::MemberObservation> observations;
  bool operator==(const MemberStatus&) const = default;
};

struct MemberProbe {
  uint64_t sequence = 0;
  MemberStatus status;
};

struct MemberProbeResponse {
  uint64_t sequence = 0;  // that of the probe
  MemberStatus status;
};

// Asks a node for its view of all members. Sent by the command line.
struct MembersRequest {};

// A member as seen by the node that sends the report.
struct MemberRow {
  std::string node;
  model::Incarnation incarnation;
  model::MemberState state = model::MemberState::kAlive;
  // False if the node has no membership record: it runs an older version or has membership off.
  bool has_record = false;
  bool leading = false;
  uint64_t state_age_ms = 0;  // how long the reporting node has seen the member in this state
  std::vector<std::string> suspected_by;
  std::string reason;  // why it is suspected or was declared failed
  bool operator==(const MemberRow&) const = default;
};

struct MembersReport {
  std::string node;      // the reporting node
  bool enabled = false;  // false if membership is off on that node; the rest is then empty
  std::vector<MemberRow> rows;
  // The last change of leader that the node observed; empty if it has observed none.
  std::string handover_from, handover_to;
  uint64_t handover_ms_ago = 0;
  bool operator==(const MembersReport&) const = default;
};

// Block messages (src/blocks) are sent only to nodes whose recorded format is at least
// store::kBlocksFormat; others may not understand them.

// The state of machines that the owner of a block needs to place tasks on them: the changes since
// the previous view.
struct BlockView {
  model::FencingToken token;  // of the sending leader; outdated if below the highest received
  uint64_t sequence = 0;      // 1 starts over: all earlier views are void
  std::vector<model::MachineView> changed;
  std::vector<std::string> removed;          // removed machines
  std::vector<model::JobFailures> failures;  // the complete list, not only changes
  bool operator==(const BlockView&) const = default;
};

struct BlockAcknowledgement {
  uint64_t sequence = 0;   // of the view; 0 if one was missed and all must be sent again
  uint64_t session = 0;    // of the acknowledging process
  bool can_place = false;  // it reaches the state service and its watch cache is current
  bool operator==(const BlockAcknowledgement&) const = default;
};

using PeerMessage = std::variant<PeerStatus, RelayRequest, RelayResponse, CancellationReportRequest,
                                 CancellationReport, CancelNotice, MemberProbe, MemberProbeResponse,
                                 MembersRequest, MembersReport, BlockView, BlockAcknowledgement>;

}  // namespace hallpier::wire
