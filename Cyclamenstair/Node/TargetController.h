#pragma once

#include <Cyclamenstair/Node/SenderStatusResolver.h>
#include <Cyclamenstair/Placement/PlacementTypes.h>
#include <Cyclamenstair/Store/StoreClient.h>
#include <Cyclamenstair/Transport/EngineClient.h>

namespace cyclamenstair {

/// Owner of one engine: keeps its ledger in the store and gives it orders. Used by one thread at a time.
class TargetController {
public:
    TargetController(StoreClient& store, const SenderStatusResolver& evidence, VmInfo vm, Duration orderTimeout);

    /// Takes ownership if needed, reconciles the ledger with the engine's report and settles orders of former owners.
    /// Returns whether orders may be given.
    bool prepare();

    /// Gives an order: records it in the ledger, sends it, and records the result. Returns whether it was carried out.
    bool carryOut(const PlacementOrder& order);

    /// Gives ownership back if no order is open; otherwise the next owner takes over. No order is given afterwards
    /// without a new takeover.
    void release();

    bool isOwner() const { return m_isOwner; }
    const TargetLedger& ledger() const { return m_ledger; }

private:
    bool readLedger();
    bool takeOwnership();
    bool writeLedger(const TargetLedger& changed);

    /// Reads the engine's report after the engine acknowledged the present epoch, if it knows epochs.
    std::optional<TargetReport> readReport();

    /// Settles orders of former owners as far as there is evidence; `report` is read again where needed.
    bool settleFormerOwners(TargetLedger& changed, TargetReport& report);
    Result<ResidencyEntry> begin(TargetLedger& ledger, const PlacementOrder& order) const;

    StoreClient* m_store;
    const SenderStatusResolver* m_evidence;
    VmInfo m_vm;
    Duration m_orderTimeout;
    EngineClient m_engine;
    TargetLedger m_ledger;
    int64_t m_storeRevision { 0 };
    bool m_isOwner { false };
    TimePoint m_nextTakeover; ///< Earliest time of the next takeover.
    TimePoint m_nextQuery; ///< Earliest time of the next question to former owners.
    std::string m_unfencedInstance; ///< Instance of the engine that does not know epochs.
};

} // namespace cyclamenstair
