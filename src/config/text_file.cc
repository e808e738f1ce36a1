#include "config/text_file.h"

#include <fstream>
#include <sstream>

namespace hallpier::config {

std::optional<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace hallpier::config
