// An HTTP server: one routine per connection, a bounded number of them.
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
  // Whose requests `matches` holds for may always have so many connections, and more while there is
  // room; what is borrowed so is given back as soon as others need it.
  struct ConnectionClass {
    std::function<bool(const wire::HttpRequest&)> matches;
    size_t reserved;
    // Who asks at long intervals needs no connection in between: where there is no room to keep
    // one, the request is answered and the connection closed.
    bool periodic = false;
  };
  struct Limits {
    size_t max_connections;
    size_t max_body;
    double idle_s;     // a connection without a request is closed after this
    double request_s;  // a request must be there this long after its first byte
    // Who has been silent for so long gives up its connection where there is no room for others.
    double evictable_after_s;
    std::vector<ConnectionClass> connection_classes = {};  // the first that takes a request counts
  };

  HttpServer(async::Scope& scope, Limits limits, Handler handler)
      : scope_(scope),
        limits_(std::move(limits)),
        handler_(std::move(handler)),
        used_(limits_.connection_classes.size(), 0) {}

  bool Listen(const std::string& address, std::string* error);
  size_t connections() const { return by_silence_.size(); }

 private:
  struct Connection;
  async::Task<> AcceptLoop(Listener listener);
  async::Task<> Serve(Stream stream);
  // False if its share has no room left, not even for one request.
  bool Admit(Connection& c, const wire::HttpRequest& request);
  // Ends the connection that has been silent for longest among those that must give way; false if
  // there is none.
  bool MakeRoom();
  void Remove(Connection& c);

  async::Scope& scope_;
  const Limits limits_;
  const Handler handler_;
  std::list<Connection*> by_silence_;  // longest first
  std::vector<size_t> used_;           // connections by share
};

}  // namespace hallpier::net
