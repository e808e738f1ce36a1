#include "net/http_client.h"

#include "net/address.h"
#include "wire/http_parser.h"

namespace hallpier::net {

std::optional<Stream> HttpClient::TakeIdle(const std::string& endpoint) {
  auto it = idle_streams_.find(endpoint);
  while (it != idle_streams_.end()) {
    Stream s = std::move(it->second.back());
    it->second.pop_back();
    --idle_count_;
    if (it->second.empty()) {
      idle_streams_.erase(it);
      it = idle_streams_.end();
    }
    if (!s.Stale()) return s;
  }
  return std::nullopt;
}

void HttpClient::EvictIdle() {
  auto it = idle_streams_.upper_bound(last_evicted_endpoint_);
  if (it == idle_streams_.end()) it = idle_streams_.begin();
  last_evicted_endpoint_ = it->first;
  it->second.pop_back();
  --idle_count_;
  if (it->second.empty()) idle_streams_.erase(it);
}

void HttpClient::KeepIdle(const std::string& endpoint, Stream stream) {
  // Thousands of endpoints appear and disappear, so the number of connections kept for them is
  // bounded. Endpoints lose idle connections in turn.
  while (idle_count_ > 0 && idle_count_ + active_calls_ > max_total_) EvictIdle();
  if (active_calls_ > max_total_) return;
  auto& pool = idle_streams_[endpoint];
  if (pool.size() < max_idle_) {
    pool.push_back(std::move(stream));
    ++idle_count_;
  }
}

async::Task<std::optional<wire::HttpResponse>> HttpClient::Call(async::Scope& scope,
                                                                std::string endpoint,
                                                                wire::HttpRequest request,
                                                                double timeout_s, bool idempotent,
                                                                std::function<bool()> may_send) {
  const double deadline = scope.loop().Now() + timeout_s;
  const std::string bytes = wire::Serialize(request, endpoint);
  struct ActiveCall {
    explicit ActiveCall(size_t* count) : count(count) { ++*count; }
    ~ActiveCall() { --*count; }
    size_t* count;
  };
  ActiveCall active_call(&active_calls_);
  for (int attempt = 0; attempt < 2; ++attempt) {
    std::optional<Stream> stream;
    if (attempt == 0) stream = TakeIdle(endpoint);
    const bool reused = stream.has_value();
    if (!reused) {
      auto to = ParseAddress(endpoint);
      if (!to) co_return std::nullopt;
      if (idle_count_ > 0 && idle_count_ + active_calls_ > max_total_) EvictIdle();
      stream = co_await Stream::Connect(scope, *to, deadline);
      // After a pause of the process the connection may be established although the deadline has
      // passed. A request must not be sent when its caller no longer wants it.
      if (!stream || scope.loop().Now() >= deadline) co_return std::nullopt;
    }
    if (may_send && !may_send()) co_return std::nullopt;
    wire::HttpParser parser(wire::HttpParser::Kind::kResponse, max_body_bytes_);
    bool written = co_await stream->Write(scope, bytes, deadline);
    auto state = wire::HttpParser::State::kNeedMore;
    while (written && state == wire::HttpParser::State::kNeedMore) {
      std::string data;
      bool read = co_await stream->Read(scope, data, deadline);
      if (!read) break;
      parser.Feed(data);
      state = parser.Parse();
    }
    if (state == wire::HttpParser::State::kDone) {
      wire::HttpResponse response = parser.TakeResponse();
      if (response.keep_alive) KeepIdle(endpoint, std::move(*stream));
      co_return response;
    }
    bool retry = reused && idempotent && !parser.message_started() && scope.loop().Now() < deadline;
    if (!retry) co_return std::nullopt;
  }
  co_return std::nullopt;
}

}  // namespace hallpier::net
