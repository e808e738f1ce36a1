// Encodes and decodes the messages between the leader and the owners of blocks in the varint codec
// (see wire/peer_codec.h).
//
// The Read functions report malformed input through `reader`: its ok() is false afterwards.
#pragma once

#include <string>

#include "model/machine_view.h"
#include "wire/peer_messages.h"
#include "wire/varint.h"

namespace hallpier::wire {

void PutBlockView(std::string& out, const BlockView& view);
BlockView ReadBlockView(VarintReader& reader);

void PutBlockAcknowledgement(std::string& out, const BlockAcknowledgement& acknowledgement);
BlockAcknowledgement ReadBlockAcknowledgement(VarintReader& reader);

// Appends one machine, in the form that a block view contains.
void PutMachineView(std::string& out, const model::MachineView& view);

}  // namespace hallpier::wire
