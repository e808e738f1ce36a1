// The keys under which hallpier keeps its records on the state service. docs/state-schema.md
// describes them. Pure functions, no state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "model/ids.h"
#include "model/key_value.h"

namespace hallpier::store {

// The prefix of all that every node follows with its watch cache. Final records lie outside of it,
// so that they take no memory on any node.
inline constexpr std::string_view kActivePrefix = "hallpier/a/";

std::string LeaderKey();
// The record that every new leader rewrites: the version of this key is the fencing token.
std::string FencingTokenKey();
// Holds for as long as no node has taken a higher token.
model::Precondition FencingTokenPrecondition(model::FencingToken token);
// The list of machine types may take several pages; the first is page 0.
std::string MachineTypesKey(uint32_t page = 0);
// The record of an unfinished job.
std::string JobKey(std::string_view id);
// A group of a job's tasks, and one part of a group that is kept in several (TaskGroupLayout).
std::string TaskGroupKey(std::string_view id, uint32_t task_group);
std::string TaskGroupPartKey(std::string_view id, uint32_t task_group, uint32_t part);
// How a job ended.
std::string FinalKey(std::string_view id);
// The record format of the whole service, and the newest format that one node understands.
std::string FormatKey();
std::string NodeFormatKey(std::string_view node);
// What is recorded of a node as a member of the cluster (membership/record.h).
std::string MemberKey(std::string_view node);
// How machines are divided among controllers (blocks/division.h).
std::string DivisionKey();
// The part of the teams' limits that the holder of a block may use (quota/share_record.h).
std::string ShareKey(std::string_view node);

// What a key names: one type for each kind of key, with the variable parts of its name.
struct UnknownKeyName {  // no key of this version
  bool operator==(const UnknownKeyName&) const = default;
};
struct LeaderKeyName {
  bool operator==(const LeaderKeyName&) const = default;
};
struct FencingTokenKeyName {
  bool operator==(const FencingTokenKeyName&) const = default;
};
struct MachineTypesKeyName {
  uint32_t page = 0;
  bool operator==(const MachineTypesKeyName&) const = default;
};
struct FormatKeyName {
  bool operator==(const FormatKeyName&) const = default;
};
struct NodeFormatKeyName {
  std::string node;
  bool operator==(const NodeFormatKeyName&) const = default;
};
struct MemberKeyName {
  std::string node;
  bool operator==(const MemberKeyName&) const = default;
};
struct DivisionKeyName {
  bool operator==(const DivisionKeyName&) const = default;
};
struct ShareKeyName {
  std::string node;
  bool operator==(const ShareKeyName&) const = default;
};
struct JobKeyName {
  std::string job;
  bool operator==(const JobKeyName&) const = default;
};
struct TaskGroupKeyName {
  std::string job;
  uint32_t task_group = 0;
  std::optional<uint32_t> part;  // nothing: the key of the whole group
  bool operator==(const TaskGroupKeyName&) const = default;
};
struct FinalKeyName {
  std::string job;
  bool operator==(const FinalKeyName&) const = default;
};

using ParsedKey =
    std::variant<UnknownKeyName, LeaderKeyName, FencingTokenKeyName, MachineTypesKeyName,
                 FormatKeyName, NodeFormatKeyName, MemberKeyName, DivisionKeyName, ShareKeyName,
                 JobKeyName, TaskGroupKeyName, FinalKeyName>;

ParsedKey ParseKey(std::string_view key);

// Several lambdas as one visitor of a ParsedKey, so that the compiler asks for each kind of key.
template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

// True if the key is of the kind `Name`, as in IsKeyOfKind<JobKeyName>(key).
template <class Name>
bool IsKeyOfKind(std::string_view key) {
  return std::holds_alternative<Name>(ParseKey(key));
}

}  // namespace hallpier::store
