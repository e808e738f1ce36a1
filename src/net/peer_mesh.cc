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

// Pings per heartbeat interval.
constexpr double kPingsPerHeartbeat = 8;
// A status is fresh for this many ping intervals.
constexpr double kFreshPings = 3;
// A link without incoming data for this many ping intervals is considered broken.
constexpr double kDeadLinkPings = 6;
constexpr double kRelayTimeoutS = 0.8;
// Limit on relayed requests that wait for one peer. A peer at the limit is not chosen; if there is
// no other, a request fails at once.
constexpr size_t kMaxPendingRelays = 64;

}  // namespace

PeerMesh::PeerMesh(async::Scope& scope, const config::Settings& settings, Hooks hooks)
    : scope_(scope), settings_(settings), hooks_(std::move(hooks)) {
  for (const config::Seed& s : settings_.OtherSeeds()) {
    peers_.push_back(std::make_unique<Peer>());
    peers_.back()->seed = s;
  }
}

double PeerMesh::PingIntervalS() const {
  return settings_.heartbeat_interval_s / kPingsPerHeartbeat;
}

bool PeerMesh::Start(std::string* error) {
  auto at = ParseAddress(settings_.peer_bind);
  auto listener = Listener::Open(*at, error);
  if (!listener) return false;
  scope_.Spawn(AcceptLoop(std::move(*listener)));
  for (auto& p : peers_) scope_.Spawn(DialLoop(p.get()));
  return true;
}

bool PeerMesh::HasFreshStatus(const Peer& p) const {
  return p.connected && scope_.loop().Now() - p.status_requested_at < kFreshPings * PingIntervalS();
}

bool PeerMesh::AnyFreshStatus() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& p) { return HasFreshStatus(*p); });
}

bool PeerMesh::AllPeersReportOutage() const {
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return HasFreshStatus(*p) && !p->status.state_reachable;
  });
}

bool PeerMesh::AnyPeerReachesState() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return HasFreshStatus(*p) && p->status.state_reachable;
  });
}

async::Task<RelayResult> PeerMesh::Relay(wire::HttpRequest request) {
  Peer* best = nullptr;
  for (auto& p : peers_) {
    if (!HasFreshStatus(*p) || !p->status.state_reachable ||
        p->pending_relays.size() >= kMaxPendingRelays)
      continue;
    if (best == nullptr || p->pending_relays.size() < best->pending_relays.size()) best = p.get();
  }
  if (best == nullptr) co_return RelayResult();
  const uint64_t id = ++last_relay_id_;
  auto pending_relay = std::make_shared<PendingRelay>();
  best->pending_relays[id] = pending_relay;
  wire::RelayRequest relay{id, std::move(request)};
  best->outbox += wire::EncodeFrame(wire::WritePeerMessage(std::move(relay)));
  best->wake.Notify();
  if (!pending_relay->done) {
    auto wait = pending_relay->event.Await(scope_, kRelayTimeoutS);
    co_await wait;
  }
  best->pending_relays.erase(id);
  RelayResult out;
  out.sent = true;
  out.response = std::move(pending_relay->response);
  co_return out;
}

void PeerMesh::BroadcastCancellation(const wire::CancelNotice& notice) {
  for (auto& p : peers_) {
    if (!p->connected || !SupportsCancellationReports(*p)) continue;
    p->outbox += wire::EncodeFrame(wire::WritePeerMessage(notice));
    p->wake.Notify();
  }
}

bool PeerMesh::SupportsCancellationReports(const Peer& peer) const {
  return hooks_.supports_cancellation_reports &&
         hooks_.supports_cancellation_reports(peer.seed.node);
}

PeerMesh::Peer* PeerMesh::FindPeer(const std::string& node) {
  auto found = std::find_if(peers_.begin(), peers_.end(),
                            [&](const auto& peer) { return peer->seed.node == node; });
  return found == peers_.end() ? nullptr : found->get();
}

async::Task<bool> PeerMesh::DeliverCancellation(std::string node, wire::CancelNotice notice,
                                                double limit_s) {
  Peer* peer = FindPeer(node);
  if (peer == nullptr || !peer->connected || !SupportsCancellationReports(*peer)) co_return false;
  const double deadline = scope_.loop().Now() + limit_s;
  const uint64_t link_number = peer->link_number;
  // A node handles the messages of a link in order, so its response to a ping that follows the
  // notice shows that it has handled the notice.
  peer->outbox += wire::EncodeFrame(wire::WritePeerMessage(notice));
  const double sent_at = scope_.loop().Now();
  peer->ping_requested = true;
  peer->wake.Notify();
  while (peer->link_number == link_number && peer->status_requested_at <= sent_at) {
    const double remaining_s = deadline - scope_.loop().Now();
    if (remaining_s <= 0 || scope_.cancelled()) co_return false;
    auto wait = peer->status_received.Await(scope_, remaining_s);
    co_await wait;
  }
  co_return peer->link_number == link_number;
}

