#include "net/peer_mesh.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>

#include "net/address.h"
#include "wire/frame.h"
#include "wire/peer_codec.h"
#include "wire/varint.h"

namespace hallpier::net {
namespace {

// Pings per report period.
constexpr double kBeats = 8;
// A status is believed for this many beats.
constexpr double kFreshBeats = 3;
// A link that brought nothing for this many beats is broken.
constexpr double kDeadBeats = 6;
constexpr double kRelayTimeoutS = 0.8;
// Requests that wait for one peer at a time; more are refused at once.
constexpr size_t kMaxPending = 64;

}  // namespace

PeerMesh::PeerMesh(async::Scope& scope, const config::Settings& settings, Hooks hooks)
    : scope_(scope), settings_(settings), hooks_(std::move(hooks)) {
  for (const config::Seed& s : settings_.OtherSeeds()) {
    peers_.push_back(std::make_unique<Peer>());
    peers_.back()->seed = s;
  }
}

double PeerMesh::beat() const { return settings_.heartbeat_interval_s / kBeats; }

bool PeerMesh::Start(std::string* error) {
  auto at = ParseAddress(settings_.peer_bind);
  auto listener = Listener::Open(*at, error);
  if (!listener) return false;
  scope_.Spawn(AcceptLoop(std::move(*listener)));
  for (auto& p : peers_) scope_.Spawn(DialLoop(p.get()));
  return true;
}

bool PeerMesh::Fresh(const Peer& p) const {
  return p.connected && scope_.loop().Now() - p.heard < kFreshBeats * beat();
}

bool PeerMesh::AnyFresh() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) { return Fresh(*p); });
}

bool PeerMesh::AllPeersReportOutage() const {
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return Fresh(*p) && !p->status.state_reachable;
  });
}

bool PeerMesh::AnyPeerReachesState() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& p) { return Fresh(*p) && p->status.state_reachable; });
}

async::Task<RelayResult> PeerMesh::Relay(wire::HttpRequest request) {
  Peer* best = nullptr;
  for (auto& p : peers_) {
    if (!Fresh(*p) || !p->status.state_reachable || p->pending.size() >= kMaxPending) continue;
    if (best == nullptr || p->pending.size() < best->pending.size()) best = p.get();
  }
  if (best == nullptr) co_return RelayResult();
  const uint64_t id = ++next_id_;
  auto pending = std::make_shared<Pending>();
  best->pending[id] = pending;
  wire::RelayRequest relay{id, std::move(request)};
  best->outbox += wire::Frame(wire::WritePeerMessage(std::move(relay)));
  best->wake.Notify();
  if (!pending->done) {
    auto wait = pending->event.Await(scope_, kRelayTimeoutS);
    co_await wait;
  }
  best->pending.erase(id);
  RelayResult out;
  out.sent = true;
  out.answer = std::move(pending->answer);
  co_return out;
}

void PeerMesh::BroadcastCancellation(const wire::CancelNotice& notice) {
  for (auto& p : peers_) {
    if (!p->connected || !hooks_.supports_cancellation_reports ||
        !hooks_.supports_cancellation_reports(p->seed.node))
      continue;
    p->outbox += wire::Frame(wire::WritePeerMessage(notice));
    p->wake.Notify();
  }
}

void PeerMesh::Send(const std::string& node, const wire::PeerMessage& message) {
  for (auto& p : peers_) {
    if (p->seed.node != node || !p->connected) continue;
    p->outbox += wire::Frame(wire::WritePeerMessage(message));
    p->wake.Notify();
  }
}

void PeerMesh::SetLink(Peer* peer, bool up) {
  peer->connected = up;
  if (up) {
    spdlog::debug("peer {}: link up", peer->seed.node);
    peer->outbox.clear();
    peer->asked.clear();
    peer->cancellation_report_asked.clear();
  } else {
    spdlog::info("peer {}: link down", peer->seed.node);
    peer->broke = true;
    peer->wake.Notify();
    for (auto& [id, pending] : peer->pending) {
      pending->done = true;
      pending->event.Notify();
    }
  }
  if (hooks_.on_link) hooks_.on_link(peer->seed.node, up);
}

