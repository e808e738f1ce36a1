// Reads the settings file (TOML). Fields that are not known are passed over.
#pragma once

#include <string>

#include "config/fault.h"
#include "config/settings.h"

namespace hallpier::config {

Parsed<Settings> ParseSettings(const std::string& text);
Parsed<Settings> LoadSettings(const std::string& path);

}  // namespace hallpier::config
