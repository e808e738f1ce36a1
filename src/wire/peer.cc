#include "wire/peer.h"

#include "wire/block_codec.h"
#include "wire/member_codec.h"
#include "wire/varint.h"

namespace hallpier::wire {
namespace {

enum Type : uint64_t {
  kStatus = 1,
  kRelayRequest = 2,
  kRelayAnswer = 3,
  kCancellationReportRequest = 4,
  kCancellationReport = 5,
  kCancelNotice = 6,
  kMemberProbe = 7,
  kMemberAnswer = 8,
  kMembersRequest = 9,
  kMembersReport = 10,
  kBlockView = 11,
  kBlockAcknowledgement = 12,
};

void PutCancellation(std::string& out, const Cancellation& c) {
  PutBytes(out, c.job);
  PutVarint(out, c.version);
}

Cancellation ReadCancellation(VarintReader& r) {
  Cancellation c;
  c.job = r.Bytes();
  c.version = r.Varint();
  return c;
}

struct Writer {
  std::string out;

  void operator()(const PeerStatus& s) {
    PutVarint(out, kStatus);
    PutBytes(out, s.node);
    PutVarint(out, s.token.value());
    PutVarint(out, static_cast<uint64_t>(s.leading));
    PutVarint(out, static_cast<uint64_t>(s.state_good));
  }
  void operator()(const RelayRequest& r) {
    PutVarint(out, kRelayRequest);
    PutVarint(out, r.id);
    PutBytes(out, r.request.method);
    PutBytes(out, r.request.target);
    PutBytes(out, r.request.body);
  }
  void operator()(const RelayAnswer& a) {
    PutVarint(out, kRelayAnswer);
    PutVarint(out, a.id);
    PutVarint(out, static_cast<uint64_t>(a.answered));
    PutVarint(out, static_cast<uint64_t>(a.response.status));
    PutBytes(out, a.response.body);
  }
  void operator()(const CancellationReportRequest& q) {
    PutVarint(out, kCancellationReportRequest);
    PutVarint(out, q.beyond);
  }
  void operator()(const CancellationReport& v) {
    PutVarint(out, kCancellationReport);
    PutVarint(out, static_cast<uint64_t>(v.complete));
    PutVarint(out, v.revision);
    PutVarint(out, v.cancelled.size());
    for (const Cancellation& c : v.cancelled) PutCancellation(out, c);
  }
  void operator()(const CancelNotice& n) {
    PutVarint(out, kCancelNotice);
    PutCancellation(out, n.cancelled);
  }
  void operator()(const MemberProbe& p) {
    PutVarint(out, kMemberProbe);
    PutVarint(out, p.sequence);
    PutMemberStatus(out, p.status);
  }
  void operator()(const MemberAnswer& a) {
    PutVarint(out, kMemberAnswer);
    PutVarint(out, a.sequence);
    PutMemberStatus(out, a.status);
  }
  void operator()(const MembersRequest& /*request*/) { PutVarint(out, kMembersRequest); }
  void operator()(const MembersReport& r) {
    PutVarint(out, kMembersReport);
    PutMembersReport(out, r);
  }
  void operator()(const BlockView& v) {
    PutVarint(out, kBlockView);
    PutBlockView(out, v);
  }
  void operator()(const BlockAcknowledgement& a) {
    PutVarint(out, kBlockAcknowledgement);
    PutBlockAcknowledgement(out, a);
  }
};

}  // namespace

std::string WritePeerMessage(const PeerMessage& m) {
  Writer w;
  std::visit(w, m);
  return std::move(w.out);
}

namespace {

RelayRequest ReadRelayRequest(VarintReader& r) {
  RelayRequest request;
  request.id = r.Varint();
  request.request.method = r.Bytes();
  request.request.target = r.Bytes();
  request.request.body = r.Bytes();
  return request;
}

RelayAnswer ReadRelayAnswer(VarintReader& r) {
  constexpr uint64_t kMaxStatus = 999;
  RelayAnswer answer;
  answer.id = r.Varint();
  answer.answered = r.Varint() != 0;
  const uint64_t status = r.Varint();
  if (status > kMaxStatus) {
    r.Refuse("the status of a relayed answer", status);
    return answer;
  }
  answer.response.status = static_cast<int>(status);
  answer.response.body = r.Bytes();
  return answer;
}

PeerStatus ReadStatus(VarintReader& r) {
  PeerStatus status;
  status.node = r.Bytes();
  status.token = model::FencingToken(r.Varint());
  status.leading = r.Varint() != 0;
  status.state_good = r.Varint() != 0;
  return status;
}

CancellationReport ReadCancellationReport(VarintReader& r) {
  CancellationReport report;
  report.complete = r.Varint() != 0;
  report.revision = r.Varint();
  const uint64_t count = r.Count("the number of cancellations", kMaxCancellations);
  for (uint64_t i = 0; i < count && r.ok(); ++i) report.cancelled.push_back(ReadCancellation(r));
  return report;
}

MemberProbe ReadProbe(VarintReader& r) {
  MemberProbe probe;
  probe.sequence = r.Varint();
  probe.status = ReadMemberStatus(r);
  return probe;
}

MemberAnswer ReadAnswer(VarintReader& r) {
  MemberAnswer answer;
  answer.sequence = r.Varint();
  answer.status = ReadMemberStatus(r);
  return answer;
}

// The message behind the type; what is malformed shows in the reader.
PeerMessage ReadBody(uint64_t type, VarintReader& r) {
  switch (type) {
    case kStatus:
      return ReadStatus(r);
    case kRelayRequest:
      return ReadRelayRequest(r);
    case kRelayAnswer:
      return ReadRelayAnswer(r);
    case kCancellationReportRequest:
      return CancellationReportRequest{r.Varint()};
    case kCancellationReport:
      return ReadCancellationReport(r);
    case kCancelNotice:
      return CancelNotice{ReadCancellation(r)};
    case kMemberProbe:
      return ReadProbe(r);
    case kMemberAnswer:
      return ReadAnswer(r);
    case kMembersRequest:
      return MembersRequest{};
    case kMembersReport:
      return ReadMembersReport(r);
    case kBlockView:
      return ReadBlockView(r);
    case kBlockAcknowledgement:
      return ReadBlockAcknowledgement(r);
    default:
      r.Refuse("the type of a message", type);
      return MembersRequest{};
  }
}

std::string_view TypeName(uint64_t type) {
  switch (type) {
    case kStatus:
      return "a status";
    case kRelayRequest:
      return "a request to relay";
    case kRelayAnswer:
      return "a relayed answer";
    case kCancellationReportRequest:
      return "a request for cancellations";
    case kCancellationReport:
      return "a report of cancellations";
    case kCancelNotice:
      return "a notice of a cancellation";
    case kMemberProbe:
      return "a probe";
    case kMemberAnswer:
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

std::optional<PeerMessage> ReadPeerMessage(std::string_view payload, std::string* fault) {
  VarintReader r(payload);
  const uint64_t type = r.Varint();
  PeerMessage message = ReadBody(type, r);
  if (r.Finished()) return message;
  if (fault != nullptr) {
    *fault = std::string(TypeName(type)) + ": " + (r.ok() ? "more than it should be" : r.fault());
  }
  return std::nullopt;
}

std::string_view PeerMessageName(const PeerMessage& message) {
  // The alternatives of the variant stand in the order of the types, which begin with 1.
  return TypeName(message.index() + 1);
}

}  // namespace hallpier::wire
