#include "store/keys.h"

#include <charconv>
#include <cstdio>

namespace hallpier::store {
namespace {

constexpr std::string_view kJobs = "hallpier/a/j/";
constexpr std::string_view kTaskGroups = "hallpier/a/t/";
constexpr std::string_view kNodeFormats = "hallpier/a/node/";
constexpr std::string_view kMembers = "hallpier/a/member/";
constexpr std::string_view kShares = "hallpier/a/share/";
constexpr std::string_view kFinals = "hallpier/f/";

std::optional<uint32_t> ParseNumber(std::string_view text) {
  uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

// What follows `prefix`; nothing if the key begins otherwise.
std::optional<std::string_view> After(std::string_view prefix, std::string_view key) {
  if (!key.starts_with(prefix)) return std::nullopt;
  return key.substr(prefix.size());
}

// `page` follows the dot after the key of the first page.
ParsedKey ParseMachineTypesPage(std::string_view page) {
  const std::optional<uint32_t> number = ParseNumber(page);
  if (!number || *number == 0) return UnknownKeyName{};
  return MachineTypesKeyName{*number};
}

// `name` is "job/group" or "job/group.part".
ParsedKey ParseTaskGroup(std::string_view name) {
  const size_t slash = name.find('/');
  if (slash == std::string_view::npos) return UnknownKeyName{};
  TaskGroupKeyName parsed;
  parsed.job = name.substr(0, slash);
  std::string_view group = name.substr(slash + 1);
  if (const size_t dot = group.find('.'); dot != std::string_view::npos) {
    parsed.part = ParseNumber(group.substr(dot + 1));
    if (!parsed.part) return UnknownKeyName{};
    group = group.substr(0, dot);
  }
  const std::optional<uint32_t> number = ParseNumber(group);
  if (!number) return UnknownKeyName{};
  parsed.task_group = *number;
  return parsed;
}

}  // namespace

std::string LeaderKey() { return std::string(kActivePrefix) + "leader"; }

std::string FencingTokenKey() { return std::string(kActivePrefix) + "block/0"; }

model::Precondition FencingTokenPrecondition(model::FencingToken token) {
  return {FencingTokenKey(), token.value()};
}

std::string MachineTypesKey(uint32_t page) {
  const std::string first = std::string(kActivePrefix) + "flavors";
  return page == 0 ? first : first + "." + std::to_string(page);
}

std::string JobKey(std::string_view id) { return std::string(kJobs).append(id); }

std::string TaskGroupKey(std::string_view id, uint32_t task_group) {
  // Five digits, so that a listing has the groups of a job in their order.
  char number[16];
  std::snprintf(number, sizeof(number), "/%05u", task_group);
  return std::string(kTaskGroups).append(id).append(number);
}

std::string TaskGroupPartKey(std::string_view id, uint32_t task_group, uint32_t part) {
  return TaskGroupKey(id, task_group) + "." + std::to_string(part);
}

std::string FinalKey(std::string_view id) { return std::string(kFinals).append(id); }

std::string FormatKey() { return std::string(kActivePrefix) + "format"; }

std::string NodeFormatKey(std::string_view node) { return std::string(kNodeFormats).append(node); }

std::string MemberKey(std::string_view node) { return std::string(kMembers).append(node); }

std::string DivisionKey() { return std::string(kActivePrefix) + "division"; }

std::string ShareKey(std::string_view node) { return std::string(kShares).append(node); }

ParsedKey ParseKey(std::string_view key) {
  if (key == LeaderKey()) return LeaderKeyName{};
  if (key == FencingTokenKey()) return FencingTokenKeyName{};
  if (key == MachineTypesKey()) return MachineTypesKeyName{};
  if (auto page = After(MachineTypesKey() + ".", key)) return ParseMachineTypesPage(*page);
  if (key == FormatKey()) return FormatKeyName{};
  if (auto node = After(kNodeFormats, key)) return NodeFormatKeyName{std::string(*node)};
  if (auto node = After(kMembers, key)) return MemberKeyName{std::string(*node)};
  if (key == DivisionKey()) return DivisionKeyName{};
  if (auto node = After(kShares, key)) return ShareKeyName{std::string(*node)};
  if (auto job = After(kFinals, key)) return FinalKeyName{std::string(*job)};
  if (auto job = After(kJobs, key)) return JobKeyName{std::string(*job)};
  if (auto name = After(kTaskGroups, key)) return ParseTaskGroup(*name);
  return UnknownKeyName{};
}

}  // namespace hallpier::store
