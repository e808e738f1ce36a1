// Errors in a configuration file, and the result of parsing one.
#pragma once

#include <string>
#include <vector>

namespace hallpier::config {

struct ConfigError {
  std::string field;  // the field's path in the file, or the line of a syntax error
  std::string reason;

  // Returns a one-line message.
  std::string Text() const { return field + ": " + reason; }
  bool operator==(const ConfigError&) const = default;
};

template <class T>
struct ParseResult {
  T value;                          // fields with errors keep defaults
  std::vector<ConfigError> errors;  // empty: the value is valid

  bool ok() const { return errors.empty(); }
};

}  // namespace hallpier::config
