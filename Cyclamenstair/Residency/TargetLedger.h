#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Residency/ResidencyEntry.h>

#include <optional>
#include <string_view>

namespace cyclamenstair {

/// What a target reports about itself.
struct TargetReport {
    std::string instance; ///< Changes with each start of the target's process.
    uint64_t acknowledgedEpoch { 0 }; ///< Highest epoch that the target enforces; 0 if it ignores fencing.
    std::vector<std::string> artifacts; ///< Resident artifacts.
};

/// Record of everything that may be resident on one target, kept in the store under compare-and-swap.
///
/// The sum of all entries that may be resident bounds the memory that can be in use, whichever of the recorded orders
/// still take effect. An entry is written before its order is sent and removed only on evidence that the artifact is
/// absent and that no order for it can still take effect. The class does no I/O: each method changes the copy in
/// memory, which the owner then writes.
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

    /// Sum of the memory of all entries that may be resident, in bytes.
    uint64_t reservedBytes() const;

    /// Returns the entry of the artifact, or null.
    const ResidencyEntry* find(std::string_view artifact) const;

    /// Returns whether the artifact is certainly resident, with its base model, and no open order can remove it.
    bool isReachable(std::string_view artifact) const;

    /// Returns whether an order of a former owner may still take effect.
    bool hasUnsettledOrder() const;

    /// Returns whether an order for the artifact may still take effect that is not the present owner's to repeat.
    bool isUnsettled(std::string_view artifact) const;

    /// Returns whether the last report showed that the target does not enforce the present epoch.
    bool ignoresFencing() const { return m_ignoresFencing; }

    /// Returns the entry of the present owner's first order that has no answer yet, or null.
    const ResidencyEntry* unansweredEntry() const;

    /// Returns the present owner's order for the artifact that has no answer yet, or null.
    const OpenOrder* unansweredOrder(std::string_view artifact) const;

    /// Returns the senders of former owners' orders that may still take effect.
    std::vector<std::string> unsettledSenders() const;

    /// Makes `owner` the owner at the next epoch. All open orders stay recorded under their senders.
    void takeOver(const std::string& owner);

    /// Gives ownership back. Fails if an order of the owner may still take effect.
    Result<uint64_t> release();

    /// Reserves memory and records a load order, or its repetition. Fails if the sum of entries would exceed
    /// `capacityBytes`, if another order must be answered first, if the base model is not reachable, or while the
    /// target holds an artifact that is not accounted for.
    Result<ResidencyEntry> beginLoad(
        const std::string& artifact, uint64_t memoryBytes, uint64_t capacityBytes, const std::string& baseModel = "");

    /// Records an unload order, or its repetition. Fails if the artifact is not resident, if any other order for it may
    /// still take effect, if another order must be
    /// answered first, or while an adapter of the model may be resident.
    Result<ResidencyEntry> beginUnload(const std::string& artifact);

    /// Records that the target answered this owner's load order.
    void finishLoad(std::string_view artifact, bool isDone);

    /// Records that the target answered this owner's unload order.
    void finishUnload(std::string_view artifact, bool isDone = true);

    /// Records that an attempt of this owner's order got no answer. The order stays open.
    void loseAnswer(std::string_view artifact);

    /// Settles orders of a former owner's incarnation `sender`, which confirmed that it sends no further orders and
    /// that all were answered or never sent, except for those to the artifacts in `unanswered`. The report must have
    /// been read after that confirmation.
    void settleSender(std::string_view sender, const TargetReport& report, uint64_t capacityBytes = 0,
        const std::vector<std::string>& unanswered = {});

    /// Records that the VM of `sender` is gone, so that it sends no further orders. A later restart of the target ends
    /// those on their way.
    void closeSender(std::string_view sender);

    /// Compares the ledger with a report. It must have been read while no attempt of this owner was in progress. An
    /// artifact that no order accounts for gets an entry of `capacityBytes`, because its size is not known. Returns
    /// whether the ledger changed.
    bool reconcile(const TargetReport& report, uint64_t capacityBytes = 0);

private:
    ResidencyEntry* findMutable(std::string_view artifact);
    Result<ResidencyEntry> refuse(ErrorKind kind, const std::string& message) const;
    /// Opens this owner's order without an answer for another attempt. Returns no value if a new order may be given,
    /// and an error if another order must be answered first.
    std::optional<Result<ResidencyEntry>> repeatOrder(const std::string& artifact, OrderKind kind);
    void finish(std::string_view artifact, OrderKind kind, bool isDone);
    /// Returns whether a report from a target shows that the order can no longer take effect, and notes the instance
    /// that runs after the order was closed.
    bool isEnded(OpenOrder& order, const TargetReport& report) const;

    std::string m_target;
    std::string m_owner;
    uint64_t m_epoch { 0 };
    std::string m_instance;
    std::vector<ResidencyEntry> m_entries;
    bool m_ignoresFencing { false }; ///< As shown by the last report; not part of the record.
};

} // namespace cyclamenstair
