// Links to the other controllers: who is there, how they see the state service, and relaying.
//
// Every node dials every other one. The dialler pings with its own status and is answered with the
// other's; relayed requests go the same way.
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
    // A node has answered with its status, which was asked for then. May be empty, like all below.
    std::function<void(const std::string& node, double asked)> on_status_answered;
    // The link to a node is up, or has broken.
    std::function<void(const std::string& node, bool up)> on_link;
    std::function<wire::MemberAnswer(const wire::MemberProbe&)> on_member_probe;
    std::function<void(const std::string& node, const wire::MemberAnswer&)> on_member_answer;
    std::function<wire::MembersReport()> members_report;
    // Blocks of machines (src/blocks); unset where they are off.
    std::function<std::optional<wire::BlockAcknowledgement>(const wire::BlockView&)> on_block_view;
    std::function<void(const std::string& node, const wire::BlockAcknowledgement&)>
        on_block_acknowledged;
    // A link broke and the peer's machine refuses another: its process has most likely ended.
    std::function<void(const std::string& node)> on_connection_refused;
    // Whether a node understands cancellation reports.
    std::function<bool(const std::string& node)> supports_cancellation_reports;
    // What a node is to be asked for now; nothing: there is no need.
    std::function<std::optional<wire::CancellationReportRequest>(const std::string& node)>
        cancellation_report_request;
    std::function<wire::CancellationReport(const wire::CancellationReportRequest&)>
        cancellation_report;
    // `asked`: when it was asked for.
    std::function<void(const std::string& node, double asked, const wire::CancellationReport&)>
        on_cancellation_report;
    std::function<void(const wire::CancelNotice&)> on_cancel_notice;
  };

  PeerMesh(async::Scope& scope, const config::Settings& settings, Hooks hooks);

  bool Start(std::string* error);

  // By way of a peer that the state service answers; nothing if there is none, or no answer.
  async::Task<RelayResult> Relay(wire::HttpRequest request);
  // True if every other node says, just now, that it can't reach the state service either.
  bool AllPeersReportOutage() const;
  // Tells all nodes that understand it of a cancellation that was just recorded.
  void BroadcastCancellation(const wire::CancelNotice& notice);
  // Puts a message on the link to a node; nothing happens while there is none.
  void Send(const std::string& node, const wire::PeerMessage& message);
  // True if some other node says, just now, that the state service answers it.
  bool AnyPeerReachesState() const;

 private:
  struct Pending {
    bool done = false;
    std::optional<wire::HttpResponse> answer;
    async::Event event;
  };
  struct Peer {
    config::Seed seed;
    bool connected = false;
    bool broke = false;        // there was a link, and nobody has been told of its end
    std::deque<double> asked;  // steady times of pings without an answer yet, oldest first
    double heard = -1;         // when the last status was asked for: it may be as old as that
    wire::PeerStatus status;
    std::deque<double> cancellation_report_asked;  // steady times of cancellation report requests
                                                   // without an answer yet
    std::string outbox;                            // frames to be written
    async::Event wake;
    std::map<uint64_t, std::shared_ptr<Pending>> pending;
  };

  async::Task<> DialLoop(Peer* peer);
  async::Task<> ReadLoop(Peer* peer, std::shared_ptr<Stream> stream, std::shared_ptr<bool> open);
  async::Task<> WriteLoop(Peer* peer, std::shared_ptr<Stream> stream, std::shared_ptr<bool> open);
  // Takes in what came by the link that this node dialled; false: it can't be read.
  bool Take(Peer* peer, const std::string& payload);
  void OnStatus(Peer* peer, const wire::PeerStatus& status);
  // What a peer's message is answered with, as bytes to be written; nothing: it can't be read.
  async::Task<std::optional<std::string>> Answer(std::string payload);
  void SetLink(Peer* peer, bool up);
  async::Task<> AcceptLoop(Listener listener);
  async::Task<> Serve(Stream stream);
  bool Fresh(const Peer& peer) const;
  bool AnyFresh() const;
  double beat() const;

  async::Scope& scope_;
  const config::Settings& settings_;
  const Hooks hooks_;
  std::vector<std::unique_ptr<Peer>> peers_;
  uint64_t next_id_ = 0;
};

}  // namespace hallpier::net
