// HTTP calls over kept connections, a bounded number per endpoint.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/stream.h"
#include "wire/http.h"

namespace hallpier::net {

// How a request fared that was to go by way of another node.
struct RelayResult {
  bool sent = false;  // without an answer it may still be carried out
  std::optional<wire::HttpResponse> answer;
};

class HttpClient {
 public:
  // `max_idle` connections are kept per endpoint, and `max_all` in all, those in use included;
  // `max_body` bounds what an answer may hold. Who calls bounds how many calls go out at a time.
  HttpClient(size_t max_idle, size_t max_body, size_t max_all = 64)
      : max_idle_(max_idle), max_body_(max_body), max_all_(max_all) {}
  size_t idle() const { return all_; }

  // Nothing means that no answer came in time: the request may have been executed, or may yet be.
  // A call that finds its kept connection closed is sent again only if `repeatable`.
  async::Task<std::optional<wire::HttpResponse>> Call(async::Scope& scope, std::string endpoint,
                                                      wire::HttpRequest request, double timeout_s,
                                                      bool repeatable);

 private:
  std::optional<Stream> TakeIdle(const std::string& endpoint);
  void Keep(const std::string& endpoint, Stream stream);
  void GiveUpOne();

  const size_t max_idle_;
  const size_t max_body_;
  const size_t max_all_;
  std::map<std::string, std::vector<Stream>> idle_;  // no empty entries
  size_t all_ = 0;
  size_t busy_ = 0;   // calls under way, each with a connection
  std::string turn_;  // the endpoint that gave one up last
};

}  // namespace hallpier::net
