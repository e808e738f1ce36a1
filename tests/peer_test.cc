#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "model/job.h"
#include "wire/frame.h"
#include "wire/peer_codec.h"
#include "wire/peer_messages.h"
#include "wire/varint.h"

namespace hallpier::wire {
namespace {

TEST(Varint, RoundTripsAtLengthBoundaries) {
  for (uint64_t v : {uint64_t{0}, uint64_t{127}, uint64_t{128}, uint64_t{16383}, uint64_t{16384},
                     uint64_t{1} << 63, std::numeric_limits<uint64_t>::max()}) {
    std::string out;
    PutVarint(out, v);
    VarintReader r(out);
    EXPECT_EQ(r.Varint(), v);
    EXPECT_TRUE(r.Finished());
  }
}

TEST(Varint, RejectsTruncatedAndOversizedValues) {
  std::string out;
  PutVarint(out, std::numeric_limits<uint64_t>::max());
  for (size_t n = 0; n < out.size(); ++n) {
    VarintReader r(std::string_view(out).substr(0, n));
    r.Varint();
    EXPECT_FALSE(r.ok()) << n;
  }
  VarintReader oversized(std::string_view("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02", 10));
  oversized.Varint();
  EXPECT_FALSE(oversized.ok()) << "more than 64 bits";
  VarintReader bytes(
      std::string_view("\x05"
                       "abc",
                       4));
  bytes.Bytes();
  EXPECT_FALSE(bytes.ok()) << "a length over the remaining bytes";
}

TEST(FrameDecoder, ReturnsFramesFedByteByByte) {
  const std::string large_payload(1000, 'x');
  const std::string stream = EncodeFrame("one") + EncodeFrame("") + EncodeFrame(large_payload);
  FrameDecoder decoder(2000);
  std::vector<std::string> frames;
  for (char c : stream) {
    decoder.Feed(std::string_view(&c, 1));
    while (auto p = decoder.Next()) frames.push_back(*p);
  }
  EXPECT_EQ(frames, (std::vector<std::string>{"one", "", large_payload}));
  EXPECT_FALSE(decoder.corrupt());
}

TEST(FrameDecoder, RejectsFramesOverLimit) {
  FrameDecoder decoder(100);
  decoder.Feed(EncodeFrame(std::string(101, 'x')));
  EXPECT_FALSE(decoder.Next());
  EXPECT_TRUE(decoder.corrupt());
  FrameDecoder second_decoder(100);
  second_decoder.Feed(std::string(10, '\xff'));
  EXPECT_FALSE(second_decoder.Next());
  EXPECT_TRUE(second_decoder.corrupt());
}

TEST(PeerMessages, RoundTripsAndRejectsInvalidBytes) {
  PeerStatus status{"node-1", model::FencingToken(77), true, false};
  auto decoded = ReadPeerMessage(WritePeerMessage(status));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<PeerStatus>(*decoded), status);
  RelayRequest request{9, {.method = "POST", .target = "/txn", .body = "{}"}};
  const std::string payload = WritePeerMessage(request);
  decoded = ReadPeerMessage(payload);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<RelayRequest>(*decoded).request.body, "{}");
  for (size_t n = 0; n < payload.size(); ++n) {
    EXPECT_FALSE(ReadPeerMessage(std::string_view(payload).substr(0, n))) << n;
  }
  const std::string cancellation_report =
      WritePeerMessage(CancellationReport{true, 431, {{"run-1", 430}, {"run-2", 77}}});
  decoded = ReadPeerMessage(cancellation_report);
  ASSERT_TRUE(decoded);
  EXPECT_TRUE(std::get<CancellationReport>(*decoded).complete);
  EXPECT_EQ(std::get<CancellationReport>(*decoded).revision, 431U);
  EXPECT_EQ(std::get<CancellationReport>(*decoded).cancelled,
            (std::vector<Cancellation>{{"run-1", 430}, {"run-2", 77}}));
  for (size_t n = 0; n < cancellation_report.size(); ++n) {
    EXPECT_FALSE(ReadPeerMessage(std::string_view(cancellation_report).substr(0, n))) << n;
  }
  decoded = ReadPeerMessage(WritePeerMessage(CancellationReportRequest{431}));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<CancellationReportRequest>(*decoded).after_revision, 431U);
  decoded = ReadPeerMessage(WritePeerMessage(CancelNotice{{"run-1", 430}}));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<CancelNotice>(*decoded).cancelled, (Cancellation{"run-1", 430}));
  EXPECT_FALSE(ReadPeerMessage(payload + "x")) << "a byte after the message";
  EXPECT_FALSE(ReadPeerMessage("\x63")) << "an unknown type";
}

