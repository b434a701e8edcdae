#pragma once

#include <Cyclamenstair/Residency/TargetLedger.h>
#include <Cyclamenstair/Store/StoreClient.h>
#include <Cyclamenstair/Transport/EngineClient.h>
#include <Cyclamenstair/Transport/VmListClient.h>

namespace cyclamenstair {

/// An artifact to load, with what the order needs.
struct LoadRequest {
    std::string artifact;
    std::string baseModel; ///< Empty for a model.
    uint64_t memoryBytes { 0 };
};

/// Owner of one engine: keeps its ledger in the store and gives it orders. Used by one thread at a time.
class TargetOperator {
public:
    /// `sender` is the incarnation of this node, under which its orders are recorded.
    TargetOperator(StoreClient& store, VmInfo vm, std::string sender, Duration orderTimeout);

    /// Takes ownership if needed and reconciles the ledger with the engine's report. Returns whether orders may be
    /// given.
    bool prepare();

    /// Loads the artifact: reserve in the ledger, order, record the result. Returns whether it is resident.
    bool load(const LoadRequest& request);

    /// Unloads the artifact. Returns whether it is gone.
    bool unload(const std::string& artifact);

    const TargetLedger& ledger() const { return m_ledger; }
    const VmInfo& vm() const { return m_vm; }
    void setVm(const VmInfo& vm) { m_vm = vm; }

private:
    bool readLedger();
    bool takeOwnership();
    bool writeLedger(const TargetLedger& changed);

    StoreClient* m_store;
    VmInfo m_vm;
    std::string m_sender;
    Duration m_orderTimeout;
    EngineClient m_engine;
    TargetLedger m_ledger;
    int64_t m_storeRevision { 0 };
    bool m_isOwner { false };
    bool m_hasAcknowledgedEpoch { false };
};

} // namespace cyclamenstair
