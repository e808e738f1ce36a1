// The list of machine types, in as many values as it takes to fit the limits.
//
// A list that fits one value is written as versions without pipelines do. Of several, the first
// says how many there are, and the list counts only once all are there: a part of it would make a
// node refuse jobs for good that do fit.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/machine_type.h"

namespace hallpier::store {

std::vector<std::string> WriteMachineTypePages(const std::vector<model::MachineType>& machine_types,
                                               size_t value_bytes);

class MachineTypePages {
 public:
  // An empty value: the page was dropped.
  void Put(uint32_t page, const std::string& value);
  // Nothing unless the list is there as a whole.
  std::optional<std::vector<model::MachineType>> All() const;

 private:
  struct Page {
    std::vector<model::MachineType> machine_types;
    uint64_t pages = 1;  // of the first
  };
  std::map<uint32_t, Page> pages_;
};

}  // namespace hallpier::store
