// Links to the other controllers: exchanges status, relays requests to the state service and
// carries the messages of membership, blocks and cancellations.
//
// Every node connects to every other one. The connecting node sends its own status as a ping and
// receives the other node's status as the response; relayed requests use the same links.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http_client.h"
#include "net/stream.h"
#include "wire/peer_messages.h"

namespace hallpier::net {

class PeerMesh {
 public:
  struct Hooks {
    std::function<wire::PeerStatus()> status;
    // Executes a peer's request to the state service.
    std::function<async::Task<std::optional<wire::HttpResponse>>(wire::HttpRequest)> execute;
    std::function<void(const wire::PeerStatus&)> on_status;
    // Called when a node has answered a ping that was sent at `requested_at` (steady time, s). The
    // hooks from this one to `on_block_acknowledged` may be empty, and so may
    // `supports_cancellation_reports`.
    std::function<void(const std::string& node, double requested_at)> on_status_answered;
    // Called when the link to a node is established (`up`) or broken.
    std::function<void(const std::string& node, bool up)> on_link;
    std::function<wire::MemberProbeResponse(const wire::MemberProbe&)> on_member_probe;
    std::function<void(const std::string& node, const wire::MemberProbeResponse&)>
        on_member_probe_response;
    std::function<wire::MembersReport()> members_report;
    // Blocks of machines (src/blocks); empty if blocks are disabled.
    std::function<std::optional<wire::BlockAcknowledgement>(const wire::BlockView&)> on_block_view;
    std::function<void(const std::string& node, const wire::BlockAcknowledgement&)>
        on_block_acknowledged;
    // Called when a link has broken and the peer's machine refuses a new connection: the peer's
    // process has most likely ended.
    std::function<void(const std::string& node)> on_connection_refused;
    // Returns whether a node supports cancellation reports.
    std::function<bool(const std::string& node)> supports_cancellation_reports;
    // Returns the report to request from a node now; std::nullopt if none is needed.
    std::function<std::optional<wire::CancellationReportRequest>(const std::string& node)>
        cancellation_report_request;
    std::function<wire::CancellationReport(const wire::CancellationReportRequest&)>
        cancellation_report;
    // `requested_at`: steady time (s) when the report was requested.
    std::function<void(const std::string& node, double requested_at,
                       const wire::CancellationReport&)>
        on_cancellation_report;
    std::function<void(const wire::CancelNotice&)> on_cancel_notice;
  };

  PeerMesh(async::Scope& scope, const config::Settings& settings, Hooks hooks);

  bool Start(std::string* error);

  // Relays a request through a peer that can reach the state service. `sent` is false if there is
  // no such peer; `response` is empty if no response arrived.
  async::Task<RelayResult> Relay(wire::HttpRequest request);
  // True if every other node has a fresh status that says that it can't reach the state service
  // either. False if there are no other nodes.
  bool AllPeersReportOutage() const;
  // Sends a cancellation that was just recorded to all connected nodes that support the notice.
  void BroadcastCancellation(const wire::CancelNotice& notice);
  // Sends a cancellation to a node and waits until the node has handled it. Returns false if that
  // takes longer than `limit_s` seconds, the link breaks, or the node does not support the notice.
  async::Task<bool> DeliverCancellation(std::string node, wire::CancelNotice notice,
                                        double limit_s);
  // Sends a message on the link to a node; does nothing if there is no link.
  void Send(const std::string& node, const wire::PeerMessage& message);
  // True if another node has a fresh status that says that it can reach the state service.
  bool AnyPeerReachesState() const;

 private:
  struct PendingRelay {
    bool done = false;
    std::optional<wire::HttpResponse> response;
    async::Event event;
  };
  struct Peer {
    config::Seed seed;
    bool connected = false;
    bool link_broken = false;       // a link has broken since the last on_connection_refused call
    std::deque<double> ping_times;  // steady times (s) of unanswered pings, oldest first
    // Steady time (s) of the ping that `status` answered. The status may have been written at any
    // time since then.
    double status_requested_at = -1;
    wire::PeerStatus status;
    // Steady times (s) of unanswered cancellation report requests, oldest first.
    std::deque<double> report_request_times;
    std::string outbox;  // frames that have not been written yet
    async::Event wake;
    bool ping_requested = false;  // a ping is to be sent without waiting for its interval
    async::Event status_received;
    uint64_t link_number = 0;  // changes when the link is established or broken
    std::map<uint64_t, std::shared_ptr<PendingRelay>> pending_relays;
  };

  async::Task<> DialLoop(Peer* peer);
  async::Task<> ReadLoop(Peer* peer, std::shared_ptr<Stream> stream, std::shared_ptr<bool> open);
  async::Task<> WriteLoop(Peer* peer, std::shared_ptr<Stream> stream, std::shared_ptr<bool> open);
  // Handles a message that arrived on a link which this node opened. Returns false if the message
  // is malformed.
  bool HandleResponse(Peer* peer, const std::string& payload);
  void OnStatus(Peer* peer, const wire::PeerStatus& status);
  // Returns the frame with the response to a peer's message. The string is empty if the message
  // needs no response; std::nullopt if the message is malformed.
  async::Task<std::optional<std::string>> HandleRequest(std::string payload);
  void SetLink(Peer* peer, bool up);
  async::Task<> AcceptLoop(Listener listener);
  async::Task<> Serve(Stream stream);
  Peer* FindPeer(const std::string& node);
  bool SupportsCancellationReports(const Peer& peer) const;
  // True if the link is up and the peer's last status is recent enough to rely on.
  bool HasFreshStatus(const Peer& peer) const;
  bool AnyFreshStatus() const;
  double PingIntervalS() const;

  async::Scope& scope_;
  const config::Settings& settings_;
  const Hooks hooks_;
  std::vector<std::unique_ptr<Peer>> peers_;
  uint64_t last_relay_id_ = 0;
};

}  // namespace hallpier::net
