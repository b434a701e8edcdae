#pragma once

#include <Benchmarks/Soak/DaySettings.h>
#include <Benchmarks/Soak/DayTargets.h>
#include <Benchmarks/Soak/SoakNode.h>

#include <StandIns/LinkStandIn.h>

#include <boost/asio/ip/tcp.hpp>

#include <mutex>

namespace cyclamenstair {

/// A VM of a day, which runs at most one node at an address of its own. Spare VMs run none at first.
struct DayNode {
    DayNode() = default;
    ~DayNode();
    DayNode(const DayNode&) = delete;
    DayNode& operator=(const DayNode&) = delete;

    std::string failureDomain;
    bool isSeed { false };
    boost::asio::ip::tcp::endpoint callerEndpoint;
    boost::asio::ip::tcp::endpoint probeEndpoint;
    double cpuShare { 1 };
    int memoryMb { 0 };
    std::string storeAddress; ///< Behind the link.
    std::string clockPath; ///< File with the shift of the node's time of day.
    EventLoop linkLoop; ///< Of the links below. One for each link takes too many threads on a large site.
    std::unique_ptr<LinkStandIn> storeLink;
    std::vector<std::unique_ptr<LinkStandIn>> targetLinks; ///< By target.
    SoakSettingsText settings;
    SoakSettingsText settingsWithoutSeeds; ///< Of a start, before the platform knows the seeds.
    std::unique_ptr<SoakNode> process;
    // The members below belong to the thread of the run.
    bool isStarted { false };
    bool isRetired { false }; ///< Told to end for good.
    bool isWithoutPower { false }; ///< The process is stopped and ends with the down time.
    std::optional<TimePoint> downUntil; ///< The process ends or has ended and is not started again before.
    TimePoint startedAt; ///< Of the process that runs.
    std::optional<TimePoint> readyAt; ///< Of the process that runs.
    int storeOutages { 0 }; ///< Events in force that keep the node from the store.
    std::optional<TimePoint> storeBackAt; ///< End of the last of them.
    bool isReportedUnready { false };
    int missedProbes { 0 };
    // Shared with callers.
    std::atomic<bool> isInRotation { false };
    std::atomic<bool> isPlaced { false }; ///< Started, and not retired; also while its process is down.
};

/// The nodes of a day, each a process with links of its own to the store and the targets. Callers choose nodes from
/// their threads; all else belongs to the thread of the run.
class DayNodes {
public:
    /// Starts no node. Throws std::runtime_error if a daemon rejects the settings.
    DayNodes(const DaySettings& settings, RegistryStoreStandIn& store, DayTargets& targets, const std::string& folder,
        SoakTimer& timer);
    DayNodes(const DayNodes&) = delete;
    DayNodes& operator=(const DayNodes&) = delete;
    ~DayNodes();

    size_t count() const { return m_nodes.size(); }
    DayNode& node(size_t index) { return *m_nodes[index]; }
    const DayNode& node(size_t index) const { return *m_nodes[index]; }

    /// Returns the nodes that have been started and not retired, in the order of the VMs.
    std::vector<size_t> active() const;
    /// Returns a share or a number of the active nodes in the failure domain, or of all if it is empty; one at least.
    std::vector<size_t> draw(const SiteEvent& event, double defaultShare, Random& random) const;

    /// Returns the node with the id, or no value if there is none.
    std::optional<size_t> find(const std::string& id) const;

    /// Starts the nodes of all VMs that are not spare.
    void startAll();
    void start(size_t index);
    /// Starts a spare VM in the failure domain, or in any if it is empty. Returns no value if none is left.
    std::optional<size_t> startSpare(const std::string& failureDomain);
    /// Ends the process by SIGKILL; it is started again after the time.
    void kill(size_t index, Duration downTime);
    /// Stops the process at once without a sign to its peers, as a loss of power does; it ends and is started again
    /// after the time.
    void cutPower(size_t index, Duration downTime);
    /// Tells the node to end for good.
    void retire(size_t index);
    void beginStoreOutage(size_t index) { ++m_nodes[index]->storeOutages; }
    void endStoreOutage(size_t index);
    /// Returns whether the node can learn from a seed what it does not learn from the store: another node that was
    /// ready when this one's process started, and still is.
    bool hasReadySeed(size_t index) const;
    void setStoreLink(size_t index, LinkMode mode) { m_nodes[index]->storeLink->setMode(mode); }
    void setTargetLinks(size_t index, LinkMode mode);
    /// Shifts the node's time of day against that of this process. No effect on daemons that take no shift.
    void shiftClock(size_t index, std::chrono::seconds shift);

    /// Starts processes again whose time has come, and passes on the ends of processes with the index of their node.
    void tick(const std::function<void(size_t, const SoakEnd&)>& onEnd);

    /// Chooses a node for a new connection of a caller, as the platform does: one of the caller's failure domain by a
    /// hash of the caller, or, if `exceptNode` is set, another one. Thread-safe.
    size_t choose(const std::string& failureDomain, size_t callerHash, std::optional<size_t> exceptNode) const;

private:
    /// Writes the settings without seeds, and shortly after a start those with seeds, followed by SIGHUP.
    void scheduleSeeds(DayNode& node);

    SoakTimer* m_timer;
    SoakThrottle m_throttle;
    std::vector<std::unique_ptr<DayNode>> m_nodes;
    std::vector<size_t> m_firstNodes; ///< Those of VMs that are not spare.
};

} // namespace cyclamenstair
