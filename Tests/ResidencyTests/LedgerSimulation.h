#pragma once

#include <Cyclamenstair/Residency/OrderTracker.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace cyclamenstair::testing {

/// Ledger rule that a run omits on purpose, so that a test can show that the checker detects the violation.
enum class OmittedRule : uint8_t {
    None,
    KeepUnansweredLoads, ///< If omitted, the new owner drops open load orders and their reserved memory.
    KeepUnansweredUnloads, ///< If omitted, the new owner drops open unload orders.
};

/// Simulates one engine, one stored ledger and several owners whose steps and messages interleave arbitrarily.
///
/// An engine that enforces fencing keeps its highest epoch across restarts. A restart closes all its connections.
class LedgerSimulation {
public:
    static constexpr uint64_t capacityBytes = 100;

    LedgerSimulation(bool enforcesFencing, OmittedRule omittedRule);

    /// Executes the step that `encodedStep` encodes. A step that is currently not possible does nothing.
    void executeStep(uint32_t encodedStep);

    /// Returns a description of the invariant that is currently violated, or an empty string.
    std::string findViolation() const;

    /// Returns the number of attempts that took effect after their sender had lost ownership.
    size_t lateEffectCount() const { return m_lateEffectCount; }
    size_t finishedLoadCount() const { return m_finishedLoadCount; }

private:
    struct Artifact {
        std::string name;
        std::string baseModel;
        uint64_t memoryBytes;
    };
    struct Attempt {
        uint64_t id;
        OrderKind kind;
        std::string artifact;
        uint64_t memoryBytes;
        uint64_t epoch;
        uint64_t instance; ///< Engine instance that the attempt is sent to.
        bool isDelivered;
        bool hasTakenEffect;
    };
    struct Owner {
        std::string incarnation;
        bool isOwner { false };
        TargetLedger ledger;
        uint64_t revision { 0 };
        std::optional<Attempt> recordedAttempt; ///< Written to the ledger but not sent yet.
        std::optional<uint64_t> awaitedAttemptId; ///< Attempt that has no response yet.
        std::optional<TargetReport> report; ///< Read but not applied yet.
        std::unique_ptr<OrderTracker> orderTracker { std::make_unique<OrderTracker>() };

        bool isIdleOwner() const { return isOwner && !recordedAttempt && !awaitedAttemptId; }
    };

    void takeOver(Owner& owner, bool isResponseLost);
    void readReport(Owner& owner);
    void applyReport(Owner& owner);
    void recordLoad(Owner& owner, const Artifact& artifact, bool isResponseLost);
    void recordUnload(Owner& owner, const std::string& artifact, bool isResponseLost);
    void send(Owner& owner);
    void deliverAttempt(size_t index);
    void receiveResponse(Owner& owner);
    void timeOutAttempt(Owner& owner);
    void restartEngine();
    void queryPreviousOwner(Owner& owner, Owner& previousOwner);
    void restartOwner(Owner& owner, bool isVmRemoved);
    TargetReport currentReport() const;
    Attempt* findAttempt(uint64_t id);
    bool writeRecord(Owner& owner, const TargetLedger& ledger, bool isResponseLost = false);

    bool m_enforcesFencing;
    OmittedRule m_omittedRule;
    TargetLedger m_storedLedger { "t" };
    uint64_t m_revision { 0 };
    std::array<Owner, 3> m_owners;
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_sendersOnRemovedVms;
    std::map<std::string, uint64_t> m_resident;
    uint64_t m_engineEpoch { 0 };
    uint64_t m_engineInstance { 1 };
    uint64_t m_nextId { 1 };
    size_t m_lateEffectCount { 0 };
    size_t m_finishedLoadCount { 0 };
};

} // namespace cyclamenstair::testing
