// What controllers say to each other, in the varint codec.
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

// How a node sees the world; sent as a ping, and back as its answer.
struct PeerStatus {
  std::string node;
  model::FencingToken token;  // the highest it knows
  bool leading = false;
  bool state_good = false;  // the state service answers it
  bool operator==(const PeerStatus&) const = default;
};

// A request to the state service on behalf of a node that is refused there.
struct RelayRequest {
  uint64_t id = 0;
  HttpRequest request;
};

struct RelayAnswer {
  uint64_t id = 0;
  bool answered = false;  // false: no answer came, or the peer would not try
  HttpResponse response;
};

// A job's record says that it is cancelled, since the revision `version`.
struct Cancellation {
  std::string job;
  uint64_t version = 0;
  bool operator==(const Cancellation&) const = default;
};

// What follows is understood by nodes whose mark says so (store::kCancellationReportFormat), and
// sent to no other.

// A leader that the state service does not answer asks for what it may lack: every cancellation
// beyond this revision.
struct CancellationReportRequest {
  uint64_t beyond = 0;
};

// `complete`: whatever cancellation this node may ever have told anybody is in `cancelled`, or no
// newer than the revision asked for. `revision`: how far its own copy is complete.
struct CancellationReport {
  bool complete = false;
  uint64_t revision = 0;
  std::vector<Cancellation> cancelled;
};

// Told without being asked, as soon as a cancellation is recorded.
struct CancelNotice {
  Cancellation cancelled;
};

// Membership (src/membership). Understood by nodes whose mark says so (store::kMembershipFormat),
// and sent to no other.

struct MemberStatus {
  std::string node;
  model::Incarnation incarnation;
  model::MemberState state = model::MemberState::kAlive;  // kLeft: it is about to end
  model::MemberVitals vitals;
  std::string yields_to;  // a leader that gives up the lead names who is to take it
  std::vector<model::MemberObservation> observations;
  bool operator==(const MemberStatus&) const = default;
};

// The answer to a probe repeats its sequence number.
struct MemberProbe {
  uint64_t sequence = 0;
  MemberStatus status;
};

struct MemberAnswer {
  uint64_t sequence = 0;
  MemberStatus status;
};

// Asked by the command line: how a node sees all members.
struct MembersRequest {};

struct MemberRow {
  std::string node;
  model::Incarnation incarnation;
  model::MemberState state = model::MemberState::kAlive;
  bool known = false;  // false: it has no record; an older version, or without membership
  bool leading = false;
  uint64_t since_ms = 0;  // how long it has been in its state, as far as this node knows
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

// Blocks of machines (src/blocks). Understood by nodes whose mark says so (store::kBlocksFormat),
// and sent to no other.

// What a holder has to know of machines, as far as it has changed since the view before.
struct BlockView {
  model::FencingToken token;  // of the leader that tells it; the highest one counts
  uint64_t sequence = 0;      // 1: all that was told before is void
  std::vector<model::MachineView> changed;
  std::vector<std::string> gone;
  std::vector<model::JobFailures> failures;  // all there are
  bool operator==(const BlockView&) const = default;
};

struct BlockAcknowledgement {
  uint64_t sequence = 0;  // of the view; 0: one was missed, and all is to be told anew
  uint64_t session = 0;   // of the process that answers
  bool able = false;      // the state service answers it, and its copy of the records is current
  bool operator==(const BlockAcknowledgement&) const = default;
};

using PeerMessage = std::variant<PeerStatus, RelayRequest, RelayAnswer, CancellationReportRequest,
                                 CancellationReport, CancelNotice, MemberProbe, MemberAnswer,
                                 MembersRequest, MembersReport, BlockView, BlockAcknowledgement>;

// The payload of a frame.
std::string WritePeerMessage(const PeerMessage& m);
// Nothing if it is malformed; `fault`, if given, then says what came and what is wrong with it.
std::optional<PeerMessage> ReadPeerMessage(std::string_view payload, std::string* fault = nullptr);
// What a message is, in words for a log or a console.
std::string_view PeerMessageName(const PeerMessage& message);

inline constexpr size_t kMaxPeerFrame = size_t{256} * 1024;
// Cancellations in one frame; job ids are short.
inline constexpr size_t kMaxCancellations = 4096;

}  // namespace hallpier::wire
