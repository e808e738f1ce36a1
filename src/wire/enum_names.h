// Tables of the words that an enumeration has on the wire.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/json.h"

namespace hallpier::wire {

template <class E, size_t N>
using EnumNames = std::array<std::pair<E, std::string_view>, N>;

// The word for a value; empty if the table has none.
template <class E, size_t N>
std::string_view NameOf(const EnumNames<E, N>& names, E value) {
  for (const auto& [known, name] : names) {
    if (known == value) return name;
  }
  return {};
}

// Nothing if the table does not have the word.
template <class E, size_t N>
std::optional<E> ValueOf(const EnumNames<E, N>& names, std::string_view word) {
  for (const auto& [known, name] : names) {
    if (name == word) return known;
  }
  return std::nullopt;
}

// A member of a JSON object that holds such a word; nothing if it is missing or unknown.
template <class E, size_t N>
std::optional<E> GetEnum(const EnumNames<E, N>& names, const JsonValue& object, const char* field) {
  auto word = GetText(object, field);
  return word ? ValueOf(names, *word) : std::nullopt;
}

}  // namespace hallpier::wire
