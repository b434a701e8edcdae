#pragma once

#include <Benchmarks/Soak/SoakFault.h>
#include <Benchmarks/Soak/SoakNode.h>
#include <Benchmarks/Soak/SoakRule.h>
#include <Benchmarks/Soak/StoreFiller.h>

#include <StandIns/LinkStandIn.h>
#include <StandIns/RegisteredTargetStandIn.h>
#include <StandIns/RegistryStoreStandIn.h>

#include <map>

namespace cyclamenstair {

/// Runs nodes as processes before stand-ins in this process, sends requests, injects the faults of a seed, and checks
/// the rules.
class SoakRun {
public:
    /// `folder` receives settings and logs of the nodes.
    SoakRun(const SoakSettings& settings, const std::string& folder);
    ~SoakRun();
    SoakRun(const SoakRun&) = delete;
    SoakRun& operator=(const SoakRun&) = delete;

    /// Blocks until the soak is over.
    void run();

    /// Returns the descriptions of all findings by rule.
    std::map<SoakRule, std::vector<std::string>> findings();
    /// Returns the number of orders that engines accepted.
    size_t orderCount();
    /// Returns the number of requests by status; 0 is a request without an answer.
    std::map<uint32_t, size_t> requestCounts();
    /// Returns the largest resident memory of a node's process.
    uint64_t maxResidentBytes();
    /// Returns the number of ends of processes by verdict.
    const std::map<SoakVerdict, size_t>& endCounts() const { return m_endCounts; }

private:
    static constexpr size_t targetsPerService = 3;
    static constexpr auto settleTime = milliseconds(3000); ///< After which a disturbed process counts as calm.

    /// First tries and how many of them were served.
    struct FirstTries {
        size_t count { 0 };
        size_t served { 0 };
    };

    void writeCatalog();
    void writeTargets();
    void returnStoreFromCopy();
    /// Cuts nodes off from the targets, and ends the cut after its duration unless another one lasts longer.
    void cutTargets(const SoakFault& fault);
    void setLinks(size_t node, LinkMode mode);
    /// Returns where to count a first try that is sent now, or null if no node has been cut off for long enough, or
    /// this one for a shorter time.
    FirstTries* selectFirstTries(size_t node, TimePoint now);
    /// Counts a first try, unless faults of other kinds kept the node, or all those with links, from serving it.
    void countFirstTry(FirstTries& tries, size_t node, TimePoint sentAt, bool isServed);
    /// Compares the first tries at nodes that were cut off with those at the others.
    void checkFirstTries();
    void inject(const SoakFault& fault);
    /// Schedules the signals and the writing of the settings.
    void scheduleStress(const SoakFault& fault);
    /// Ends the faults whose time has passed, restarts ended processes, and checks how they ended.
    void tick();
    void checkEnd(const SoakNode& node, const SoakEnd& end);
    /// Checks the memory of the processes and the range calls at the store.
    void checkLoad();
    /// Returns the ids and the entries of all targets.
    std::vector<std::pair<std::string, std::string>> targetEntries();
    /// Returns a bound of the records below a prefix that are not those of another writer.
    size_t maxOwnRecords() const;
    /// Runs the traffic and the faults.
    void runTraffic();
    /// Tells all nodes to end while callers use their connections, and waits until they have ended.
    void stopNodes();
    void sendRequests(size_t caller);
    std::string requestBody(const std::string& id) const { return id + std::string(m_settings.bodyBytes, 'x'); }
    void check(size_t nodeIndex, const std::string& path, const std::string& id, TimePoint sentAt, uint32_t status,
        const std::string& body);
    void report(SoakRule rule, const std::string& description);
    int runCount(const std::string& id);
    bool waitUntilServing();

    SoakSettings m_settings;
    std::string m_folder;
    RegistryStoreStandIn m_store;
    std::vector<std::unique_ptr<RegisteredTargetStandIn>>
        m_targets; ///< The first half serves "plain", the rest "other".
    std::vector<std::unique_ptr<RegisteredTargetStandIn>> m_engines; ///< Drop their models again and again.
    std::vector<std::vector<std::unique_ptr<LinkStandIn>>> m_links; ///< By node and target.
    TimePoint m_modelsDroppedAt;
    TimePoint m_copyKeptAt;
    int m_storeFaults { 0 }; ///< Faults that keep the store down.
    size_t m_storeDisturbances { 0 }; ///< Beginnings and ends of these faults, and returns of frozen nodes.
    std::unique_ptr<StoreFiller> m_filler; ///< Null unless FillStore is played.
    StoreReadBound m_readBound;
    SoakTimer m_timer; ///< Its actions use the nodes; stopped before they are destroyed.
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    std::vector<std::pair<TimePoint, std::function<void()>>> m_endings; ///< Of faults, with their times.
    std::map<SoakVerdict, size_t> m_endCounts;
    std::atomic<bool> m_isOver { false };
    std::atomic<int> m_catalogVersion { 0 };
    std::atomic<TimePoint> m_catalogChangedAt { TimePoint::min() };
    std::atomic<TimePoint> m_storeDisturbedAt { TimePoint::min() };
    std::atomic<TimePoint> m_targetDisturbedAt { TimePoint::min() };
    std::mutex m_mutex; ///< Guards the members below.
    std::vector<std::optional<TimePoint>> m_cutAt; ///< Start of the cut in force, by node.
    FirstTries m_triesAtCutNodes; ///< From the time on after which callers must be served again.
    FirstTries m_triesAtOthers; ///< At the same times.
    std::map<SoakRule, std::vector<std::string>> m_findings;
    std::map<uint32_t, size_t> m_requestCounts;
};

} // namespace cyclamenstair
