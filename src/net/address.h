// Addresses of the settings: IPv4 and a port. Names are never looked up.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace hallpier::net {

// Of "10.0.0.1:8080"; nothing if the text is not of that form.
std::optional<sockaddr_in> ParseAddress(std::string_view text);

}  // namespace hallpier::net
