#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/RequestFlow/RequestAction.h>
#include <Cyclamenstair/RequestFlow/RequestEvent.h>

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenstair {

/// What a node tells another one about a request that it passes on through it.
struct RelayRequest {
    std::string node; ///< Id of the sender.
    int64_t catalogVersion { 0 }; ///< Of the sender's active catalog.
    uint32_t maxAttempts { 1 }; ///< Targets to which the receiver may send the request.
    std::optional<std::string> softwareVersion {}; ///< Version at which the stream must go on.
    /// Name of the caller's team, empty for callers without a key. No value if the catalog has no teams.
    std::optional<std::string> team {};
    std::optional<uint32_t> teamPriority {};

    bool operator==(const RelayRequest&) const = default;
};

/// A target's response follows.
struct RelayedTargetAnswer {
    std::string softwareVersion; ///< Of the target.

    bool operator==(const RelayedTargetAnswer&) const = default;
};

/// What the receiver of a relayed request states beside its response.
using RelayResponse = std::variant<RelayedTargetAnswer, RelayRefusal>;

/// Header fields that carry these messages between nodes, as base64 of FlatBuffers tables.
inline constexpr std::string_view relayRequestField = "Cyclamenstair-Relay-Request";
inline constexpr std::string_view relayResponseField = "Cyclamenstair-Relay-Response";

/// Returns the value of the header field.
std::string encodeRelayRequest(const RelayRequest& request);
std::string encodeRelayResponse(const RelayResponse& response);

/// Decodes the value of the header field; returns an error if it is malformed.
Result<RelayRequest> decodeRelayRequest(std::string_view value);
Result<RelayResponse> decodeRelayResponse(std::string_view value);

} // namespace cyclamenstair
