// What the state service holds of a member. A session is one life of the node's process; its number
// grows with each. All changes are guarded by the record's version, so that there is at most one
// verdict on a session.
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
  // Drawn by the process that opened the session: tells it from another one of the same name.
  uint64_t instance = 0;
  std::string by;      // kSuspect, kFailed: who wrote it
  std::string reason;  // kSuspect, kFailed
  bool operator==(const MemberRecord&) const = default;
};

std::string WriteMember(const MemberRecord& record);
// Nothing if it can't be read, or is of a state that is not known here.
std::optional<MemberRecord> ReadMember(std::string_view json);

// "alive", "suspect", "failed" or "left".
std::string_view StateName(model::MemberState state);

}  // namespace hallpier::membership
