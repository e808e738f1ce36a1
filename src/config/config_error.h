// What is wrong with a settings file, and the result of parsing one.
#pragma once

#include <string>
#include <vector>

namespace hallpier::config {

struct ConfigError {
  std::string field;  // its path in the file, or the line where the file can't be parsed
  std::string reason;

  // One line for a person.
  std::string Text() const { return field + ": " + reason; }
  bool operator==(const ConfigError&) const = default;
};

template <class T>
struct ParseResult {
  T value;                          // defaults stand where a field is at fault
  std::vector<ConfigError> errors;  // none: the value is good

  bool ok() const { return errors.empty(); }
};

}  // namespace hallpier::config
