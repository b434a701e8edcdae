#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

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

/// Order for an artifact that may still take effect on its target.
struct OpenOrder {
    OrderKind kind { OrderKind::Load };
    std::string sender; ///< Incarnation of the node that sends the order.
    uint64_t epoch { 0 }; ///< Ledger epoch of the order.
    bool isAnswered { false }; ///< The target answered an attempt; earlier attempts may be in transit.
    bool hasLostAttempt { false }; ///< An attempt got no response and may take effect at any time.
    bool isClosed { false }; ///< The sender sends no further attempts.
    std::string closedInstance; ///< First instance reported after the order was closed; empty if none.

    bool operator==(const OpenOrder&) const = default;
};

} // namespace cyclamenstair
