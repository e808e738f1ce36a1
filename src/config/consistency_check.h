// Checks that the settings and the operators' options are consistent with each other.
#pragma once

#include <vector>

#include "config/config_error.h"
#include "config/operator_options.h"
#include "config/settings.h"

namespace hallpier::config {

// Returns the inconsistencies between the two files. The errors name fields of the settings file.
std::vector<ConfigError> CheckConsistency(const Settings& settings, const OperatorOptions& options);

}  // namespace hallpier::config
