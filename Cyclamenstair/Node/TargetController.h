#pragma once

#include <Cyclamenstair/Node/SenderStatusResolver.h>
#include <Cyclamenstair/Placement/PlacementTypes.h>
#include <Cyclamenstair/Store/StoreClient.h>
#include <Cyclamenstair/Transport/EngineClient.h>

namespace cyclamenstair {

/// Owns one engine: maintains its ledger in the store and sends it orders. Not thread-safe.
class TargetController {
public:
    TargetController(StoreClient& store, const SenderStatusResolver& senderStatus, VmInfo vm, Duration orderTimeout);

    /// Acquires ownership if needed, reconciles the ledger with the engine's report and resolves open orders of
    /// previous owners. Returns whether orders may be sent.
    bool reconcile();

    /// Records the order in the ledger, sends it, and records the result. Returns whether the engine executed it and
    /// the result was recorded.
    bool execute(const PlacementOrder& order);

    /// Releases ownership in the ledger if no order is open; otherwise the next owner has to take over. Sends no
    /// further order until ownership is acquired again.
    void releaseOwnership();

    bool isOwner() const { return m_isOwner; }
    const TargetLedger& ledger() const { return m_ledger; }

private:
    bool readLedger();
    bool acquireOwnership();
    bool writeLedger(const TargetLedger& ledger);

    /// Reads the engine's report once the engine, if it supports fencing, has acknowledged the current epoch.
    std::optional<TargetReport> readReport();

    /// Resolves open orders of previous owners whose status can be determined. Replaces `report` if it was read again.
    bool resolvePreviousOrders(TargetLedger& ledger, TargetReport& report);
    Result<ResidencyEntry> beginOrder(TargetLedger& ledger, const PlacementOrder& order) const;

    StoreClient* m_store;
    const SenderStatusResolver* m_senderStatus;
    VmInfo m_vm;
    Duration m_orderTimeout;
    EngineClient m_engine;
    TargetLedger m_ledger;
    int64_t m_storeRevision { 0 };
    bool m_isOwner { false };
    TimePoint m_nextAcquisitionAt; ///< Earliest time of the next attempt to acquire ownership.
    TimePoint m_nextSenderQueryAt; ///< Earliest time of the next query to previous owners.
    std::string m_unfencedInstance; ///< Engine instance that does not support fencing; empty if none.
};

} // namespace cyclamenstair
