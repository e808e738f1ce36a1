// An HTTP client that reuses connections and bounds how many it keeps.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/stream.h"
#include "wire/http.h"

namespace hallpier::net {

// The outcome of a request that was to be relayed by another node.
struct RelayResult {
  bool sent = false;  // if true, the request may be executed even if there is no response
  std::optional<wire::HttpResponse> response;
};

class HttpClient {
 public:
  // Keeps up to `max_idle` idle connections per endpoint, and up to `max_total` connections in all,
  // including those in use. `max_body_bytes` limits the size of a response's body. Callers limit
  // the number of concurrent calls.
  HttpClient(size_t max_idle, size_t max_body_bytes, size_t max_total = 64)
      : max_idle_(max_idle), max_body_bytes_(max_body_bytes), max_total_(max_total) {}
  size_t idle() const { return idle_count_; }

  // Returns std::nullopt if no response arrived in time. The request may then have been executed,
  // or may still be executed later. If a reused connection turns out to be closed, the request is
  // sent again only if it is `idempotent`. `may_send`, if set, is called right before the request
  // is written to a connection; if it returns false, the request is not sent.
  async::Task<std::optional<wire::HttpResponse>> Call(async::Scope& scope, std::string endpoint,
                                                      wire::HttpRequest request, double timeout_s,
                                                      bool idempotent,
                                                      std::function<bool()> may_send = {});

 private:
  // Returns an idle connection to the endpoint that is still usable; std::nullopt if there is none.
  std::optional<Stream> TakeIdle(const std::string& endpoint);
  void KeepIdle(const std::string& endpoint, Stream stream);
  // Closes one idle connection, taking the endpoints in turn. Requires that there is one.
  void EvictIdle();

  const size_t max_idle_;
  const size_t max_body_bytes_;
  const size_t max_total_;
  std::map<std::string, std::vector<Stream>> idle_streams_;  // no empty entries
  size_t idle_count_ = 0;
  size_t active_calls_ = 0;  // calls in flight, each with a connection
  std::string last_evicted_endpoint_;
};

}  // namespace hallpier::net
