#pragma once

#include <Cyclamenstair/Core/Result.h>

#include <string>
#include <string_view>

namespace cyclamenstair {

/// A node as registered in the store, from which other nodes learn how to reach it.
struct PeerNode {
    std::string address; ///< Peer address as IP:PORT.
    std::string failureDomain;
    double cpuShare { 1 }; ///< Part of a processor core that the node may use.
    std::string relayAddress {}; ///< IP:PORT for relayed requests; empty if the node accepts none.

    bool operator==(const PeerNode&) const = default;
};

/// Returns the value of the node's entry as a FlatBuffers NodeEntry.
std::string encodeNodeEntry(const PeerNode& node);

/// Decodes a NodeEntry; returns an error that names `nodeId` if `bytes` are malformed.
Result<PeerNode> decodeNodeEntry(std::string_view bytes, const std::string& nodeId);

} // namespace cyclamenstair