void PeerMesh::Send(const std::string& node, const wire::PeerMessage& message) {
  for (auto& p : peers_) {
    if (p->seed.node != node || !p->connected) continue;
    p->outbox += wire::EncodeFrame(wire::WritePeerMessage(message));
    p->wake.Notify();
  }
}

void PeerMesh::SetLink(Peer* peer, bool up) {
  peer->connected = up;
  ++peer->link_number;
  peer->status_received.Notify();
  if (up) {
    spdlog::debug("peer link up: node={}", peer->seed.node);
    peer->outbox.clear();
    peer->ping_times.clear();
    peer->report_request_times.clear();
  } else {
    spdlog::info("peer link down: node={}", peer->seed.node);
    peer->link_broken = true;
    peer->wake.Notify();
    for (auto& [id, pending_relay] : peer->pending_relays) {
      pending_relay->done = true;
      pending_relay->event.Notify();
    }
  }
  if (hooks_.on_link) hooks_.on_link(peer->seed.node, up);
}

async::Task<> PeerMesh::DialLoop(Peer* peer) {
  auto to = ParseAddress(peer->seed.endpoint);
  while (!scope_.cancelled()) {
    int error = 0;
    std::optional<Stream> stream =
        co_await Stream::Connect(scope_, *to, scope_.loop().Now() + 4 * PingIntervalS(), &error);
    if (stream) {
      auto shared = std::make_shared<Stream>(std::move(*stream));
      auto open = std::make_shared<bool>(true);
      SetLink(peer, true);
      scope_.Spawn(WriteLoop(peer, shared, open));
      co_await ReadLoop(peer, shared, open);
      SetLink(peer, false);
      continue;
    }
    // A packet filter may refuse connections too, and then usually between all nodes. Therefore a
    // refusal counts only if another peer is reachable; otherwise it says nothing about this peer.
    // It also counts only after a link to this peer has broken, and only once per link. Otherwise a
    // live leader behind a filter would lose leadership repeatedly.
    if (error == ECONNREFUSED && peer->link_broken && AnyFreshStatus()) {
      peer->link_broken = false;
      hooks_.on_connection_refused(peer->seed.node);
    }
    async::Sleep pause(scope_, PingIntervalS());
    co_await pause;
  }
}

async::Task<> PeerMesh::WriteLoop(Peer* peer, std::shared_ptr<Stream> stream,
                                  std::shared_ptr<bool> open) {
  double next_ping = 0;
  while (*open && !scope_.cancelled()) {
    const double now = scope_.loop().Now();
    if (now >= next_ping || peer->ping_requested) {
      peer->ping_requested = false;
      peer->outbox += wire::EncodeFrame(wire::WritePeerMessage(hooks_.status()));
      peer->ping_times.push_back(now);
      const bool supported = SupportsCancellationReports(*peer);
      if (auto report_request =
              supported ? hooks_.cancellation_report_request(peer->seed.node) : std::nullopt) {
        peer->outbox += wire::EncodeFrame(wire::WritePeerMessage(*report_request));
        peer->report_request_times.push_back(now);
      }
      next_ping = now + PingIntervalS();
    }
    const std::string out = std::exchange(peer->outbox, {});
    if (!out.empty()) {
      bool written = co_await stream->Write(scope_, out, now + kDeadLinkPings * PingIntervalS());
      if (!written) break;
      continue;
    }
    auto wait = peer->wake.Await(scope_, next_ping - now);
    co_await wait;
  }
}

void PeerMesh::OnStatus(Peer* peer, const wire::PeerStatus& status) {
  // Each ping is answered by one status, in order. The age of a status counts from the ping that
  // requested it, since a process that was paused finds outdated responses in its buffers.
  if (peer->ping_times.empty()) return;
  peer->status_requested_at = peer->ping_times.front();
  peer->ping_times.pop_front();
  peer->status = status;
  hooks_.on_status(status);
  if (hooks_.on_status_answered)
    hooks_.on_status_answered(peer->seed.node, peer->status_requested_at);
  peer->status_received.Notify();
}

