#include "wire/peer_codec.h"

#include "wire/block_codec.h"
#include "wire/member_codec.h"
#include "wire/varint.h"

namespace hallpier::wire {
namespace {

enum Type : uint64_t {
  kStatus = 1,
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

struct Writer {
  std::string out;

  void operator()(const PeerStatus& status) {
    PutVarint(out, kStatus);
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
  void operator()(const RelayResponse& answer) {
    PutVarint(out, kRelayResponse);
    PutVarint(out, answer.id);
    PutFlag(out, answer.has_response);
    PutVarint(out, static_cast<uint64_t>(answer.response.status));
    PutBytes(out, answer.response.body);
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
  void operator()(const MemberProbeResponse& answer) {
    PutVarint(out, kMemberProbeResponse);
    PutVarint(out, answer.sequence);
    PutMemberStatus(out, answer.status);
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
  Writer writer;
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

RelayResponse ReadRelayAnswer(VarintReader& reader) {
  constexpr uint64_t kMaxStatus = 999;
  RelayResponse answer;
  answer.id = reader.Varint();
  answer.has_response = reader.Flag();
  const uint64_t status = reader.Varint();
  if (status > kMaxStatus) {
    reader.Refuse("the status of a relayed answer", status);
    return answer;
  }
  answer.response.status = static_cast<int>(status);
  answer.response.body = reader.Bytes();
  return answer;
}

PeerStatus ReadStatus(VarintReader& reader) {
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
  report.cancelled =
      reader.List("the number of cancellations", kMaxCancellationsPerFrame, ReadCancellation);
  return report;
}

MemberProbe ReadProbe(VarintReader& reader) {
  MemberProbe probe;
  probe.sequence = reader.Varint();
  probe.status = ReadMemberStatus(reader);
  return probe;
}

MemberProbeResponse ReadAnswer(VarintReader& reader) {
  MemberProbeResponse answer;
  answer.sequence = reader.Varint();
  answer.status = ReadMemberStatus(reader);
  return answer;
}

// The message behind the type; what is malformed shows in the reader.
PeerMessage ReadBody(uint64_t type, VarintReader& reader) {
  switch (type) {
    case kStatus:
      return ReadStatus(reader);
    case kRelayRequest:
      return ReadRelayRequest(reader);
    case kRelayResponse:
      return ReadRelayAnswer(reader);
    case kCancellationReportRequest:
      return CancellationReportRequest{reader.Varint()};
    case kCancellationReport:
      return ReadCancellationReport(reader);
    case kCancelNotice:
      return CancelNotice{ReadCancellation(reader)};
    case kMemberProbe:
      return ReadProbe(reader);
    case kMemberProbeResponse:
      return ReadAnswer(reader);
    case kMembersRequest:
      return MembersRequest{};
    case kMembersReport:
      return ReadMembersReport(reader);
    case kBlockView:
      return ReadBlockView(reader);
    case kBlockAcknowledgement:
      return ReadBlockAcknowledgement(reader);
    default:
      reader.Refuse("the type of a message", type);
      return MembersRequest{};
  }
}

std::string_view TypeName(uint64_t type) {
  switch (type) {
    case kStatus:
      return "a status";
    case kRelayRequest:
      return "a request to relay";
    case kRelayResponse:
      return "a relayed answer";
    case kCancellationReportRequest:
      return "a request for cancellations";
    case kCancellationReport:
      return "a report of cancellations";
    case kCancelNotice:
      return "a notice of a cancellation";
    case kMemberProbe:
      return "a probe";
    case kMemberProbeResponse:
      return "an answer to a probe";
    case kMembersRequest:
      return "a request for members";
    case kMembersReport:
      return "a report of members";
    case kBlockView:
      return "a view of a block";
    case kBlockAcknowledgement:
      return "an acknowledgement of a view";
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
  const std::string fault = reader.ok() ? "more than it should be" : reader.fault();
  return MalformedMessage{std::string(TypeName(type)) + ": " + fault};
}

std::string_view PeerMessageName(const PeerMessage& message) {
  // The alternatives of the variant stand in the order of the types, which begin with 1.
  return TypeName(message.index() + 1);
}

}  // namespace hallpier::wire
