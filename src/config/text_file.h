// Reads a text file.
#pragma once

#include <optional>
#include <string>

namespace hallpier::config {

// Returns the contents of a file; std::nullopt if it can't be read.
std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace hallpier::config
