// An HTTP server: one routine per connection, a bounded number of them.
#pragma once

#include <functional>
#include <string>

#include "net/stream.h"
#include "wire/http.h"

namespace hallpier::net {

class HttpServer {
 public:
  using Handler = std::function<rt::Task<wire::HttpResponse>(wire::HttpRequest)>;
  struct Limits {
    size_t max_connections;
    size_t max_body;
    double idle_s;     // a connection without a request is closed after this
    double request_s;  // a request must be there this long after its first byte
  };

  HttpServer(rt::Scope& scope, Limits limits, Handler handler)
      : scope_(scope), limits_(limits), handler_(std::move(handler)) {}

  bool Listen(const std::string& address, std::string* error);

 private:
  rt::Task<> AcceptLoop(Listener listener);
  rt::Task<> Serve(Stream stream);

  rt::Scope& scope_;
  const Limits limits_;
  const Handler handler_;
  size_t connections_ = 0;
};

}  // namespace hallpier::net
