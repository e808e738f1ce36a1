// HTTP/1.1 messages and an incremental parser for them. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hallpier::wire {

struct HttpRequest {
  std::string method;
  std::string target;  // as sent, with the query
  std::string body;
  bool keep_alive = true;
  std::string_view path() const;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  // 0: no header
  bool keep_alive = true;
};

std::string Serialize(const HttpRequest& request, std::string_view host);
std::string Serialize(const HttpResponse& response);

// Takes bytes as they come and says when a whole message is there.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kMore, kDone, kError };

  HttpParser(Kind kind, size_t max_body) : kind_(kind), max_body_(max_body) {}

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Tries to complete one message from what has been fed.
  State Parse();
  // True once a part of a message has been taken in.
  bool started() const { return head_done_ || !buffer_.empty(); }
  // With kError: the status that tells the peer what was wrong.
  int error_status() const { return error_status_; }
  // With kDone: the message; the parser is then ready for the next.
  HttpRequest TakeRequest();
  HttpResponse TakeResponse();

 private:
  State Fail(int status);
  State ParseHead();
  State ParseChunks();
  void Reset();
  bool ParseHeader(std::string_view line);

  const Kind kind_;
  const size_t max_body_;
  std::string buffer_;
  size_t scanned_ = 0;
  bool head_done_ = false;
  bool chunked_ = false;
  bool has_length_ = false;
  size_t length_ = 0;
  int error_status_ = 400;
  HttpRequest request_;
  HttpResponse response_;
};

// Splits "a=b&c=d" after the question mark; undoes percent escapes.
std::vector<std::pair<std::string, std::string>> ParseQuery(std::string_view target);
std::string EscapeQuery(std::string_view text);

}  // namespace hallpier::wire
