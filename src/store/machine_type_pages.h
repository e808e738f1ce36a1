// The record of machine types, split into as many values ("pages") as the value size limit
// requires.
//
// A list that fits one value is written in the same way as by versions without job dependencies. If
// there are several pages, the first one contains their number, and the list is used only once all
// of them are present. With only some of the pages, a node would permanently reject jobs that fit a
// machine type on a missing page.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/machine_type.h"

namespace hallpier::store {

// Returns the values of the pages in order; at least one.
std::vector<std::string> WriteMachineTypePages(const std::vector<model::MachineType>& machine_types,
                                               size_t value_bytes);

// The pages as received from the watch cache. Owned by the controller.
class MachineTypePages {
 public:
  // Stores the value of a page; an empty value deletes the page. A page that can't be decoded is
  // logged and treated as deleted.
  void Put(uint32_t page, const std::string& value);
  // Returns the whole list, or std::nullopt if a page is missing.
  std::optional<std::vector<model::MachineType>> AllIfComplete() const;

 private:
  struct Page {
    std::vector<model::MachineType> machine_types;
    uint64_t pages = 1;  // total number of pages, as given on the first page
  };
  std::map<uint32_t, Page> pages_;
};

}  // namespace hallpier::store
