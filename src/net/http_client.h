// HTTP calls over kept connections, a bounded number per endpoint.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/stream.h"
#include "wire/http.h"

namespace hallpier::net {

class HttpClient {
 public:
  // `max_idle` connections are kept per endpoint; `max_body` bounds what an answer may hold.
  HttpClient(size_t max_idle, size_t max_body) : max_idle_(max_idle), max_body_(max_body) {}

  // Nothing means that no answer came in time: the request may have been executed, or may yet be.
  // A call that finds its kept connection closed is sent again only if `repeatable`.
  rt::Task<std::optional<wire::HttpResponse>> Call(rt::Scope& scope, std::string endpoint,
                                                   wire::HttpRequest request, double timeout_s,
                                                   bool repeatable);

 private:
  std::optional<Stream> TakeIdle(const std::string& endpoint);

  const size_t max_idle_;
  const size_t max_body_;
  std::map<std::string, std::vector<Stream>> idle_;
};

}  // namespace hallpier::net
