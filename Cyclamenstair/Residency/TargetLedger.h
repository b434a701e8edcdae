#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Result.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// State of an artifact on a target, as far as the ledger knows.
enum class ResidencyState : uint8_t {
    Loading, ///< A load may be on its way.
    Resident,
    Unloading, ///< An unload may be on its way.
};

template <> struct EnumNames<ResidencyState> {
    static constexpr auto table = std::to_array<EnumName<ResidencyState>>({
        { ResidencyState::Loading, "loading" },
        { ResidencyState::Resident, "resident" },
        { ResidencyState::Unloading, "unloading" },
    });
};

/// An artifact (model or adapter) that may occupy memory of a target.
struct ResidencyEntry {
    std::string artifact;
    uint64_t memoryBytes { 0 };
    ResidencyState state { ResidencyState::Loading };
    uint64_t epoch { 0 }; ///< Epoch of the last order for the artifact.
    std::string sender; ///< Node incarnation that sent the last order.
    bool isUnsettled { false }; ///< The order's sender lost ownership before the order's result was recorded.

    bool operator==(const ResidencyEntry&) const = default;
};

/// What a target reports about itself.
struct TargetReport {
    std::string instance; ///< Changes with each start of the target's process.
    uint64_t acknowledgedEpoch { 0 }; ///< Highest epoch that the target enforces; 0 if it ignores fencing.
    std::vector<std::string> artifacts; ///< Resident artifacts.
};

/// Record of everything that may be resident on one target, kept in the store under compare-and-swap.
///
/// The sum of all entries bounds the memory that can be in use, whichever of the recorded orders still take effect. An
/// entry is written before its order is sent and removed only on evidence that the artifact is absent and that no order
/// for it can still take effect. The class does no I/O: each method changes the copy in memory, which the owner then
/// writes.
class TargetLedger {
public:
    TargetLedger() = default;
    explicit TargetLedger(std::string target)
        : m_target(std::move(target))
    {
    }

    /// Rebuilds a ledger from its parts, as read from the store.
    static Result<TargetLedger> create(std::string target, std::string owner, uint64_t epoch, std::string instance,
        std::vector<ResidencyEntry> entries);

    const std::string& target() const { return m_target; }
    const std::string& owner() const { return m_owner; }
    uint64_t epoch() const { return m_epoch; }
    const std::string& instance() const { return m_instance; }
    const std::vector<ResidencyEntry>& entries() const { return m_entries; }

    /// Sum of the memory of all entries, in bytes.
    uint64_t reservedBytes() const;

    /// Returns the entry of the artifact, or null.
    const ResidencyEntry* find(std::string_view artifact) const;

    /// Returns whether the artifact is certainly resident: loaded, and no order that could remove it is on its way.
    bool isReachable(std::string_view artifact) const;

    /// Returns whether any order to the target is unsettled.
    bool hasUnsettledOrder() const;

    /// Makes `owner` the owner at the next epoch. Orders of former owners whose result is not recorded become
    /// unsettled.
    void takeOver(const std::string& owner);

    /// Reserves memory for a load. Fails if the sum of entries would exceed `capacityBytes`.
    Result<ResidencyEntry> beginLoad(const std::string& artifact, uint64_t memoryBytes, uint64_t capacityBytes);

    /// Records that an unload is about to be ordered. Fails if the artifact is not resident or an order for it is
    /// unsettled.
    Result<ResidencyEntry> beginUnload(const std::string& artifact);

    /// Records that the target answered this owner's load order.
    void finishLoad(std::string_view artifact, bool isResident);

    /// Records that the target answered this owner's unload order.
    void finishUnload(std::string_view artifact);

    /// Removes the uncertainty about orders of `sender`, which confirmed that none of its orders to the target is open.
    void settleSender(std::string_view sender, const TargetReport& report);

    /// Compares the ledger with a report received after an order of the present epoch was acknowledged. Returns whether
    /// the ledger changed.
    bool reconcile(const TargetReport& report);

private:
    ResidencyEntry* findMutable(std::string_view artifact);
    void remove(std::string_view artifact);
    /// Sets the unsettled entries that `isSettled` selects to what the report shows, and removes those that are absent.
    void settle(const TargetReport& report, const std::function<bool(const ResidencyEntry&)>& isSettled);

    std::string m_target;
    std::string m_owner;
    uint64_t m_epoch { 0 };
    std::string m_instance;
    std::vector<ResidencyEntry> m_entries;
};

} // namespace cyclamenstair
