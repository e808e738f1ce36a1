// An incremental parser of HTTP/1.1 messages. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "wire/http.h"

namespace hallpier::wire {

// Takes bytes as they come and says when a whole message is there.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kNeedMore, kDone, kError };

  // `max_body`: bytes; a message with a longer body is an error.
  HttpParser(Kind kind, size_t max_body) : kind_(kind), max_body_(max_body) {}

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Tries to complete one message from what has been fed.
  State Parse();
  // True once a part of a message has been taken in.
  bool message_started() const { return head_done_ || !buffer_.empty(); }
  // With kError: the status that tells the peer what was wrong.
  int error_status() const { return error_status_; }
  // With kDone: the message; the parser is then ready for the next.
  HttpRequest TakeRequest();
  HttpResponse TakeResponse();

 private:
  State Fail(int status);
  State ParseHead();
  bool ParseRequestLine(std::string_view line);
  bool ParseStatusLine(std::string_view line);
  // The lines of the head behind the first.
  bool ParseHeaders(std::string_view head);
  bool ParseHeader(std::string_view line);
  State ParseChunks();
  State ParseSizedBody();
  void Reset();
  std::string& body() { return kind_ == Kind::kRequest ? request_.body : response_.body; }

  const Kind kind_;
  const size_t max_body_;
  std::string buffer_;
  size_t scanned_ = 0;  // bytes of the buffer without the end of the head
  bool head_done_ = false;
  bool chunked_ = false;
  bool has_length_ = false;
  size_t length_ = 0;
  int error_status_ = 400;
  HttpRequest request_;
  HttpResponse response_;
};

}  // namespace hallpier::wire
