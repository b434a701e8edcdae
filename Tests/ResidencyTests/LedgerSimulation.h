#pragma once

#include <Cyclamenstair/Residency/OrderBook.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace cyclamenstair::testing {

/// Rules of the ledger that a run leaves out on purpose, so that a test can show that the checker notices.
enum class BrokenRule : uint8_t {
    None,
    TakeoverFreesMemory, ///< The new owner drops the entries of loads that have no answer.
    TakeoverTrustsState, ///< The new owner forgets unload orders that have no answer.
};

/// One engine, one store record and several owners, whose steps and messages interleave in any order.
///
/// The engine keeps the highest epoch over a restart if it honours fencing; a restart ends all its connections.
class LedgerSimulation {
public:
    static constexpr uint64_t capacityBytes = 100;

    LedgerSimulation(bool isFenced, BrokenRule brokenRule);

    /// Carries out the step that `choice` encodes; a step that is not possible now does nothing.
    void step(uint32_t choice);

    /// Returns what is wrong at this instant, or an empty string.
    std::string violation() const;

    /// Attempts that took effect after their sender had lost ownership.
    size_t lateEffects() const { return m_lateEffects; }
    size_t finishedLoads() const { return m_finishedLoads; }

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
        uint64_t instance; ///< Instance that the connection leads to.
        bool isDelivered;
        bool isDone;
    };
    struct Owner {
        std::string incarnation;
        bool isOwner { false };
        TargetLedger ledger;
        uint64_t revision { 0 };
        std::optional<Attempt> recorded; ///< Written to the ledger, not sent yet.
        std::optional<uint64_t> awaited; ///< Attempt whose answer is awaited.
        std::optional<TargetReport> report; ///< Read and not applied yet.
        std::unique_ptr<OrderBook> book { std::make_unique<OrderBook>() };

        bool isIdle() const { return isOwner && !recorded && !awaited; }
    };

    void takeOver(Owner& owner, bool isAnswerLost);
    void readReport(Owner& owner);
    void applyReport(Owner& owner);
    void recordLoad(Owner& owner, const Artifact& artifact, bool isAnswerLost);
    void recordUnload(Owner& owner, const std::string& artifact, bool isAnswerLost);
    void send(Owner& owner);
    void deliver(size_t index);
    void receiveAnswer(Owner& owner);
    void timeOut(Owner& owner);
    void restartEngine();
    void queryFormerOwner(Owner& owner, Owner& former);
    void replaceOwner(Owner& owner, bool isVmGone);
    TargetReport reportNow() const;
    Attempt* findAttempt(uint64_t id);
    bool write(Owner& owner, const TargetLedger& ledger, bool isAnswerLost = false);

    bool m_isFenced;
    BrokenRule m_brokenRule;
    TargetLedger m_stored { "t" };
    uint64_t m_revision { 0 };
    std::array<Owner, 3> m_owners;
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_goneSenders;
    std::map<std::string, uint64_t> m_resident;
    uint64_t m_engineEpoch { 0 };
    uint64_t m_instance { 1 };
    uint64_t m_nextId { 1 };
    size_t m_lateEffects { 0 };
    size_t m_finishedLoads { 0 };
};

} // namespace cyclamenstair::testing
