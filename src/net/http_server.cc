#include "net/http_server.h"

namespace hallpier::net {

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

rt::Task<> HttpServer::AcceptLoop(Listener listener) {
  while (!scope_.cancelled()) {
    std::optional<Stream> stream = co_await listener.Accept(scope_);
    if (!stream) {
      // Out of sockets: those in use must end before another can be taken.
      rt::Sleep pause(scope_, limits_.request_s / 50);
      co_await pause;
      continue;
    }
    // Over the bound the connection is closed at once: who sent it goes to another node.
    if (connections_ < limits_.max_connections) scope_.Spawn(Serve(std::move(*stream)));
  }
}

rt::Task<> HttpServer::Serve(Stream stream) {
  ++connections_;
  wire::HttpParser parser(wire::HttpParser::Kind::kRequest, limits_.max_body);
  bool open = true;
  double deadline = scope_.loop().Now() + limits_.idle_s;
  bool started = false;
  while (open) {
    auto state = parser.Parse();
    if (state == wire::HttpParser::State::kMore) {
      std::string data;
      open = co_await stream.Read(scope_, data, deadline);
      if (open && !started) {
        started = true;
        deadline = scope_.loop().Now() + limits_.request_s;
      }
      parser.Feed(data);
      continue;
    }
    wire::HttpResponse response;
    if (state == wire::HttpParser::State::kError) {
      response.status = parser.error_status();
      response.body = R"({"error":"not a request that can be read"})";
      response.keep_alive = false;
    } else {
      wire::HttpRequest request = parser.TakeRequest();
      const bool keep = request.keep_alive;
      response = co_await handler_(std::move(request));
      response.keep_alive = response.keep_alive && keep;
    }
    open = response.keep_alive;
    const std::string bytes = wire::Serialize(response);
    bool written = co_await stream.Write(scope_, bytes, scope_.loop().Now() + limits_.request_s);
    open = open && written;
    started = false;
    deadline = scope_.loop().Now() + limits_.idle_s;
  }
  --connections_;
}

}  // namespace hallpier::net