bool PeerMesh::HandleResponse(Peer* peer, const std::string& payload) {
  auto message = wire::ReadPeerMessage(payload);
  if (!message) {
    spdlog::warn("peer message refused: node={} reason={}", peer->seed.node,
                 message.error().reason);
    return false;
  }
  if (auto* status = std::get_if<wire::PeerStatus>(&*message)) {
    OnStatus(peer, *status);
  } else if (auto* report = std::get_if<wire::CancellationReport>(&*message)) {
    // As for a status, the age of a report counts from its request.
    if (peer->report_request_times.empty()) return true;
    const double requested_at = peer->report_request_times.front();
    peer->report_request_times.pop_front();
    hooks_.on_cancellation_report(peer->seed.node, requested_at, *report);
  } else if (auto* relayed = std::get_if<wire::RelayResponse>(&*message)) {
    auto it = peer->pending_relays.find(relayed->id);
    if (it == peer->pending_relays.end()) return true;
    if (relayed->has_response) it->second->response = std::move(relayed->response);
    it->second->done = true;
    it->second->event.Notify();
  } else if (auto* response = std::get_if<wire::MemberProbeResponse>(&*message)) {
    if (hooks_.on_member_probe_response)
      hooks_.on_member_probe_response(peer->seed.node, *response);
  } else if (auto* acknowledged = std::get_if<wire::BlockAcknowledgement>(&*message)) {
    if (hooks_.on_block_acknowledged) hooks_.on_block_acknowledged(peer->seed.node, *acknowledged);
  }
  return true;
}

async::Task<> PeerMesh::ReadLoop(Peer* peer, std::shared_ptr<Stream> stream,
                                 std::shared_ptr<bool> open) {
  wire::FrameDecoder frames(wire::kMaxPeerFrameBytes);
  bool readable = true;
  while (!scope_.cancelled() && !frames.corrupt()) {
    while (auto payload = frames.Next()) {
      readable = HandleResponse(peer, *payload);
      if (!readable) break;
    }
    if (!readable) break;
    std::string data;
    bool read =
        co_await stream->Read(scope_, data, scope_.loop().Now() + kDeadLinkPings * PingIntervalS());
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
    async::Sleep pause(scope_, PingIntervalS());
    co_await pause;
  }
}

async::Task<std::optional<std::string>> PeerMesh::HandleRequest(std::string payload) {
  auto message = wire::ReadPeerMessage(payload);
  if (!message) {
    spdlog::warn("peer message refused: node=unknown reason={}", message.error().reason);
    co_return std::nullopt;
  }
  std::optional<wire::PeerMessage> response;
  if (auto* status = std::get_if<wire::PeerStatus>(&*message)) {
    hooks_.on_status(*status);
    response = hooks_.status();
  } else if (auto* report_request = std::get_if<wire::CancellationReportRequest>(&*message)) {
    response = hooks_.cancellation_report(*report_request);
  } else if (auto* notice = std::get_if<wire::CancelNotice>(&*message)) {
    hooks_.on_cancel_notice(*notice);
  } else if (auto* relay = std::get_if<wire::RelayRequest>(&*message)) {
    wire::RelayResponse relayed;
    relayed.id = relay->id;
    auto result = co_await hooks_.execute(std::move(relay->request));
    relayed.has_response = result.has_value();
    if (result) relayed.response = std::move(*result);
    response = std::move(relayed);
  } else if (auto* probe = std::get_if<wire::MemberProbe>(&*message)) {
    if (hooks_.on_member_probe) response = hooks_.on_member_probe(*probe);
  } else if (auto* view = std::get_if<wire::BlockView>(&*message)) {
    if (hooks_.on_block_view) response = hooks_.on_block_view(*view);
  } else if (std::holds_alternative<wire::MembersRequest>(*message)) {
    wire::MembersReport disabled;
    disabled.node = settings_.node;
    response = hooks_.members_report ? hooks_.members_report() : std::move(disabled);
  }
  co_return response ? wire::EncodeFrame(wire::WritePeerMessage(*response)) : std::string();
}

async::Task<> PeerMesh::Serve(Stream stream) {
  wire::FrameDecoder frames(wire::kMaxPeerFrameBytes);
  while (!scope_.cancelled() && !frames.corrupt()) {
    std::string out;
    while (auto payload = frames.Next()) {
      auto response = co_await HandleRequest(std::move(*payload));
      if (!response) co_return;
      out += *response;
    }
    const double deadline = scope_.loop().Now() + kDeadLinkPings * PingIntervalS();
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
