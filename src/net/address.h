// Parses the addresses of the settings: an IPv4 address and a port. Host names are not supported.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace hallpier::net {

// Parses text like "10.0.0.1:8080". Returns std::nullopt if it has another form.
std::optional<sockaddr_in> ParseAddress(std::string_view text);

}  // namespace hallpier::net
