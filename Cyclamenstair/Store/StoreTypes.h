#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// A key with its value as read from the store.
struct StoreRecord {
    std::string key;
    std::string value;
    int64_t modRevision { 0 }; ///< Store revision of the last write to the key.
    int64_t leaseId { 0 }; ///< Lease that the key is bound to; 0 for none.
};

/// Condition of a transaction: the key was last written at `modRevision`; 0 means that it does not exist.
struct StoreCompare {
    std::string key;
    int64_t modRevision { 0 };
};

/// Writes a key, bound to a lease if `leaseId` is not 0.
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

/// Mutations that are applied together if all conditions hold.
struct StoreTransaction {
    std::vector<StoreCompare> compares;
    std::vector<StoreMutation> mutations;
};

/// The write took effect at `revision`.
struct StoreApplied {
    int64_t revision { 0 };
};

/// Why a write did not take effect.
enum class StoreRefusal : uint8_t {
    Conflict, ///< A condition did not hold.
    NotSent, ///< The call never reached the store: no connection, or the node's call budget is used up.
    Rejected, ///< The store answered with an error.
};

template <> struct EnumNames<StoreRefusal> {
    static constexpr auto table = std::to_array<EnumName<StoreRefusal>>({
        { StoreRefusal::Conflict, "conflict" },
        { StoreRefusal::NotSent, "not_sent" },
        { StoreRefusal::Rejected, "rejected" },
    });
};

/// The write certainly did not take effect.
struct StoreNotApplied {
    StoreRefusal refusal { StoreRefusal::NotSent };
    std::string message;
};

/// Nobody heard whether the write took effect; only a later read can tell.
struct StoreUnknown {
    std::string message;
};

using StoreWriteOutcome = std::variant<StoreApplied, StoreNotApplied, StoreUnknown>;

/// Records found by a read, and the store revision at which they were read.
struct StoreRange {
    std::vector<StoreRecord> records;
    int64_t revision { 0 };
};

/// A read that gave no answer.
struct StoreUnavailable {
    std::string message;
};

using StoreReadOutcome = std::variant<StoreRange, StoreUnavailable>;

/// A write or a deletion that a watch reports.
struct StoreChange {
    StoreRecord record; ///< Of a deletion only the key and the revision are set.
    bool isDeleted { false };
};

/// Changes after the revision that a watch was started from; empty if there were none in its time.
struct StoreChanges {
    std::vector<StoreChange> changes;
    int64_t revision { 0 }; ///< Revision from which the next watch goes on.
};

/// The store no longer has the history from the revision on; the records must be read in full.
struct StoreHistoryLost { };

using StoreWatchOutcome = std::variant<StoreChanges, StoreHistoryLost, StoreUnavailable>;

/// Kind of a call to the store, as counted in metrics.
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

/// Result of a lease call.
enum class StoreLeaseOutcome : uint8_t {
    Alive,
    Expired, ///< The store does not know the lease (any more).
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
