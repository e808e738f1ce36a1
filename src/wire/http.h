// HTTP/1.1 requests and responses, and their serialization.
#pragma once

#include <string>
#include <string_view>

namespace hallpier::wire {

struct HttpRequest {
  std::string method;
  std::string target;  // path and query, still percent-encoded
  std::string body;
  bool keep_alive = true;

  // Returns the target without its query.
  std::string_view path() const;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  // 0 if there is no Retry-After header
  bool keep_alive = true;
};

std::string Serialize(const HttpRequest& request, std::string_view host);
std::string Serialize(const HttpResponse& response);

}  // namespace hallpier::wire
