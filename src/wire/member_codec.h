// Encodes and decodes membership messages in the varint codec (see wire/peer_codec.h).
//
// The Read functions report malformed input through `reader`: its ok() is false afterwards.
#pragma once

#include <string>

#include "wire/peer_messages.h"
#include "wire/varint.h"

namespace hallpier::wire {

void PutMemberStatus(std::string& out, const MemberStatus& status);
MemberStatus ReadMemberStatus(VarintReader& reader);

void PutMembersReport(std::string& out, const MembersReport& report);
MembersReport ReadMembersReport(VarintReader& reader);

}  // namespace hallpier::wire
