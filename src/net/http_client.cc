#include "net/http_client.h"

#include "net/address.h"
#include "wire/http_parser.h"

namespace hallpier::net {

std::optional<Stream> HttpClient::TakeIdle(const std::string& endpoint) {
  auto it = idle_.find(endpoint);
  while (it != idle_.end()) {
    Stream s = std::move(it->second.back());
    it->second.pop_back();
    --all_;
    if (it->second.empty()) {
      idle_.erase(it);
      it = idle_.end();
    }
    if (!s.Stale()) return s;
  }
  return std::nullopt;
}

void HttpClient::GiveUpOne() {
  auto it = idle_.upper_bound(turn_);
  if (it == idle_.end()) it = idle_.begin();
  turn_ = it->first;
  it->second.pop_back();
  --all_;
  if (it->second.empty()) idle_.erase(it);
}

void HttpClient::Keep(const std::string& endpoint, Stream stream) {
  // Endpoints come and go by the thousand: what is kept for them is bounded, and they give up their
  // connections in turn.
  while (all_ > 0 && all_ + busy_ > max_all_) GiveUpOne();
  if (busy_ > max_all_) return;
  auto& pool = idle_[endpoint];
  if (pool.size() < max_idle_) {
    pool.push_back(std::move(stream));
    ++all_;
  }
}

async::Task<std::optional<wire::HttpResponse>> HttpClient::Call(async::Scope& scope,
                                                                std::string endpoint,
                                                                wire::HttpRequest request,
                                                                double timeout_s, bool repeatable) {
  const double deadline = scope.loop().Now() + timeout_s;
  const std::string bytes = wire::Serialize(request, endpoint);
  struct Busy {
    explicit Busy(size_t* n) : n(n) { ++*n; }
    ~Busy() { --*n; }
    size_t* n;
  };
  Busy busy(&busy_);
  for (int attempt = 0; attempt < 2; ++attempt) {
    std::optional<Stream> stream;
    if (attempt == 0) stream = TakeIdle(endpoint);
    const bool kept = stream.has_value();
    if (!kept) {
      auto to = ParseAddress(endpoint);
      if (!to) co_return std::nullopt;
      if (all_ > 0 && all_ + busy_ > max_all_) GiveUpOne();
      stream = co_await Stream::Connect(scope, *to, deadline);
      // After a pause of the process the connection may be there although the time is over: what is
      // not wanted any more must not be sent.
      if (!stream || scope.loop().Now() >= deadline) co_return std::nullopt;
    }
    wire::HttpParser parser(wire::HttpParser::Kind::kResponse, max_body_);
    bool written = co_await stream->Write(scope, bytes, deadline);
    auto state = wire::HttpParser::State::kMore;
    while (written && state == wire::HttpParser::State::kMore) {
      std::string data;
      bool read = co_await stream->Read(scope, data, deadline);
      if (!read) break;
      parser.Feed(data);
      state = parser.Parse();
    }
    if (state == wire::HttpParser::State::kDone) {
      wire::HttpResponse response = parser.TakeResponse();
      if (response.keep_alive) Keep(endpoint, std::move(*stream));
      co_return response;
    }
    bool again = kept && repeatable && !parser.started() && scope.loop().Now() < deadline;
    if (!again) co_return std::nullopt;
  }
  co_return std::nullopt;
}

}  // namespace hallpier::net
