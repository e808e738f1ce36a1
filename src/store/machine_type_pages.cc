#include "store/machine_type_pages.h"

#include <utility>

#include "store/decode_result.h"
#include "store/keys.h"
#include "wire/cloud_codec.h"
#include "wire/json.h"

namespace hallpier::store {
namespace {

// Bytes reserved for the number of pages and the brackets around a list.
constexpr size_t kPageOverheadBytes = 64;

DecodeError DecodeErrorOf(bool is_object) {
  if (!is_object) return {"", "not a JSON object"};
  return {"flavors", "missing, or a machine type without name, cpus or memory"};
}

}  // namespace

std::vector<std::string> WriteMachineTypePages(const std::vector<model::MachineType>& machine_types,
                                               size_t value_bytes) {
  std::vector<std::vector<model::MachineType>> lists(1);
  size_t bytes = kPageOverheadBytes;
  for (const model::MachineType& machine_type : machine_types) {
    const size_t entry_bytes = wire::WriteMachineTypes({machine_type}).size();
    if (!lists.back().empty() && bytes + entry_bytes > value_bytes) {
      lists.emplace_back();
      bytes = kPageOverheadBytes;
    }
    bytes += entry_bytes;
    lists.back().push_back(machine_type);
  }
  std::vector<std::string> values;
  values.reserve(lists.size());
  for (const auto& list : lists) {
    const bool names_page_count = values.empty() && lists.size() > 1;
    values.push_back(wire::WriteMachineTypes(list, names_page_count ? lists.size() : 0));
  }
  return values;
}

void MachineTypePages::Put(uint32_t page, const std::string& value) {
  pages_.erase(page);
  if (value.empty()) return;
  const auto record = wire::ParseObject(value);
  auto machine_types = record ? wire::ReadMachineTypes(*record) : std::nullopt;
  if (!machine_types) {
    LogUnreadable(MachineTypesKey(page), DecodeErrorOf(record.has_value()));
    return;
  }
  pages_[page] = {std::move(*machine_types), wire::GetCount(*record, "pages").value_or(1)};
}

std::optional<std::vector<model::MachineType>> MachineTypePages::AllIfComplete() const {
  auto first = pages_.find(0);
  if (first == pages_.end()) return std::nullopt;
  std::vector<model::MachineType> all;
  for (uint64_t number = 0; number < first->second.pages; ++number) {
    auto page = pages_.find(static_cast<uint32_t>(number));
    if (page == pages_.end()) return std::nullopt;
    const auto& machine_types = page->second.machine_types;
    all.insert(all.end(), machine_types.begin(), machine_types.end());
  }
  return all;
}

}  // namespace hallpier::store
