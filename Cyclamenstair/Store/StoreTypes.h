#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// A key and its value, as read from the store.
struct StoreRecord {
    std::string key;
    std::string value;
    int64_t modRevision { 0 }; ///< Store revision of the last write to the key.
    int64_t leaseId { 0 }; ///< Lease that the key is bound to; 0 if there is none.
};

/// Condition of a transaction: the key was last written at `modRevision`, or does not exist if that is 0.
struct StoreCompare {
    std::string key;
    int64_t modRevision { 0 };
};

/// Writes a key; binds it to the lease if `leaseId` is not 0.
struct StorePut {
    std::string key;
    std::string value;
    int64_t leaseId { 0 };
};

/// Deletes a key.
struct StoreDelete {
    std::string key;
};

using StoreMutation = std::variant<StorePut, StoreDelete>;

/// Mutations that are applied atomically if all conditions hold.
struct StoreTransaction {
    std::vector<StoreCompare> compares;
    std::vector<StoreMutation> mutations;
};

/// The transaction took effect at `revision`.
struct StoreApplied {
    int64_t revision { 0 };
};

/// Reason why a transaction did not take effect.
enum class StoreRefusal : uint8_t {
    Conflict, ///< A condition did not hold.
    NotSent, ///< The call did not reach the store: no connection, or the node's call budget is exhausted.
    Rejected, ///< The store responded with an error.
};

template <> struct EnumNames<StoreRefusal> {
    static constexpr auto table = std::to_array<EnumName<StoreRefusal>>({
        { StoreRefusal::Conflict, "conflict" },
        { StoreRefusal::NotSent, "not_sent" },
        { StoreRefusal::Rejected, "rejected" },
    });
};

/// The transaction certainly did not take effect.
struct StoreNotApplied {
    StoreRefusal refusal { StoreRefusal::NotSent };
    std::string message;
};

/// Whether the transaction took effect is unknown, because the store's response is missing.
struct StoreOutcomeUnknown {
    std::string message;
};

using StoreWriteOutcome = std::variant<StoreApplied, StoreNotApplied, StoreOutcomeUnknown>;

/// Records that match a read, and the store revision at which they were read.
struct StoreRange {
    std::vector<StoreRecord> records;
    int64_t revision { 0 };
};

/// One page of the records below a prefix.
struct StorePage {
    StoreRange range;
    bool hasMore { false };
    std::string lastKey; ///< Of the last item, also if its record could not be decoded; empty if there is none.
};

/// The call failed: no connection, no valid response, or the node's call budget is exhausted.
struct StoreUnavailable {
    std::string message;
};

using StoreReadOutcome = std::variant<StoreRange, StoreUnavailable>;
using StorePageOutcome = std::variant<StorePage, StoreUnavailable>;

/// Write or deletion reported by a watch.
struct StoreChange {
    StoreRecord record; ///< For a deletion, only the key and the revision are set.
    bool isDeleted { false };
};

/// Changes after the start revision of a watch; empty if there were none before its timeout.
struct StoreChanges {
    std::vector<StoreChange> changes;
    int64_t revision { 0 }; ///< Start revision for the next watch.
};

/// The store has compacted the history after the start revision; the client must read all records again.
struct StoreHistoryLost { };

using StoreWatchOutcome = std::variant<StoreChanges, StoreHistoryLost, StoreUnavailable>;

/// Kind of store call, a label in metrics.
enum class StoreCallKind : uint8_t {
    Range,
    Transaction,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
};

template <> struct EnumNames<StoreCallKind> {
    static constexpr auto table = std::to_array<EnumName<StoreCallKind>>({
        { StoreCallKind::Range, "range" },
        { StoreCallKind::Transaction, "transaction" },
        { StoreCallKind::LeaseGrant, "lease_grant" },
        { StoreCallKind::LeaseKeepAlive, "lease_keep_alive" },
        { StoreCallKind::LeaseRevoke, "lease_revoke" },
        { StoreCallKind::Watch, "watch" },
    });
};

/// Outcome of a call that renews or revokes a lease.
enum class StoreLeaseOutcome : uint8_t {
    Alive, ///< The call succeeded.
    Expired, ///< The lease does not exist in the store, or no longer.
    Unavailable,
};

template <> struct EnumNames<StoreLeaseOutcome> {
    static constexpr auto table = std::to_array<EnumName<StoreLeaseOutcome>>({
        { StoreLeaseOutcome::Alive, "alive" },
        { StoreLeaseOutcome::Expired, "expired" },
        { StoreLeaseOutcome::Unavailable, "unavailable" },
    });
};

} // namespace cyclamenstair
