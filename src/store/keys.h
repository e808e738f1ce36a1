// Keys of hallpier's records on the state service, described in docs/state-schema.md. Pure
// functions without state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "model/ids.h"
#include "model/key_value.h"

namespace hallpier::store {

// Prefix of the keys that every node watches and caches. Final records have another prefix, so that
// they use no memory on the nodes.
inline constexpr std::string_view kActivePrefix = "hallpier/a/";

std::string LeaderKey();
// Key of the record that every new leader rewrites. Its version is the fencing token.
std::string FencingTokenKey();
// Returns a precondition that holds until another node acquires a higher token.
model::Precondition FencingTokenPrecondition(model::FencingToken token);
// Key of one page of the machine type list. The list may take several pages, starting with page 0.
std::string MachineTypesKey(uint32_t page = 0);
// Key of the record of an unfinished job.
std::string JobKey(std::string_view id);
// Key of a task group of a job, and of one part of a group that is stored in several parts (see
// TaskGroupLayout).
std::string TaskGroupKey(std::string_view id, uint32_t task_group);
std::string TaskGroupPartKey(std::string_view id, uint32_t task_group, uint32_t part);
// Key of the record of how a job ended.
std::string FinalKey(std::string_view id);
// Keys of the record format that the whole service uses, and of the newest format that one node
// supports.
std::string FormatKey();
std::string NodeFormatKey(std::string_view node);
// Key of the membership record of a node (membership/member_record.h).
std::string MemberKey(std::string_view node);
// Key of the record that assigns machines to controllers (blocks/block_assignment.h).
std::string BlockAssignmentKey();
// Key of the record of a block owner's allocation of the teams' quotas (quota/allocation_record.h).
std::string AllocationKey(std::string_view node);

// Parsed keys: one type per kind of key, holding the variable parts of the key.
struct UnknownKeyName {  // not a key that this version defines
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
struct BlockAssignmentKeyName {
  bool operator==(const BlockAssignmentKeyName&) const = default;
};
struct AllocationKeyName {
  std::string node;
  bool operator==(const AllocationKeyName&) const = default;
};
struct JobKeyName {
  std::string job;
  bool operator==(const JobKeyName&) const = default;
};
struct TaskGroupKeyName {
  std::string job;
  uint32_t task_group = 0;
  std::optional<uint32_t> part;  // std::nullopt if the key refers to a whole group
  bool operator==(const TaskGroupKeyName&) const = default;
};
struct FinalKeyName {
  std::string job;
  bool operator==(const FinalKeyName&) const = default;
};

using ParsedKey =
    std::variant<UnknownKeyName, LeaderKeyName, FencingTokenKeyName, MachineTypesKeyName,
                 FormatKeyName, NodeFormatKeyName, MemberKeyName, BlockAssignmentKeyName,
                 AllocationKeyName, JobKeyName, TaskGroupKeyName, FinalKeyName>;

// Returns UnknownKeyName if this version defines no such key.
ParsedKey ParseKey(std::string_view key);

// Combines several lambdas into one visitor of a ParsedKey. The compiler then reports kinds of keys
// that no lambda handles.
template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

// Returns true if the key is of the kind `Name`. Example: IsKeyOfKind<JobKeyName>(key).
template <class Name>
bool IsKeyOfKind(std::string_view key) {
  return std::holds_alternative<Name>(ParseKey(key));
}

}  // namespace hallpier::store
