#pragma once

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <optional>
#include <string>
#include <variant>

namespace cyclamenstair {

/// Order to load or unload an artifact.
struct EngineOrder {
    OrderKind kind { OrderKind::Load };
    std::string artifact;
    std::string baseModel; ///< Base model of an adapter; empty for a model.
    uint64_t memoryBytes { 0 };
    uint64_t epoch { 0 }; ///< Fencing token.
};

/// The engine executed the order.
struct OrderExecuted { };

/// The order was refused and not executed.
struct OrderRefused {
    std::string message;
    bool isSent { true }; ///< False if the connection failed, so that the engine has not received the order.
};

/// It is unknown whether the engine executed the order, for example after a timeout.
struct OrderOutcomeUnknown {
    std::string message;
};

using OrderOutcome = std::variant<OrderExecuted, OrderRefused, OrderOutcomeUnknown>;

/// Client of a model engine that implements the Triton model repository extension. Every request blocks for at most
/// about `timeout` in each of connecting, writing and reading.
class EngineClient {
public:
    /// `address` is "HOST:PORT".
    explicit EngineClient(std::string address);

    /// Sends an order and waits for its outcome.
    OrderOutcome order(const EngineOrder& order, Duration timeout) const;

    /// Requests a report of the loaded artifacts; returns no value if the engine does not send a valid one.
    std::optional<TargetReport> report(Duration timeout) const;

    /// Returns whether the engine reports that it is leaving; no value if it does not send a valid response.
    std::optional<bool> isLeaving(Duration timeout) const;

    /// Raises the engine's fencing token to `epoch`. Returns the token that the engine enforces from now on, 0 if the
    /// engine does not support fencing, or no value if the request failed.
    std::optional<uint64_t> raiseFencingToken(uint64_t epoch, Duration timeout) const;

private:
    std::string m_address;
};

} // namespace cyclamenstair
