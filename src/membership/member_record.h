// The record of a member on the state service. A session is one run of a node's process; session
// numbers grow with each run. Every change has a precondition on the version of the record, so that
// a session is declared failed at most once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/member.h"
#include "wire/peer_messages.h"

namespace hallpier::membership {

struct MemberRecord {
  model::MemberState state = model::MemberState::kAlive;
  model::Incarnation incarnation;
  // Random number of the process that opened the session; distinguishes it from another process
  // with the same node name.
  uint64_t instance = 0;
  std::string by;      // kSuspect, kFailed: the node that wrote the state
  std::string reason;  // kSuspect, kFailed
  bool operator==(const MemberRecord&) const = default;
};

std::string WriteMember(const MemberRecord& record);
// Returns std::nullopt if the record is malformed or has a state that this version does not know.
std::optional<MemberRecord> ReadMember(std::string_view json);

// "alive", "suspect", "failed" or "left".
std::string_view StateName(model::MemberState state);

}  // namespace hallpier::membership