// Generates valid messages of every type, with numbers at and near the limits of their fields.
class RandomMessages {
 private:
  bool Flag() { return Below(2) == 1; }
  uint64_t Below(uint64_t limit) {
    return std::uniform_int_distribution<uint64_t>(0, limit - 1)(random_);
  }
  uint64_t Number() {
    constexpr uint64_t kMax = std::numeric_limits<uint64_t>::max();
    constexpr uint64_t kEdges[] = {0,     1,          127,        128,      16383,
                                   16384, 1ULL << 32, 1ULL << 63, kMax - 1, kMax};
    return Flag() ? kEdges[Below(std::size(kEdges))] : Below(kMax);
  }
  std::string Text() {
    std::string text(Flag() ? Below(3) : Below(400), '\0');
    for (char& c : text) c = static_cast<char>(Below(256));
    return text;
  }
  template <class F>
  auto RandomVector(F make) {
    std::vector<decltype(make())> all;
    for (uint64_t n = Below(6); n > 0; --n) all.push_back(make());
    return all;
  }
  model::MemberState State() { return static_cast<model::MemberState>(Below(4)); }
  model::Incarnation NodeIncarnation() { return {Number(), Number()}; }
  MemberStatus Status() {
    auto observation = [this] {
      // The codec reads the largest number back as one less, since 0 stands for never.
      auto heard = Flag() ? std::optional(std::min(Number(), kMaxHeardMsAgo)) : std::nullopt;
      return model::MemberObservation{Text(), NodeIncarnation(), State(), heard};
    };
    return {Text(), NodeIncarnation(),        State(), {Flag(), Flag(), Number(), Number()},
            Text(), RandomVector(observation)};
  }
  MembersReport Report() {
    auto row = [this] {
      auto suspecting_nodes = RandomVector([this] { return Text(); });
      return MemberRow{Text(), NodeIncarnation(), State(),          Flag(),
                       Flag(), Number(),          suspecting_nodes, Text()};
    };
    return {Text(), Flag(), RandomVector(row), Text(), Text(), Number()};
  }

  std::vector<std::string> Texts() {
    return RandomVector([this] { return Text(); });
  }
  BlockView View() {
    auto task = [this] {
      model::TaskId id{Text(), static_cast<uint32_t>(Below(model::kMaxTasksPerJob + 1))};
      return model::TaskView{id,
                             Number(),
                             static_cast<model::TaskPhase>(Below(4)),
                             static_cast<model::ExitCause>(Below(7)),
                             Flag(),
                             Number()};
    };
    auto machine = [&] {
      return model::MachineView{
          Text(), Text(), Text(), Flag(), Flag(), Texts(), RandomVector(task)};
    };
    auto failures = [this] { return model::JobFailures{Text(), Flag(), Flag(), Texts()}; };
    return {model::FencingToken(Number()), Number(), RandomVector(machine), Texts(),
            RandomVector(failures)};
  }

  static constexpr uint64_t kMaxHeardMsAgo = std::numeric_limits<uint64_t>::max() - 1;
  std::mt19937_64 random_;

 public:
  explicit RandomMessages(uint64_t seed) : random_(seed) {}

  PeerMessage OfType(size_t type) {
    switch (type) {
      case 0:
        return PeerStatus{Text(), model::FencingToken(Number()), Flag(), Flag()};
      case 1:
        return RelayRequest{Number(), {.method = Text(), .target = Text(), .body = Text()}};
      case 2:
        return RelayResponse{Number(), Flag(), {.status = 599, .body = Text()}};
      case 3:
        return CancellationReportRequest{Number()};
      case 4:
        return CancellationReport{Flag(), Number(), RandomVector([this] {
                                    return Cancellation{Text(), Number()};
                                  })};
      case 5:
        return CancelNotice{{Text(), Number()}};
      case 6:
        return MemberProbe{Number(), Status()};
      case 7:
        return MemberProbeResponse{Number(), Status()};
      case 8:
        return MembersRequest{};
      case 9:
        return Report();
      case 10:
        return View();
      default:
        return BlockAcknowledgement{Number(), Number(), Flag()};
    }
  }
};

