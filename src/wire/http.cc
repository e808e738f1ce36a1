#include "wire/http.h"

namespace hallpier::wire {
namespace {

// Reserved for the start line and headers of a message.
constexpr size_t kTypicalHeadBytes = 160;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

std::string_view HttpRequest::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string Serialize(const HttpRequest& request, std::string_view host) {
  std::string out;
  out.reserve(kTypicalHeadBytes + request.body.size());
  out.append(request.method)
      .append(" ")
      .append(request.target)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host);
  if (!request.body.empty() || request.method == "POST") {
    out.append("\r\nContent-Type: application/json\r\nContent-Length: ")
        .append(std::to_string(request.body.size()));
  }
  if (!request.keep_alive) out.append("\r\nConnection: close");
  out.append(kHeadEnd).append(request.body);
  return out;
}

std::string Serialize(const HttpResponse& response) {
  std::string out;
  out.reserve(kTypicalHeadBytes + response.body.size());
  out.append("HTTP/1.1 ")
      .append(std::to_string(response.status))
      .append(" ")
      .append(ReasonPhrase(response.status));
  out.append("\r\nContent-Type: application/json\r\nContent-Length: ")
      .append(std::to_string(response.body.size()));
  if (response.retry_after_s > 0) {
    out.append("\r\nRetry-After: ").append(std::to_string(response.retry_after_s));
  }
  if (!response.keep_alive) out.append("\r\nConnection: close");
  out.append(kHeadEnd).append(response.body);
  return out;
}

}  // namespace hallpier::wire
