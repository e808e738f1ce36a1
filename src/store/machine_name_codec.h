// Encodes machine names as small numbers, for the packed form of task groups
// (store/packed_task_group.h).
//
// Names that differ only in a trailing number with a fixed number of digits share a pattern. For
// each pattern the codec has one range, from the lowest to the highest number in use, with one code
// per number. The codes of the ranges are consecutive and start at 1; code 0 means no machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "store/decode_result.h"
#include "store/task_group.h"
#include "wire/json.h"

namespace hallpier::store {

class MachineNameCodec {
 public:
  // Returns a codec with codes for all machines of the group.
  static MachineNameCodec ForTaskGroup(const TaskGroup& task_group);
  // Read or write the field of a task group's record that contains the ranges.
  static DecodeResult<MachineNameCodec> Read(const wire::JsonValue& record);
  void Write(wire::JsonWriter& json) const;

  // Number of base-64 digits (wire/base64_digits.h) that is enough for every code.
  size_t digits_per_code() const;
  // Returns the code of a machine, or 0 for an empty name. Requires a machine of the task group
  // that the codec was built for.
  uint64_t CodeOf(const std::string& machine) const;
  // Returns std::nullopt for a code outside of all ranges, and an empty name for code 0.
  std::optional<std::string> NameOf(uint64_t code) const;

 private:
  // The common parts of the names in a range.
  struct NamePattern {
    std::string prefix;
    size_t digit_count = 0;  // of the trailing number; 0 if the name has none
    bool operator<(const NamePattern& other) const {
      return std::tie(prefix, digit_count) < std::tie(other.prefix, other.digit_count);
    }
  };
  struct NameRange {
    NamePattern pattern;
    uint64_t lowest_number = 0;
    uint64_t count = 0;       // how many consecutive numbers the range has
    uint64_t first_code = 0;  // code of the lowest number
  };
  struct Name {
    NamePattern pattern;
    uint64_t number = 0;
  };

  static Name SplitName(std::string_view machine);
  static std::optional<DecodeError> Validate(const NameRange& range);
  void AddRange(NameRange range);

  std::vector<NameRange> ranges_;
  std::map<NamePattern, size_t> range_index_;  // indexes into ranges_
  uint64_t code_count_ = 0;                    // codes assigned so far
};

}  // namespace hallpier::store
