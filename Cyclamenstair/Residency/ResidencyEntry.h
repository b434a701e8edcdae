#pragma once

#include <Cyclamenstair/Residency/OpenOrder.h>

#include <vector>

namespace cyclamenstair {

/// Last certain knowledge about an artifact on a target; open orders may have changed it since.
enum class ResidencyState : uint8_t {
    Absent,
    Resident,
};

template <> struct EnumNames<ResidencyState> {
    static constexpr auto table = std::to_array<EnumName<ResidencyState>>({
        { ResidencyState::Absent, "absent" },
        { ResidencyState::Resident, "resident" },
    });
};

/// An artifact (model or adapter) that may occupy memory of a target, or for which an order is open.
struct ResidencyEntry {
    std::string artifact;
    std::string baseModel; ///< Base model of an adapter; empty for a model.
    uint64_t memoryBytes { 0 };
    ResidencyState state { ResidencyState::Absent };
    bool isForeign { false }; ///< The target reported the artifact although no order for it is recorded.
    std::vector<OpenOrder> orders; ///< Orders that may still take effect, oldest first.

    bool operator==(const ResidencyEntry&) const = default;

    bool hasOrder(OrderKind kind) const;

    /// Returns whether the artifact can occupy memory now or later without a further order.
    bool mayBeResident() const { return state == ResidencyState::Resident || hasOrder(OrderKind::Load); }

    /// Returns whether the artifact is certainly resident and no open order can remove it.
    bool mustBeResident() const
    {
        return state == ResidencyState::Resident && !isForeign && !hasOrder(OrderKind::Unload);
    }
};

} // namespace cyclamenstair
