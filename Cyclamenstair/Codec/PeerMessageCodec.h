#pragma once

#include <Cyclamenstair/Codec/PeerMessages.h>

namespace cyclamenstair {

/// Returns the message as a FlatBuffers Envelope.
std::string encodePeerMessage(const PeerMessage& message);

/// Returns the message in `bytes`; throws Exception if the buffer is malformed.
PeerMessage decodePeerMessage(std::string_view bytes);

} // namespace cyclamenstair
