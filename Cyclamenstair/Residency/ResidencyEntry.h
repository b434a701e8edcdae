#pragma once

#include <Cyclamenstair/Residency/OpenOrder.h>

#include <vector>

namespace cyclamenstair {

/// Last confirmed state of an artifact on a target. Open orders may have changed it since.
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

/// Artifact (model or adapter) that may use memory of a target or has an open order.
struct ResidencyEntry {
    std::string artifact;
    std::string baseModel; ///< Base model of an adapter; empty for a model.
    uint64_t memoryBytes { 0 };
    ResidencyState state { ResidencyState::Absent };
    bool isForeign { false }; ///< The target reported the artifact, but no order for it is recorded.
    std::vector<OpenOrder> orders; ///< Orders that may still take effect, oldest first.

    bool operator==(const ResidencyEntry&) const = default;

    bool hasOrder(OrderKind kind) const;

    /// Returns true if the artifact can use memory now, or later without a further order.
    bool mayBeResident() const { return state == ResidencyState::Resident || hasOrder(OrderKind::Load); }

    /// Returns true if the artifact is resident and no open order can remove it.
    bool isCertainlyResident() const
    {
        return state == ResidencyState::Resident && !isForeign && !hasOrder(OrderKind::Unload);
    }
};

} // namespace cyclamenstair
