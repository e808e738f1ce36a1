// The varint form of what nodes say of each other's membership (wire/peer.h).
#pragma once

#include <string>

#include "wire/peer.h"
#include "wire/varint.h"

namespace hallpier::wire {

void PutMemberStatus(std::string& out, const MemberStatus& status);
// False if it is malformed; short input shows in `reader` as well.
bool ReadMemberStatus(VarintReader& reader, MemberStatus* status);

void PutMembersReport(std::string& out, const MembersReport& report);
bool ReadMembersReport(VarintReader& reader, MembersReport* report);

}  // namespace hallpier::wire
