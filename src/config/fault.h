// What is wrong with a settings file, and the result of parsing one.
#pragma once

#include <string>
#include <vector>

namespace hallpier::config {

struct Fault {
  std::string field;  // its path in the file, or the line where the file can't be parsed
  std::string reason;

  // One line for a person.
  std::string Text() const { return field + ": " + reason; }
  bool operator==(const Fault&) const = default;
};

template <class T>
struct Parsed {
  T value;                    // defaults stand where a field is at fault
  std::vector<Fault> faults;  // none: the value is good

  bool ok() const { return faults.empty(); }
};

}  // namespace hallpier::config