async::Task<> PeerMesh::DialLoop(Peer* peer) {
  auto to = ParseAddress(peer->seed.endpoint);
  while (!scope_.cancelled()) {
    int error = 0;
    std::optional<Stream> stream =
        co_await Stream::Connect(scope_, *to, scope_.loop().Now() + 4 * beat(), &error);
    if (stream) {
      auto shared = std::make_shared<Stream>(std::move(*stream));
      auto open = std::make_shared<bool>(true);
      SetLink(peer, true);
      scope_.Spawn(WriteLoop(peer, shared, open));
      co_await ReadLoop(peer, shared, open);
      SetLink(peer, false);
      continue;
    }
    // A packet filter refuses as well, and then mostly between all nodes: only where another peer
    // can be reached does a refusal say something of this one.
    // Nor is it one if there was no link that broke, and it is told only once for a link: else a
    // live node behind a filter would lose the lead again and again.
    if (error == ECONNREFUSED && peer->broke && AnyFresh()) {
      peer->broke = false;
      hooks_.on_connection_refused(peer->seed.node);
    }
    async::Sleep pause(scope_, beat());
    co_await pause;
  }
}

async::Task<> PeerMesh::WriteLoop(Peer* peer, std::shared_ptr<Stream> stream,
                                  std::shared_ptr<bool> open) {
  double next_ping = 0;
  while (*open && !scope_.cancelled()) {
    const double now = scope_.loop().Now();
    if (now >= next_ping) {
      peer->outbox += wire::Frame(wire::WritePeerMessage(hooks_.status()));
      peer->asked.push_back(now);
      const bool able = hooks_.supports_cancellation_reports &&
                        hooks_.supports_cancellation_reports(peer->seed.node);
      if (auto q = able ? hooks_.cancellation_report_request(peer->seed.node) : std::nullopt) {
        peer->outbox += wire::Frame(wire::WritePeerMessage(*q));
        peer->cancellation_report_asked.push_back(now);
      }
      next_ping = now + beat();
    }
    const std::string out = std::exchange(peer->outbox, {});
    if (!out.empty()) {
      bool written = co_await stream->Write(scope_, out, now + kDeadBeats * beat());
      if (!written) break;
      continue;
    }
    auto wait = peer->wake.Await(scope_, next_ping - now);
    co_await wait;
  }
}

void PeerMesh::OnStatus(Peer* peer, const wire::PeerStatus& status) {
  // Each ping gets one status, in order. It counts from when it was asked for: who stood still
  // finds old ones in its buffers, and what they say is no longer so.
  if (peer->asked.empty()) return;
  peer->heard = peer->asked.front();
  peer->asked.pop_front();
  peer->status = status;
  hooks_.on_status(status);
  if (hooks_.on_status_answered) hooks_.on_status_answered(peer->seed.node, peer->heard);
}

bool PeerMesh::Take(Peer* peer, const std::string& payload) {
  auto m = wire::ReadPeerMessage(payload);
  if (!m) {
    spdlog::warn("peer message refused: node={} reason={}", peer->seed.node, m.error().reason);
    return false;
  }
  if (auto* s = std::get_if<wire::PeerStatus>(&*m)) {
    OnStatus(peer, *s);
  } else if (auto* v = std::get_if<wire::CancellationReport>(&*m)) {
    // Like a status, it counts from when it was asked for.
    if (peer->cancellation_report_asked.empty()) return true;
    const double asked = peer->cancellation_report_asked.front();
    peer->cancellation_report_asked.pop_front();
    hooks_.on_cancellation_report(peer->seed.node, asked, *v);
  } else if (auto* a = std::get_if<wire::RelayAnswer>(&*m)) {
    auto it = peer->pending.find(a->id);
    if (it == peer->pending.end()) return true;
    if (a->answered) it->second->answer = std::move(a->response);
    it->second->done = true;
    it->second->event.Notify();
  } else if (auto* answer = std::get_if<wire::MemberAnswer>(&*m)) {
    if (hooks_.on_member_answer) hooks_.on_member_answer(peer->seed.node, *answer);
  } else if (auto* acknowledged = std::get_if<wire::BlockAcknowledgement>(&*m)) {
    if (hooks_.on_block_acknowledged) hooks_.on_block_acknowledged(peer->seed.node, *acknowledged);
  }
  return true;
}