TEST(PeerMessages, RandomMessagesRoundTrip) {
  for (uint64_t seed = 0; seed < 200; ++seed) {
    RandomMessages messages(seed);
    for (size_t type = 0; type < std::variant_size_v<PeerMessage>; ++type) {
      const PeerMessage message = messages.OfType(type);
      ASSERT_EQ(message.index(), type);
      const std::string payload = WritePeerMessage(message);
      const auto decoded = ReadPeerMessage(payload);
      ASSERT_TRUE(decoded) << "seed " << seed << ": " << decoded.error().reason;
      EXPECT_EQ(decoded->index(), type);
      EXPECT_EQ(WritePeerMessage(*decoded), payload) << "seed " << seed << ", type " << type;
      if (const auto* report = std::get_if<MembersReport>(&message)) {
        EXPECT_EQ(std::get<MembersReport>(*decoded), *report) << "seed " << seed;
      }
      if (const auto* view = std::get_if<BlockView>(&message)) {
        EXPECT_EQ(std::get<BlockView>(*decoded), *view) << "seed " << seed;
      }
    }
  }
}

// Guards against an overflow: the codec stores this number plus one, since 0 stands for never, and
// the largest number has no successor.
TEST(PeerMessages, LargestTimeSinceLastHeardIsNotReadAsNever) {
  MemberProbe probe;
  probe.status.observations = {
      {"node-1", {}, model::MemberState::kAlive, std::numeric_limits<uint64_t>::max()}};
  const auto decoded = ReadPeerMessage(WritePeerMessage(probe));
  ASSERT_TRUE(decoded);
  EXPECT_TRUE(std::get<MemberProbe>(*decoded).status.observations.at(0).last_heard_ms_ago);
}

std::string DecodeErrorOf(const std::string& payload) {
  const auto message = ReadPeerMessage(payload);
  EXPECT_FALSE(message);
  return message ? std::string() : message.error().reason;
}

TEST(PeerMessages, DecodeErrorNamesMessageAndField) {
  EXPECT_EQ(DecodeErrorOf("\x63"),
            "a message of an unknown type: message type has the invalid value 99");
  EXPECT_EQ(DecodeErrorOf(WritePeerMessage(MembersRequest{}) + "x"),
            "a members request: unexpected bytes after the message");
  std::string report = WritePeerMessage(MembersReport{});
  EXPECT_EQ(DecodeErrorOf(report.substr(0, report.size() - 1)), "a members report: truncated");
  constexpr size_t kRowCountOffset = 3;  // after the type, an empty name and a flag
  std::string rows = report.substr(0, kRowCountOffset);
  PutVarint(rows, 10001);
  EXPECT_EQ(DecodeErrorOf(rows), "a members report: member count has the invalid value 10001");
  MembersReport one;
  one.rows.push_back({"", {0, 0}, model::MemberState::kLeft, true, false, 0, {}, ""});
  std::string state = WritePeerMessage(one);
  // After the count, a name and an incarnation.
  constexpr size_t kStateOffset = kRowCountOffset + 1 + 3;
  ASSERT_EQ(state[kStateOffset], static_cast<char>(model::MemberState::kLeft));
  state[kStateOffset] = 4;
  EXPECT_EQ(DecodeErrorOf(state), "a members report: member state has the invalid value 4");
  BlockView machine;
  machine.changed.push_back(
      {.machine = "", .machine_type = "", .zone = "", .images = {}, .tasks = {{}}});
  std::string phase = WritePeerMessage(machine);
  // After the view's header, the machine, the task's id and attempt.
  constexpr size_t kPhaseOffset = 14;
  phase[kPhaseOffset] = 9;
  EXPECT_EQ(DecodeErrorOf(phase), "a block view: task phase has the invalid value 9");
  std::string response = WritePeerMessage(RelayResponse{0, true, {.status = 0, .body = ""}});
  response.resize(3);  // the type, an id and a flag
  PutVarint(response, 1000);
  EXPECT_EQ(DecodeErrorOf(response), "a relay response: HTTP status has the invalid value 1000");
}

TEST(PeerMessages, MessageTypesHaveNames) {
  EXPECT_EQ(PeerMessageName(PeerStatus{}), "a peer status");
  EXPECT_EQ(PeerMessageName(MembersReport{}), "a members report");
}

}  // namespace
}  // namespace hallpier::wire
