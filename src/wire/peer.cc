#include "wire/peer.h"

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
    PutVarint(out, s.token);
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
};

}  // namespace

std::string WritePeerMessage(const PeerMessage& m) {
  Writer w;
  std::visit(w, m);
  return std::move(w.out);
}

std::optional<PeerMessage> ReadPeerMessage(std::string_view payload) {
  VarintReader r(payload);
  PeerMessage out;
  switch (r.Varint()) {
    case kStatus: {
      PeerStatus s;
      s.node = r.Bytes();
      s.token = r.Varint();
      s.leading = r.Varint() != 0;
      s.state_good = r.Varint() != 0;
      out = std::move(s);
      break;
    }
    case kRelayRequest: {
      RelayRequest q;
      q.id = r.Varint();
      q.request.method = r.Bytes();
      q.request.target = r.Bytes();
      q.request.body = r.Bytes();
      out = std::move(q);
      break;
    }
    case kRelayAnswer: {
      RelayAnswer a;
      a.id = r.Varint();
      a.answered = r.Varint() != 0;
      const uint64_t status = r.Varint();
      if (status > 999) return std::nullopt;
      a.response.status = static_cast<int>(status);
      a.response.body = r.Bytes();
      out = std::move(a);
      break;
    }
    case kCancellationReportRequest:
      out = CancellationReportRequest{r.Varint()};
      break;
    case kCancellationReport: {
      CancellationReport v;
      v.complete = r.Varint() != 0;
      v.revision = r.Varint();
      const uint64_t count = r.Varint();
      if (count > kMaxCancellations) return std::nullopt;
      for (uint64_t i = 0; i < count && r.ok(); ++i) v.cancelled.push_back(ReadCancellation(r));
      out = std::move(v);
      break;
    }
    case kCancelNotice:
      out = CancelNotice{ReadCancellation(r)};
      break;
    case kMemberProbe: {
      MemberProbe p;
      p.sequence = r.Varint();
      if (!ReadMemberStatus(r, &p.status)) return std::nullopt;
      out = std::move(p);
      break;
    }
    case kMemberAnswer: {
      MemberAnswer a;
      a.sequence = r.Varint();
      if (!ReadMemberStatus(r, &a.status)) return std::nullopt;
      out = std::move(a);
      break;
    }
    case kMembersRequest:
      out = MembersRequest{};
      break;
    case kMembersReport: {
      MembersReport report;
      if (!ReadMembersReport(r, &report)) return std::nullopt;
      out = std::move(report);
      break;
    }
    default:
      return std::nullopt;
  }
  if (!r.Finished()) return std::nullopt;
  return out;
}

}  // namespace hallpier::wire
