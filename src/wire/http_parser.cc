#include "wire/http_parser.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hallpier::wire {
namespace {

// Start line and headers. Those of known peers take a few hundred bytes, so a much longer head does
// not come from one of them.
constexpr size_t kMaxHeadBytes = size_t{16} * 1024;
constexpr size_t kMaxChunkSizeLineBytes = 64;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kHexBase = 16;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

bool ContainsIgnoreCase(std::string_view text, std::string_view word) {
  for (size_t i = 0; i + word.size() <= text.size(); ++i) {
    if (EqualsIgnoreCase(text.substr(i, word.size()), word)) return true;
  }
  return false;
}

std::string_view Trim(std::string_view text) {
  auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

template <class T>
bool ParseNumber(std::string_view text, T& number, int base = 10) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

bool IsToken(std::string_view text) {
  constexpr char kDeleteCharacter = 127;
  return !text.empty() && std::none_of(text.begin(), text.end(),
                                       [](char c) { return c <= ' ' || c >= kDeleteCharacter; });
}

}  // namespace

HttpParser::State HttpParser::Fail(int status) {
  error_status_ = status;
  return State::kError;
}

bool HttpParser::ParseHeader(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return false;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualsIgnoreCase(name, "content-length")) {
    size_t length = 0;
    // Conflicting lengths allow request smuggling: one message is made to look like two.
    if (!ParseNumber(value, length) || (has_content_length_ && length != content_length_))
      return false;
    content_length_ = length;
    has_content_length_ = true;
  } else if (EqualsIgnoreCase(name, "transfer-encoding")) {
    if (!EqualsIgnoreCase(value, "chunked")) return false;
    chunked_ = true;
  } else if (EqualsIgnoreCase(name, "connection")) {
    const bool close = ContainsIgnoreCase(value, "close");
    request_.keep_alive = request_.keep_alive && !close;
    response_.keep_alive = response_.keep_alive && !close;
  } else if (EqualsIgnoreCase(name, "retry-after")) {
    int seconds = 0;
    if (ParseNumber(value, seconds)) response_.retry_after_s = seconds;
  }
  return true;
}

bool HttpParser::ParseRequestLine(std::string_view line) {
  const size_t method_end = line.find(' ');
  if (method_end == std::string_view::npos) return false;
  const size_t target_end = line.find(' ', method_end + 1);
  if (target_end == std::string_view::npos) return false;
  const std::string_view version = line.substr(target_end + 1);
  request_.method = line.substr(0, method_end);
  request_.target = line.substr(method_end + 1, target_end - method_end - 1);
  if (!IsToken(request_.method) || !IsToken(request_.target)) return false;
  if (request_.target[0] != '/') return false;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  request_.keep_alive = version == "HTTP/1.1";
  return true;
}

bool HttpParser::ParseStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kCodeDigits = 3;
  const size_t version_end = line.find(' ');
  if (version_end == std::string_view::npos || !line.starts_with(kVersion)) return false;
  const std::string_view code = line.substr(version_end + 1, kCodeDigits);
  if (code.size() != kCodeDigits || !ParseNumber(code, response_.status)) return false;
  response_.keep_alive = line[kVersion.size()] == '1';
  return true;
}

bool HttpParser::ParseHeaders(std::string_view head) {
  size_t line_end = head.find(kLineEnd);
  while (line_end != std::string_view::npos) {
    const size_t start = line_end + kLineEnd.size();
    line_end = head.find(kLineEnd, start);
    const size_t length = line_end == std::string_view::npos ? line_end : line_end - start;
    if (!ParseHeader(head.substr(start, length))) return false;
  }
  return true;
}

HttpParser::State HttpParser::ParseHead() {
  // The blank line that ends the head may have arrived in two parts.
  const size_t overlap = kHeadEnd.size() - 1;
  const size_t end = buffer_.find(kHeadEnd, scanned_ < overlap ? 0 : scanned_ - overlap);
  scanned_ = buffer_.size();
  if (end == std::string::npos) {
    return buffer_.size() > kMaxHeadBytes ? Fail(kHeadersTooLarge) : State::kNeedMore;
  }
  if (end > kMaxHeadBytes) return Fail(kHeadersTooLarge);
  const std::string_view head(buffer_.data(), end);
  const std::string_view start_line = head.substr(0, head.find(kLineEnd));
  const bool valid =
      kind_ == Kind::kRequest ? ParseRequestLine(start_line) : ParseStatusLine(start_line);
  if (!valid || !ParseHeaders(head)) return Fail(kBadRequest);
  if (chunked_ && has_content_length_) return Fail(kBadRequest);
  if (content_length_ > max_body_bytes_) return Fail(kContentTooLarge);
  head_done_ = true;
  buffer_.erase(0, end + kHeadEnd.size());
  return State::kDone;
}

HttpParser::State HttpParser::ParseChunks() {
  while (true) {
    const size_t line_end = buffer_.find(kLineEnd);
    if (line_end == std::string::npos) {
      return buffer_.size() > kMaxChunkSizeLineBytes ? Fail(kBadRequest) : State::kNeedMore;
    }
    const std::string_view line(buffer_.data(), line_end);
    size_t size = 0;
    if (!ParseNumber(line.substr(0, line.find(';')), size, kHexBase)) return Fail(kBadRequest);
    if (size > max_body_bytes_ || body().size() + size > max_body_bytes_)
      return Fail(kContentTooLarge);
    const size_t start = line_end + kLineEnd.size();
    const size_t end = start + size;
    if (buffer_.size() < end + kLineEnd.size()) return State::kNeedMore;
    if (buffer_.compare(end, kLineEnd.size(), kLineEnd) != 0) return Fail(kBadRequest);
    body().append(buffer_, start, size);
    buffer_.erase(0, end + kLineEnd.size());
    if (size == 0) return State::kDone;
  }
}

HttpParser::State HttpParser::ParseSizedBody() {
  if (buffer_.size() < content_length_) return State::kNeedMore;
  if (buffer_.size() == content_length_) {
    body() = std::move(buffer_);
    buffer_.clear();
  } else {
    body() = buffer_.substr(0, content_length_);
    buffer_.erase(0, content_length_);
  }
  return State::kDone;
}

HttpParser::State HttpParser::Parse() {
  if (!head_done_) {
    const State state = ParseHead();
    if (state != State::kDone) return state;
  }
  return chunked_ ? ParseChunks() : ParseSizedBody();
}

void HttpParser::Reset() {
  scanned_ = 0;
  head_done_ = false;
  chunked_ = false;
  has_content_length_ = false;
  content_length_ = 0;
  request_ = {};
  response_ = {};
}

HttpRequest HttpParser::TakeRequest() {
  HttpRequest request = std::move(request_);
  Reset();
  return request;
}

HttpResponse HttpParser::TakeResponse() {
  HttpResponse response = std::move(response_);
  Reset();
  return response;
}

}  // namespace hallpier::wire