async::Task<> PeerMesh::ReadLoop(Peer* peer, std::shared_ptr<Stream> stream,
                                 std::shared_ptr<bool> open) {
  wire::FrameBuffer frames(wire::kMaxPeerFrame);
  bool readable = true;
  while (!scope_.cancelled() && !frames.corrupt()) {
    while (auto payload = frames.Next()) {
      readable = Take(peer, *payload);
      if (!readable) break;
    }
    if (!readable) break;
    std::string data;
    bool read = co_await stream->Read(scope_, data, scope_.loop().Now() + kDeadBeats * beat());
    if (!read) break;
    frames.Feed(data);
  }
  *open = false;
}

async::Task<> PeerMesh::AcceptLoop(Listener listener) {
  while (!scope_.cancelled()) {
    std::optional<Stream> stream = co_await listener.Accept(scope_);
    if (stream) {
      scope_.Spawn(Serve(std::move(*stream)));
      continue;
    }
    async::Sleep pause(scope_, beat());
    co_await pause;
  }
}

async::Task<std::optional<std::string>> PeerMesh::Answer(std::string payload) {
  auto m = wire::ReadPeerMessage(payload);
  if (!m) {
    spdlog::warn("peer message refused: node=unknown reason={}", m.error().reason);
    co_return std::nullopt;
  }
  std::optional<wire::PeerMessage> answer;
  if (auto* s = std::get_if<wire::PeerStatus>(&*m)) {
    hooks_.on_status(*s);
    answer = hooks_.status();
  } else if (auto* v = std::get_if<wire::CancellationReportRequest>(&*m)) {
    answer = hooks_.cancellation_report(*v);
  } else if (auto* n = std::get_if<wire::CancelNotice>(&*m)) {
    hooks_.on_cancel_notice(*n);
  } else if (auto* q = std::get_if<wire::RelayRequest>(&*m)) {
    wire::RelayAnswer relayed;
    relayed.id = q->id;
    auto r = co_await hooks_.execute(std::move(q->request));
    relayed.answered = r.has_value();
    if (r) relayed.response = std::move(*r);
    answer = std::move(relayed);
  } else if (auto* probe = std::get_if<wire::MemberProbe>(&*m)) {
    if (hooks_.on_member_probe) answer = hooks_.on_member_probe(*probe);
  } else if (auto* view = std::get_if<wire::BlockView>(&*m)) {
    if (hooks_.on_block_view) answer = hooks_.on_block_view(*view);
  } else if (std::holds_alternative<wire::MembersRequest>(*m)) {
    wire::MembersReport off;
    off.node = settings_.node;
    answer = hooks_.members_report ? hooks_.members_report() : std::move(off);
  }
  co_return answer ? wire::Frame(wire::WritePeerMessage(*answer)) : std::string();
}

async::Task<> PeerMesh::Serve(Stream stream) {
  wire::FrameBuffer frames(wire::kMaxPeerFrame);
  while (!scope_.cancelled() && !frames.corrupt()) {
    std::string out;
    while (auto payload = frames.Next()) {
      auto answer = co_await Answer(std::move(*payload));
      if (!answer) co_return;
      out += *answer;
    }
    const double deadline = scope_.loop().Now() + kDeadBeats * beat();
    if (!out.empty()) {
      bool written = co_await stream.Write(scope_, out, deadline);
      if (!written) break;
    }
    std::string data;
    bool read = co_await stream.Read(scope_, data, deadline);
    if (!read) break;
    frames.Feed(data);
  }
}

}  // namespace hallpier::net
