// The varint form of what nodes say of each other's membership (wire/peer.h).
#pragma once

#include <string>

#include "wire/peer_messages.h"
#include "wire/varint.h"

namespace hallpier::wire {

void PutMemberStatus(std::string& out, const MemberStatus& status);
// What is malformed shows in `reader`.
MemberStatus ReadMemberStatus(VarintReader& reader);

void PutMembersReport(std::string& out, const MembersReport& report);
MembersReport ReadMembersReport(VarintReader& reader);

}  // namespace hallpier::wire
