#include "wire/peer_codec.h"

#include "wire/block_codec.h"
#include "wire/member_codec.h"
#include "wire/varint.h"

namespace hallpier::wire {
namespace {

// Type numbers on the wire, in the order of the alternatives of PeerMessage.
enum MessageType : uint64_t {
  kPeerStatus = 1,
  kRelayRequest = 2,
  kRelayResponse = 3,
  kCancellationReportRequest = 4,
  kCancellationReport = 5,
  kCancelNotice = 6,
  kMemberProbe = 7,
  kMemberProbeResponse = 8,
  kMembersRequest = 9,
  kMembersReport = 10,
  kBlockView = 11,
  kBlockAcknowledgement = 12,
};

void PutCancellation(std::string& out, const Cancellation& cancellation) {
  PutBytes(out, cancellation.job);
  PutVarint(out, cancellation.version);
}

Cancellation ReadCancellation(VarintReader& reader) {
  Cancellation cancellation;
  cancellation.job = reader.Bytes();
  cancellation.version = reader.Varint();
  return cancellation;
}

struct MessageWriter {
  std::string out;

  void operator()(const PeerStatus& status) {
    PutVarint(out, kPeerStatus);
    PutBytes(out, status.node);
    PutVarint(out, status.token.value());
    PutFlag(out, status.leading);
    PutFlag(out, status.state_reachable);
  }
  void operator()(const RelayRequest& relay) {
    PutVarint(out, kRelayRequest);
    PutVarint(out, relay.id);
    PutBytes(out, relay.request.method);
    PutBytes(out, relay.request.target);
    PutBytes(out, relay.request.body);
  }
  void operator()(const RelayResponse& response) {
    PutVarint(out, kRelayResponse);
    PutVarint(out, response.id);
    PutFlag(out, response.has_response);
    PutVarint(out, static_cast<uint64_t>(response.response.status));
    PutBytes(out, response.response.body);
  }
  void operator()(const CancellationReportRequest& request) {
    PutVarint(out, kCancellationReportRequest);
    PutVarint(out, request.after_revision);
  }
  void operator()(const CancellationReport& report) {
    PutVarint(out, kCancellationReport);
    PutFlag(out, report.complete);
    PutVarint(out, report.revision);
    PutVarint(out, report.cancelled.size());
    for (const Cancellation& cancellation : report.cancelled) PutCancellation(out, cancellation);
  }
  void operator()(const CancelNotice& notice) {
    PutVarint(out, kCancelNotice);
    PutCancellation(out, notice.cancelled);
  }
  void operator()(const MemberProbe& probe) {
    PutVarint(out, kMemberProbe);
    PutVarint(out, probe.sequence);
    PutMemberStatus(out, probe.status);
  }
  void operator()(const MemberProbeResponse& response) {
    PutVarint(out, kMemberProbeResponse);
    PutVarint(out, response.sequence);
    PutMemberStatus(out, response.status);
  }
  void operator()(const MembersRequest& /*request*/) { PutVarint(out, kMembersRequest); }
  void operator()(const MembersReport& report) {
    PutVarint(out, kMembersReport);
    PutMembersReport(out, report);
  }
  void operator()(const BlockView& view) {
    PutVarint(out, kBlockView);
    PutBlockView(out, view);
  }
  void operator()(const BlockAcknowledgement& acknowledgement) {
    PutVarint(out, kBlockAcknowledgement);
    PutBlockAcknowledgement(out, acknowledgement);
  }
};

}  // namespace

std::string WritePeerMessage(const PeerMessage& message) {
  MessageWriter writer;
  std::visit(writer, message);
  return std::move(writer.out);
}

namespace {

RelayRequest ReadRelayRequest(VarintReader& reader) {
  RelayRequest request;
  request.id = reader.Varint();
  request.request.method = reader.Bytes();
  request.request.target = reader.Bytes();
  request.request.body = reader.Bytes();
  return request;
}

RelayResponse ReadRelayResponse(VarintReader& reader) {
  constexpr uint64_t kMaxHttpStatus = 999;
  RelayResponse response;
  response.id = reader.Varint();
  response.has_response = reader.Flag();
  const uint64_t status = reader.Varint();
  if (status > kMaxHttpStatus) {
    reader.Reject("HTTP status", status);
    return response;
  }
  response.response.status = static_cast<int>(status);
  response.response.body = reader.Bytes();
  return response;
}

PeerStatus ReadPeerStatus(VarintReader& reader) {
  PeerStatus status;
  status.node = reader.Bytes();
  status.token = model::FencingToken(reader.Varint());
  status.leading = reader.Flag();
  status.state_reachable = reader.Flag();
  return status;
}

CancellationReport ReadCancellationReport(VarintReader& reader) {
  CancellationReport report;
  report.complete = reader.Flag();
  report.revision = reader.Varint();
  report.cancelled = reader.List("cancellation count", kMaxCancellationsPerFrame, ReadCancellation);
  return report;
}

MemberProbe ReadMemberProbe(VarintReader& reader) {
  MemberProbe probe;
  probe.sequence = reader.Varint();
  probe.status = ReadMemberStatus(reader);
  return probe;
}

MemberProbeResponse ReadMemberProbeResponse(VarintReader& reader) {
  MemberProbeResponse response;
  response.sequence = reader.Varint();
  response.status = ReadMemberStatus(reader);
  return response;
}

// Reads the message after its type. Malformed input makes the reader fail.
PeerMessage ReadBody(uint64_t type, VarintReader& reader) {
  switch (type) {
    case kPeerStatus:
      return ReadPeerStatus(reader);
    case kRelayRequest:
      return ReadRelayRequest(reader);
    case kRelayResponse:
      return ReadRelayResponse(reader);
    case kCancellationReportRequest:
      return CancellationReportRequest{reader.Varint()};
    case kCancellationReport:
      return ReadCancellationReport(reader);
    case kCancelNotice:
      return CancelNotice{ReadCancellation(reader)};
    case kMemberProbe:
      return ReadMemberProbe(reader);
    case kMemberProbeResponse:
      return ReadMemberProbeResponse(reader);
    case kMembersRequest:
      return MembersRequest{};
    case kMembersReport:
      return ReadMembersReport(reader);
    case kBlockView:
      return ReadBlockView(reader);
    case kBlockAcknowledgement:
      return ReadBlockAcknowledgement(reader);
    default:
      reader.Reject("message type", type);
      return MembersRequest{};
  }
}

std::string_view TypeName(uint64_t type) {
  switch (type) {
    case kPeerStatus:
      return "a peer status";
    case kRelayRequest:
      return "a relay request";
    case kRelayResponse:
      return "a relay response";
    case kCancellationReportRequest:
      return "a cancellation report request";
    case kCancellationReport:
      return "a cancellation report";
    case kCancelNotice:
      return "a cancellation notice";
    case kMemberProbe:
      return "a member probe";
    case kMemberProbeResponse:
      return "a member probe response";
    case kMembersRequest:
      return "a members request";
    case kMembersReport:
      return "a members report";
    case kBlockView:
      return "a block view";
    case kBlockAcknowledgement:
      return "a block acknowledgement";
    default:
      return "a message of an unknown type";
  }
}

}  // namespace

Result<PeerMessage, MalformedMessage> ReadPeerMessage(std::string_view payload) {
  VarintReader reader(payload);
  const uint64_t type = reader.Varint();
  PeerMessage message = ReadBody(type, reader);
  if (reader.Finished()) return message;
  const std::string error = reader.ok() ? "unexpected bytes after the message" : reader.error();
  return MalformedMessage{std::string(TypeName(type)) + ": " + error};
}

std::string_view PeerMessageName(const PeerMessage& message) {
  // The alternatives of PeerMessage are in the order of the type numbers, which start at 1.
  return TypeName(message.index() + 1);
}

}  // namespace hallpier::wire
