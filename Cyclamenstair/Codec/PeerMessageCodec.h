#pragma once

#include <Cyclamenstair/Codec/PeerMessages.h>

namespace cyclamenstair {

/// Returns the message as a FlatBuffers Envelope.
std::string encodePeerMessage(const PeerMessage& message);

/// Decodes an Envelope; throws Exception if `bytes` are malformed or the message type is unknown.
PeerMessage decodePeerMessage(std::string_view bytes);

} // namespace cyclamenstair
