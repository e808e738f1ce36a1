// Tables that map enum values to their names on the wire.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/json.h"

namespace hallpier::wire {

template <class E, size_t N>
using EnumNames = std::array<std::pair<E, std::string_view>, N>;

// Returns the name of a value; empty if the table has no entry for it.
template <class E, size_t N>
std::string_view NameOf(const EnumNames<E, N>& names, E value) {
  for (const auto& [entry_value, name] : names) {
    if (entry_value == value) return name;
  }
  return {};
}

// Returns the value with the given name, or std::nullopt if the table has no such name.
template <class E, size_t N>
std::optional<E> ValueOf(const EnumNames<E, N>& names, std::string_view name) {
  for (const auto& [value, entry_name] : names) {
    if (entry_name == name) return value;
  }
  return std::nullopt;
}

// Returns the value of a JSON member that holds an enum name, or std::nullopt if the member is
// missing, not a string or an unknown name.
template <class E, size_t N>
std::optional<E> GetEnum(const EnumNames<E, N>& names, const JsonValue& object, const char* field) {
  auto name = GetText(object, field);
  return name ? ValueOf(names, *name) : std::nullopt;
}

}  // namespace hallpier::wire
