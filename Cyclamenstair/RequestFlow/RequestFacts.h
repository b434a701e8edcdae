#pragma once

#include <Cyclamenstair/Catalog/Route.h>

#include <optional>

namespace cyclamenstair {

/// What decisions need to know of a request.
struct RequestFacts {
    std::string id; ///< The caller's id of this try.
    Route route;
    std::string service; ///< Chosen by the route's shares.
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the model itself.
    Duration modelLoadTime { 0 }; ///< Of a load from the weight store; 0 for plain services.
    uint32_t promptTokens { 0 }; ///< As the caller states them; 0 if it does not.
    TimePoint receivedAt;
    std::optional<Duration> callerPatience; ///< Time that the caller waits, counted from the receipt.

    /// Returns when the request must have its final answer.
    TimePoint deadline() const;
};

} // namespace cyclamenstair
