// Checks that the settings and the operators' options go together.
#pragma once

#include <vector>

#include "config/config_error.h"
#include "config/operator_options.h"
#include "config/settings.h"

namespace hallpier::config {

// What the two files say that does not go together; the fields are those of the settings.
std::vector<ConfigError> CheckConsistency(const Settings& settings, const OperatorOptions& options);

}  // namespace hallpier::config
