#include "net/http_server.h"

#include <optional>

#include "net/address.h"
#include "wire/http_parser.h"

namespace hallpier::net {
namespace {
constexpr size_t kSlack = 32;
}  // namespace

bool HttpServer::Listen(const std::string& address, std::string* error) {
  auto at = ParseAddress(address);
  if (!at) {
    *error = "not an address";
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
  double heard = 0;                           // of its last request, or when it came
  bool busy = false;                          // a request of it is under way
  bool last_request = false;                  // there is no room to keep it open
  bool listed = false;                        // in by_silence_, and counted in its share
  std::optional<size_t> share;                // nothing before its first request
  std::list<Connection*>::iterator position;  // in by_silence_
};

void HttpServer::Remove(Connection& c) {
  if (!c.listed) return;
  c.listed = false;
  by_silence_.erase(c.position);
  if (c.share) --used_[*c.share];
}

bool HttpServer::MakeRoom() {
  const double since = scope_.loop().Now() - limits_.evictable_after_s;
  for (Connection* c : by_silence_) {
    if (c->busy) continue;
    // Machines that died never close their connections; and who is beyond its share asks again.
    const bool beyond =
        c->share && used_[*c->share] > limits_.connection_classes[*c->share].reserved;
    if (c->heard > since && !beyond) continue;
    // Its routine finds the stream ended and ends as well; its place is free at once.
    c->stream.Shutdown();
    Remove(*c);
    return true;
  }
  return false;
}

bool HttpServer::Admit(Connection& c, const wire::HttpRequest& request) {
  if (!c.listed) return true;  // was given up while its request came in: answered, then closed
  for (size_t i = 0; i < limits_.connection_classes.size(); ++i) {
    if (!limits_.connection_classes[i].matches(request)) continue;
    if (c.share == i) return true;
    if (connections() > limits_.max_connections && !MakeRoom() &&
        used_[i] >= limits_.connection_classes[i].reserved) {
      c.last_request = true;
      return limits_.connection_classes[i].periodic;
    }
    if (c.share) --used_[*c.share];
    c.share = i;
    ++used_[i];
    return true;
  }
  return true;
}

async::Task<> HttpServer::AcceptLoop(Listener listener) {
  // A few more may come in than there is room for: their first request tells whose share they are
  // of, and who can't be taken is told so. Beyond that they are closed at once and go elsewhere.
  const size_t reserved = limits_.max_connections + limits_.max_connections / kSlack + 1;
  while (!scope_.cancelled()) {
    std::optional<Stream> stream = co_await listener.Accept(scope_);
    if (!stream) {
      // Out of sockets: those in use must end before another can be taken.
      MakeRoom();
      async::Sleep pause(scope_, limits_.request_s / 50);
      co_await pause;
      continue;
    }
    if (connections() < reserved || MakeRoom()) scope_.Spawn(Serve(std::move(*stream)));
  }
}

async::Task<> HttpServer::Serve(Stream stream) {
  Connection c(std::move(stream));
  c.heard = scope_.loop().Now();
  c.position = by_silence_.insert(by_silence_.end(), &c);
  c.listed = true;
  wire::HttpParser parser(wire::HttpParser::Kind::kRequest, limits_.max_body);
  bool open = true;
  double deadline = c.heard + limits_.idle_s;
  bool started = false, answered = false;
  while (open) {
    auto state = parser.Parse();
    if (state == wire::HttpParser::State::kMore) {
      std::string data;
      open = co_await c.stream.Read(scope_, data, deadline, answered && !started);
      if (open && !started) {
        started = true;
        deadline = scope_.loop().Now() + limits_.request_s;
      }
      parser.Feed(data);
      continue;
    }
    c.heard = scope_.loop().Now();
    if (c.listed) by_silence_.splice(by_silence_.end(), by_silence_, c.position);
    wire::HttpResponse response;
    if (state == wire::HttpParser::State::kError) {
      response.status = parser.error_status();
      response.body = R"({"error":"not a request that can be read"})";
      response.keep_alive = false;
    } else {
      wire::HttpRequest request = parser.TakeRequest();
      const bool keep = request.keep_alive;
      // Nobody waits for this answer any more. Who stood still, or has fallen behind, finds many
      // such requests; to take them up would only make the others late as well.
      if (keep && c.stream.Ended()) break;
      if (Admit(c, request)) {
        c.busy = true;
        response = co_await handler_(std::move(request));
        c.busy = false;
      } else {
        response.status = 503;
        response.body = R"({"error":"too many connections of this kind"})";
        response.retry_after_s = 1;
        response.keep_alive = false;
      }
      response.keep_alive = response.keep_alive && keep && !c.last_request;
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
