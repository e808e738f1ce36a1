#include "store/machine_type_pages.h"

#include "wire/cloud_codec.h"
#include "wire/json.h"

namespace hallpier::store {
namespace {
// What the first page says of their number, and the brackets around a list.
constexpr size_t kFrame = 64;
}  // namespace

std::vector<std::string> WriteMachineTypePages(const std::vector<model::MachineType>& machine_types,
                                               size_t value_bytes) {
  std::vector<std::vector<model::MachineType>> lists(1);
  size_t bytes = kFrame;
  for (const model::MachineType& f : machine_types) {
    const size_t more = wire::WriteMachineTypes({f}).size();
    if (!lists.back().empty() && bytes + more > value_bytes) {
      lists.emplace_back();
      bytes = kFrame;
    }
    bytes += more;
    lists.back().push_back(f);
  }
  std::vector<std::string> out;
  for (const auto& list : lists) {
    const bool first = out.empty();
    out.push_back(wire::WriteMachineTypes(list, first && lists.size() > 1 ? lists.size() : 0));
  }
  return out;
}

void MachineTypePages::Put(uint32_t page, const std::string& value) {
  pages_.erase(page);
  auto doc = wire::ParseObject(value);
  auto machine_types = doc ? wire::ReadMachineTypes(*doc) : std::nullopt;
  if (!machine_types) return;
  pages_[page] = {std::move(*machine_types), wire::GetCount(*doc, "pages").value_or(1)};
}

std::optional<std::vector<model::MachineType>> MachineTypePages::All() const {
  auto first = pages_.find(0);
  if (first == pages_.end()) return std::nullopt;
  std::vector<model::MachineType> out;
  for (uint64_t n = 0; n < first->second.pages; ++n) {
    auto page = pages_.find(static_cast<uint32_t>(n));
    if (page == pages_.end()) return std::nullopt;
    out.insert(out.end(), page->second.machine_types.begin(), page->second.machine_types.end());
  }
  return out;
}

}  // namespace hallpier::store
