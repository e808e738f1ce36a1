// Helpers shared by the HTTP servers of the fakes.
#pragma once

#include <string>
#include <utility>

#include "net/http_server.h"

namespace hallpier::testing_support {

// High enough that no test reaches them.
inline const net::HttpServer::Limits kFakeServerLimits = {1000, size_t{256} * 1024, 600, 10, 600};

inline constexpr int kOk = 200;

inline wire::HttpResponse Answer(int status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

}  // namespace hallpier::testing_support
