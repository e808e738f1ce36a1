// Parses the settings file (TOML). Unknown fields are ignored.
#pragma once

#include <string>

#include "config/config_error.h"
#include "config/settings.h"

namespace hallpier::config {

ParseResult<Settings> ParseSettings(const std::string& text);
ParseResult<Settings> LoadSettings(const std::string& path);

}  // namespace hallpier::config
