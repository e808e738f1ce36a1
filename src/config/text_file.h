// Reading a whole file.
#pragma once

#include <optional>
#include <string>

namespace hallpier::config {

// Nothing if the file can't be read.
std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace hallpier::config
