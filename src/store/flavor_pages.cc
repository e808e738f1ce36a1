#include "store/flavor_pages.h"

#include "wire/json.h"

namespace hallpier::store {
namespace {
// What the first page says of their number, and the brackets around a list.
constexpr size_t kFrame = 64;
}  // namespace

std::vector<std::string> WriteFlavorPages(const std::vector<wire::Flavor>& flavors,
                                          size_t value_bytes) {
  std::vector<std::vector<wire::Flavor>> lists(1);
  size_t bytes = kFrame;
  for (const wire::Flavor& f : flavors) {
    const size_t more = wire::WriteFlavors({f}).size();
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
    out.push_back(wire::WriteFlavors(list, first && lists.size() > 1 ? lists.size() : 0));
  }
  return out;
}

void FlavorPages::Put(uint32_t page, const std::string& value) {
  pages_.erase(page);
  auto doc = wire::ParseObject(value);
  auto flavors = doc ? wire::ReadFlavors(*doc) : std::nullopt;
  if (!flavors) return;
  pages_[page] = {std::move(*flavors), wire::GetCount(*doc, "pages").value_or(1)};
}

std::optional<std::vector<wire::Flavor>> FlavorPages::All() const {
  auto first = pages_.find(0);
  if (first == pages_.end()) return std::nullopt;
  std::vector<wire::Flavor> out;
  for (uint64_t n = 0; n < first->second.pages; ++n) {
    auto page = pages_.find(static_cast<uint32_t>(n));
    if (page == pages_.end()) return std::nullopt;
    out.insert(out.end(), page->second.flavors.begin(), page->second.flavors.end());
  }
  return out;
}

}  // namespace hallpier::store
