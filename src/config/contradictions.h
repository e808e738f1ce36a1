// Checks that the settings and the operators' options go together.
#pragma once

#include <vector>

#include "config/fault.h"
#include "config/operator_options.h"
#include "config/settings.h"

namespace hallpier::config {

// What the two files say that does not go together; the fields are those of the settings.
std::vector<Fault> FindContradictions(const Settings& settings, const OperatorOptions& options);

}  // namespace hallpier::config
