#include "net/http_server.h"

#include <optional>

#include "net/address.h"
#include "wire/http_parser.h"

namespace hallpier::net {
namespace {
// Connections accepted above the limit: max_connections / kExtraConnectionsDivisor + 1.
constexpr size_t kExtraConnectionsDivisor = 32;
}  // namespace

bool HttpServer::Listen(const std::string& address, std::string* error) {
  auto at = ParseAddress(address);
  if (!at) {
    *error = "not an IPv4 address with a port: " + address;
    return false;
  }
  auto listener = Listener::Open(*at, error);
  if (!listener) return false;
  scope_.Spawn(AcceptLoop(std::move(*listener)));
  return true;
}

struct HttpServer::Connection {
  explicit Connection(Stream s) : stream(std::move(s)) {}
  Stream stream;
  double last_active = 0;     // steady time (s) of its last request, or of its start
  bool busy = false;          // one of its requests is being handled
  bool last_request = false;  // close it after this request, since no connection is free
  bool tracked = false;       // in least_recently_active_, and counted in its class
  std::optional<size_t> connection_class;     // std::nullopt before its first request
  std::list<Connection*>::iterator position;  // in least_recently_active_
};

void HttpServer::Remove(Connection& c) {
  if (!c.tracked) return;
  c.tracked = false;
  least_recently_active_.erase(c.position);
  if (c.connection_class) --open_by_class_[*c.connection_class];
}

bool HttpServer::EvictConnection() {
  const double last_active_limit = scope_.loop().Now() - limits_.evictable_after_s;
  for (Connection* c : least_recently_active_) {
    if (c->busy) continue;
    // Machines that died never close their connections, so inactive connections are evicted. A
    // class above its reservation loses recently active connections as well, since its clients
    // connect again.
    const bool over_reservation =
        c->connection_class && open_by_class_[*c->connection_class] >
                                   limits_.connection_classes[*c->connection_class].reserved;
    if (c->last_active > last_active_limit && !over_reservation) continue;
    // The coroutine of the connection ends once it finds the stream closed. The connection stops
    // counting toward the limits at once.
    c->stream.Shutdown();
    Remove(*c);
    return true;
  }
  return false;
}

bool HttpServer::AdmitRequest(Connection& c, const wire::HttpRequest& request) {
  if (!c.tracked) return true;  // evicted already: takes no place, ends after this request
  for (size_t i = 0; i < limits_.connection_classes.size(); ++i) {
    if (!limits_.connection_classes[i].matches(request)) continue;
    if (c.connection_class == i) return true;
    if (connections() > limits_.max_connections && !EvictConnection() &&
        open_by_class_[i] >= limits_.connection_classes[i].reserved) {
      c.last_request = true;
      return limits_.connection_classes[i].periodic;
    }
    if (c.connection_class) --open_by_class_[*c.connection_class];
    c.connection_class = i;
    ++open_by_class_[i];
    return true;
  }
  return true;
}

async::Task<> HttpServer::AcceptLoop(Listener listener) {
  // Accepts a few connections above the limit, because only the first request shows the class of a
  // connection; a client that can't be admitted gets an error response. Connections beyond that are
  // closed at once, so that their clients try another node.
  const size_t max_accepted =
      limits_.max_connections + limits_.max_connections / kExtraConnectionsDivisor + 1;
  while (!scope_.cancelled()) {
    std::optional<Stream> stream = co_await listener.Accept(scope_);
    if (!stream) {
      // The process is out of sockets: one in use must be closed before another can be accepted.
      EvictConnection();
      async::Sleep pause(scope_, limits_.request_s / 50);
      co_await pause;
      continue;
    }
    if (connections() < max_accepted || EvictConnection()) scope_.Spawn(Serve(std::move(*stream)));
  }
}

async::Task<> HttpServer::Serve(Stream stream) {
  Connection c(std::move(stream));
  c.last_active = scope_.loop().Now();
  c.position = least_recently_active_.insert(least_recently_active_.end(), &c);
  c.tracked = true;
  wire::HttpParser parser(wire::HttpParser::Kind::kRequest, limits_.max_body_bytes);
  bool open = true;
  double deadline = c.last_active + limits_.idle_s;
  bool started = false, answered = false;
  while (open) {
    auto state = parser.Parse();
    if (state == wire::HttpParser::State::kNeedMore) {
      std::string data;
      open = co_await c.stream.Read(scope_, data, deadline, answered && !started);
      if (open && !started) {
        started = true;
        deadline = scope_.loop().Now() + limits_.request_s;
      }
      parser.Feed(data);
      continue;
    }
    c.last_active = scope_.loop().Now();
    if (c.tracked)
      least_recently_active_.splice(least_recently_active_.end(), least_recently_active_,
                                    c.position);
    wire::HttpResponse response;
    if (state == wire::HttpParser::State::kError) {
      response.status = parser.error_status();
      response.body = R"({"error":"not a request that can be read"})";
      response.keep_alive = false;
    } else {
      wire::HttpRequest request = parser.TakeRequest();
      const bool client_keeps_alive = request.keep_alive;
      // The client no longer waits for the response. A process that was paused or is overloaded
      // finds many such requests; handling them would only delay the others as well.
      if (client_keeps_alive && c.stream.PeerClosed()) break;
      if (AdmitRequest(c, request)) {
        c.busy = true;
        response = co_await handler_(std::move(request));
        c.busy = false;
      } else {
        response.status = 503;
        response.body = R"({"error":"too many connections of this kind"})";
        response.retry_after_s = 1;
        response.keep_alive = false;
      }
      response.keep_alive = response.keep_alive && client_keeps_alive && !c.last_request;
    }
    open = response.keep_alive;
    const std::string bytes = wire::Serialize(response);
    bool written = co_await c.stream.Write(scope_, bytes, scope_.loop().Now() + limits_.request_s);
    open = open && written;
    started = false;
    answered = true;
    deadline = scope_.loop().Now() + limits_.idle_s;
  }
  Remove(c);
}

}  // namespace hallpier::net
