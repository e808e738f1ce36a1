// An HTTP server with one coroutine per connection and a bounded number of connections.
#pragma once

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "net/stream.h"
#include "wire/http.h"

namespace hallpier::net {

class HttpServer {
 public:
  using Handler = std::function<async::Task<wire::HttpResponse>(wire::HttpRequest)>;
  // A class of connections: those whose requests `matches` accepts. A class may always have
  // `reserved` connections, and more while the server has free ones. The additional connections are
  // closed as soon as other classes need them.
  struct ConnectionClass {
    std::function<bool(const wire::HttpRequest&)> matches;
    size_t reserved;
    // Clients of this class send requests at long intervals and need no connection in between: if
    // no connection is free, the request is answered and the connection closed.
    bool periodic = false;
  };
  struct Limits {
    size_t max_connections;
    size_t max_body_bytes;
    double idle_s;     // a connection without a request is closed after this
    double request_s;  // a request must be complete this long after its first byte
    // A connection without a request for this long is closed if a new one needs its place.
    double evictable_after_s;
    std::vector<ConnectionClass> connection_classes =
        {};  // the first that matches a request applies
  };

  HttpServer(async::Scope& scope, Limits limits, Handler handler)
      : scope_(scope),
        limits_(std::move(limits)),
        handler_(std::move(handler)),
        open_by_class_(limits_.connection_classes.size(), 0) {}

  bool Listen(const std::string& address, std::string* error);
  size_t connections() const { return least_recently_active_.size(); }

 private:
  struct Connection;
  async::Task<> AcceptLoop(Listener listener);
  async::Task<> Serve(Stream stream);
  // Returns false if the class of the request has no connection left, not even for one request.
  bool AdmitRequest(Connection& c, const wire::HttpRequest& request);
  // Closes the longest inactive connection among those that may be evicted. Returns false if there
  // is none.
  bool EvictConnection();
  void Remove(Connection& c);

  async::Scope& scope_;
  const Limits limits_;
  const Handler handler_;
  std::list<Connection*> least_recently_active_;  // the longest inactive one first
  std::vector<size_t> open_by_class_;             // number of connections, by class
};

}  // namespace hallpier::net
