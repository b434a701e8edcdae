#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Residency/ResidencyEntry.h>

#include <optional>
#include <string_view>

namespace cyclamenstair {

/// State reported by a target.
struct TargetReport {
    std::string instance; ///< Unique for each start of the target's process.
    uint64_t acknowledgedEpoch { 0 }; ///< Highest epoch that the target enforces; 0 if it ignores fencing.
    std::vector<std::string> artifacts; ///< Resident artifacts.
};

/// Record of all artifacts that may be resident on one target. It is stored with compare-and-swap.
///
/// The total size of the entries that may be resident is an upper bound of the memory in use, whichever recorded orders
/// still take effect. An entry is written before its order is sent, and removed only on evidence that the artifact is
/// absent and that no order for it can still take effect. The class does no I/O: each method changes the in-memory
/// copy, which the owner then writes to the store. Not thread-safe.
class TargetLedger {
public:
    TargetLedger() = default;
    explicit TargetLedger(std::string target)
        : m_target(std::move(target))
    {
    }

    /// Rebuilds a ledger from its stored fields. Fails if the target id is empty or an artifact has two entries.
    static Result<TargetLedger> create(std::string target, std::string owner, uint64_t epoch, std::string instance,
        std::vector<ResidencyEntry> entries);

    const std::string& target() const { return m_target; }
    const std::string& owner() const { return m_owner; }
    uint64_t epoch() const { return m_epoch; }
    const std::string& instance() const { return m_instance; }
    const std::vector<ResidencyEntry>& entries() const { return m_entries; }

    /// Returns the total memory of all entries that may be resident, in bytes.
    uint64_t reservedBytes() const;

    /// Returns the artifact's entry, or null.
    const ResidencyEntry* find(std::string_view artifact) const;

    /// Returns true if the artifact and its base model are certainly resident and no open order can remove them.
    bool isReachable(std::string_view artifact) const;

    /// Returns true if an order of a previous owner may still take effect.
    bool hasUnresolvedOrder() const;

    /// Returns true if an order for the artifact that the current owner cannot retry may still take effect.
    bool hasUnresolvedOrderFor(std::string_view artifact) const;

    /// Returns true if the last report showed that the target does not enforce the current epoch.
    bool ignoresFencing() const { return m_ignoresFencing; }

    /// Returns the entry with the current owner's first unanswered order, or null.
    const ResidencyEntry* unansweredEntry() const;

    /// Returns the current owner's unanswered order for the artifact, or null.
    const OpenOrder* unansweredOrder(std::string_view artifact) const;

    /// Returns the senders of the previous owners' orders that may still take effect.
    std::vector<std::string> unresolvedSenders() const;

    /// Makes `owner` the owner and increments the epoch. All open orders stay recorded with their senders.
    void takeOver(const std::string& owner);

    /// Releases ownership; returns the epoch. Fails if an order of the owner may still take effect.
    Result<uint64_t> release();

    /// Reserves memory and records a load order, or prepares the unanswered load order for a retry. Fails if the
    /// reserved memory would exceed `capacityBytes`, if another order must be answered first, if the base model is not
    /// reachable, or while the target holds a foreign artifact.
    Result<ResidencyEntry> beginLoad(
        const std::string& artifact, uint64_t memoryBytes, uint64_t capacityBytes, const std::string& baseModel = "");

    /// Records an unload order, or prepares the unanswered unload order for a retry. Fails if the artifact is not
    /// resident, if any other order for it may still take effect, if another order must be answered first, or while an
    /// adapter of the model may be resident.
    Result<ResidencyEntry> beginUnload(const std::string& artifact);

    /// Records the target's response to this owner's load order.
    void finishLoad(std::string_view artifact, bool isSuccess);

    /// Records the target's response to this owner's unload order.
    void finishUnload(std::string_view artifact, bool isSuccess = true);

    /// Records that an attempt of this owner's order got no response. The order stays open.
    void recordLostResponse(std::string_view artifact);

    /// Resolves the orders of the previous owner's incarnation `sender`. It must have confirmed that it sends no
    /// further orders and that all of them were answered or never sent, except those for the artifacts in `unanswered`.
    /// The report must have been read after that confirmation.
    void resolveOrdersFrom(std::string_view sender, const TargetReport& report, uint64_t capacityBytes = 0,
        const std::vector<std::string>& unanswered = {});

    /// Records that the VM of `sender` no longer exists, so that it sends no further orders. Orders in transit can take
    /// effect until the target's next restart.
    void closeOrdersFrom(std::string_view sender);

    /// Updates the ledger from a report, which must have been read while no attempt of this owner was in progress. An
    /// artifact without a recorded order gets an entry of `capacityBytes`, because its size is unknown. Returns true if
    /// the ledger changed.
    bool reconcile(const TargetReport& report, uint64_t capacityBytes = 0);

private:
    ResidencyEntry* findMutable(std::string_view artifact);
    Result<ResidencyEntry> makeError(ErrorKind kind, const std::string& message) const;
    /// Reopens this owner's unanswered order for another attempt. Returns no value if a new order may be recorded, and
    /// an error if another order must be answered first.
    std::optional<Result<ResidencyEntry>> retryUnansweredOrder(const std::string& artifact, OrderKind kind);
    void finishOrder(std::string_view artifact, OrderKind kind, bool isSuccess);
    /// Returns true if the report shows that the order can no longer take effect. For a closed order, records the
    /// running instance.
    bool canNoLongerTakeEffect(OpenOrder& order, const TargetReport& report) const;

    std::string m_target;
    std::string m_owner;
    uint64_t m_epoch { 0 };
    std::string m_instance;
    std::vector<ResidencyEntry> m_entries;
    bool m_ignoresFencing { false }; ///< Result of the last report; not stored.
};

} // namespace cyclamenstair
