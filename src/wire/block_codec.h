// The varint form of what the leader and holders of blocks say to each other (wire/peer.h).
#pragma once

#include <string>

#include "model/machine_view.h"
#include "wire/peer_messages.h"
#include "wire/varint.h"

namespace hallpier::wire {

void PutBlockView(std::string& out, const BlockView& view);
// What is malformed shows in `reader`.
BlockView ReadBlockView(VarintReader& reader);

void PutBlockAcknowledgement(std::string& out, const BlockAcknowledgement& acknowledgement);
BlockAcknowledgement ReadBlockAcknowledgement(VarintReader& reader);

// One machine's part of a view.
void PutMachineView(std::string& out, const model::MachineView& view);

}  // namespace hallpier::wire
