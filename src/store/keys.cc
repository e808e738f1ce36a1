#include "store/keys.h"

#include <charconv>
#include <cstdio>

namespace hallpier::store {
namespace {

constexpr std::string_view kJobPrefix = "hallpier/a/j/";
constexpr std::string_view kTaskGroupPrefix = "hallpier/a/t/";
constexpr std::string_view kNodeFormatPrefix = "hallpier/a/node/";
constexpr std::string_view kMemberPrefix = "hallpier/a/member/";
constexpr std::string_view kAllocationPrefix = "hallpier/a/share/";
constexpr std::string_view kFinalPrefix = "hallpier/f/";

std::optional<uint32_t> ParseNumber(std::string_view text) {
  uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

// Returns the rest of the key after `prefix`, or std::nullopt if the key has another prefix.
std::optional<std::string_view> SuffixAfter(std::string_view prefix, std::string_view key) {
  if (!key.starts_with(prefix)) return std::nullopt;
  return key.substr(prefix.size());
}

// `page` is the text after the dot that follows the key of the first page.
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

std::string JobKey(std::string_view id) { return std::string(kJobPrefix).append(id); }

std::string TaskGroupKey(std::string_view id, uint32_t task_group) {
  // Padded to five digits so that listings return the groups of a job in numerical order.
  char number[16];
  std::snprintf(number, sizeof(number), "/%05u", task_group);
  return std::string(kTaskGroupPrefix).append(id).append(number);
}

std::string TaskGroupPartKey(std::string_view id, uint32_t task_group, uint32_t part) {
  return TaskGroupKey(id, task_group) + "." + std::to_string(part);
}

std::string FinalKey(std::string_view id) { return std::string(kFinalPrefix).append(id); }

std::string FormatKey() { return std::string(kActivePrefix) + "format"; }

std::string NodeFormatKey(std::string_view node) {
  return std::string(kNodeFormatPrefix).append(node);
}

std::string MemberKey(std::string_view node) { return std::string(kMemberPrefix).append(node); }

std::string BlockAssignmentKey() { return std::string(kActivePrefix) + "division"; }

std::string AllocationKey(std::string_view node) {
  return std::string(kAllocationPrefix).append(node);
}

ParsedKey ParseKey(std::string_view key) {
  if (key == LeaderKey()) return LeaderKeyName{};
  if (key == FencingTokenKey()) return FencingTokenKeyName{};
  if (key == MachineTypesKey()) return MachineTypesKeyName{};
  if (auto page = SuffixAfter(MachineTypesKey() + ".", key)) return ParseMachineTypesPage(*page);
  if (key == FormatKey()) return FormatKeyName{};
  if (auto node = SuffixAfter(kNodeFormatPrefix, key)) return NodeFormatKeyName{std::string(*node)};
  if (auto node = SuffixAfter(kMemberPrefix, key)) return MemberKeyName{std::string(*node)};
  if (key == BlockAssignmentKey()) return BlockAssignmentKeyName{};
  if (auto node = SuffixAfter(kAllocationPrefix, key)) return AllocationKeyName{std::string(*node)};
  if (auto job = SuffixAfter(kFinalPrefix, key)) return FinalKeyName{std::string(*job)};
  if (auto job = SuffixAfter(kJobPrefix, key)) return JobKeyName{std::string(*job)};
  if (auto name = SuffixAfter(kTaskGroupPrefix, key)) return ParseTaskGroup(*name);
  return UnknownKeyName{};
}

}  // namespace hallpier::store
