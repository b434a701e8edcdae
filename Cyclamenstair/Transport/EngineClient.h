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
    uint64_t epoch { 0 }; ///< Fencing number.
};

/// The engine carried out the order.
struct OrderDone { };

/// The engine refused the order and did not carry it out.
struct OrderRefused {
    std::string message;
    bool isSent { true }; ///< False if no connection was made, so that the engine knows nothing of this attempt.
};

/// Nobody heard whether the engine carried out the order.
struct OrderUnknown {
    std::string message;
};

using OrderOutcome = std::variant<OrderDone, OrderRefused, OrderUnknown>;

/// Gives orders to a model engine and reads its report, by the Triton model repository extension.
class EngineClient {
public:
    /// `address` is "HOST:PORT".
    explicit EngineClient(std::string address);

    OrderOutcome order(const EngineOrder& order, Duration limit) const;

    /// Returns the engine's report, or no value if it does not answer.
    std::optional<TargetReport> report(Duration limit) const;

    /// Returns whether the engine says that it is leaving, or no value if it does not answer.
    std::optional<bool> isLeaving(Duration limit) const;

    /// Raises the engine's fencing number to `epoch`. Returns the number that it enforces from now on; 0 if it ignores
    /// fencing.
    std::optional<uint64_t> acknowledgeEpoch(uint64_t epoch, Duration limit) const;

private:
    std::string m_address;
};

} // namespace cyclamenstair
