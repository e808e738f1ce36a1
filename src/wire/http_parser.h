// Incremental parser for HTTP/1.1 messages. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "wire/http.h"

namespace hallpier::wire {

// Accepts bytes as they arrive and reports when a message is complete.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kNeedMore, kDone, kError };

  // `max_body_bytes` bounds the body; a message with a longer body is an error.
  HttpParser(Kind kind, size_t max_body_bytes) : kind_(kind), max_body_bytes_(max_body_bytes) {}

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Tries to complete one message from the bytes fed so far.
  State Parse();
  // True once bytes of the next message have arrived.
  bool message_started() const { return head_done_ || !buffer_.empty(); }
  // The HTTP status that describes the error to the peer. Valid after kError.
  int error_status() const { return error_status_; }
  // Return the parsed message and reset the parser for the next one. Valid after kDone.
  HttpRequest TakeRequest();
  HttpResponse TakeResponse();

 private:
  State Fail(int status);
  State ParseHead();
  bool ParseRequestLine(std::string_view line);
  bool ParseStatusLine(std::string_view line);
  // Parses the lines of `head` after the start line.
  bool ParseHeaders(std::string_view head);
  bool ParseHeader(std::string_view line);
  State ParseChunks();
  State ParseSizedBody();
  void Reset();
  std::string& body() { return kind_ == Kind::kRequest ? request_.body : response_.body; }

  const Kind kind_;
  const size_t max_body_bytes_;
  std::string buffer_;
  size_t scanned_ = 0;  // leading bytes of buffer_ already searched for the end of the head
  bool head_done_ = false;
  bool chunked_ = false;
  bool has_content_length_ = false;
  size_t content_length_ = 0;
  int error_status_ = 400;
  HttpRequest request_;
  HttpResponse response_;
};

}  // namespace hallpier::wire
