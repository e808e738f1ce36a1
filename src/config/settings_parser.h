// Reads the settings file (TOML). Fields that are not known are passed over.
#pragma once

#include <string>

#include "config/config_error.h"
#include "config/settings.h"

namespace hallpier::config {

ParseResult<Settings> ParseSettings(const std::string& text);
ParseResult<Settings> LoadSettings(const std::string& path);

}  // namespace hallpier::config
