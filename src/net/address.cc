#include "net/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace hallpier::net {
namespace {

std::optional<uint16_t> ParsePort(std::string_view digits) {
  uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return port;
}

}  // namespace

std::optional<sockaddr_in> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(*port);
  const std::string host(text.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  return address;
}

}  // namespace hallpier::net
