// Machine names as small numbers, for the packed form of task groups (store/packed_task_group.h).
//
// Names that differ only in a number of fixed length at their end are a family. A family takes as
// many codes as there are numbers from its lowest to its highest; the families' codes follow one
// another from 1 on, and 0 stands for no machine.
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
  // With codes for all machines of the group.
  static MachineNameCodec For(const TaskGroup& task_group);
  // Reads, and writes, the record's field with the families.
  static DecodeResult<MachineNameCodec> Read(const wire::JsonValue& record);
  void Write(wire::JsonWriter& json) const;

  // Base-64 digits that every code fits (wire/digits.h).
  size_t digits_per_code() const;
  // The code of a machine that this codec was made for; 0 for an empty name.
  uint64_t CodeOf(const std::string& machine) const;
  // Nothing for a code that no machine has.
  std::optional<std::string> NameOf(uint64_t code) const;

 private:
  // What the names of a family have in common.
  struct FamilyId {
    std::string stem;
    size_t digits = 0;  // of the number at the end
    bool operator<(const FamilyId& other) const {
      return std::tie(stem, digits) < std::tie(other.stem, other.digits);
    }
  };
  struct Family {
    FamilyId id;
    uint64_t lowest = 0;      // number
    uint64_t count = 0;       // of numbers, from the lowest on
    uint64_t first_code = 0;  // of the lowest number
  };
  struct Name {
    FamilyId family;
    uint64_t number = 0;
  };

  static Name Split(std::string_view machine);
  static std::optional<DecodeError> Check(const Family& family);
  void Add(Family family);

  std::vector<Family> families_;
  std::map<FamilyId, size_t> index_of_;  // in families_
  uint64_t codes_ = 0;                   // given away so far
};

}  // namespace hallpier::store
