#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Kind of an order to an engine.
enum class OrderKind : uint8_t {
    Load,
    Unload,
};

template <> struct EnumNames<OrderKind> {
    static constexpr auto table = std::to_array<EnumName<OrderKind>>({
        { OrderKind::Load, "load" },
        { OrderKind::Unload, "unload" },
    });
};

/// An order for an artifact that may still take effect.
struct OpenOrder {
    OrderKind kind { OrderKind::Load };
    std::string sender; ///< Node incarnation that sends the order.
    uint64_t epoch { 0 }; ///< Ledger epoch of the order.
    bool isAnswered { false }; ///< The target answered an attempt of the order; earlier attempts may be on their way.
    bool hasLostAttempt { false }; ///< An attempt got no answer and may take effect at any time.
    bool isClosed { false }; ///< The sender sends no further attempt.
    std::string closedInstance; ///< Instance that was running after the order was closed; empty if not yet seen.

    bool operator==(const OpenOrder&) const = default;
};

} // namespace cyclamenstair
