#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/OrderLeaseElector.h>
#include <Cyclamenstair/Entry/PeerMesh.h>
#include <Cyclamenstair/Entry/StoreWatcher.h>

#include <deque>

namespace cyclamenstair {

/// Lets every node know which software versions serve or have served lately, and, while a service has several, which
/// one began each stream. Callers resume a stream at any node, also after all nodes have restarted, so both are kept in
/// the store: the versions by the holder of the order lease, the origins of streams by the node that began them.
/// Belongs to one event loop.
class StreamOriginExchange {
public:
    StreamOriginExchange(boost::asio::io_context& context, PlatformStore& store, OrderLeaseElector& elector,
        PeerMesh& mesh, EntryState& state);

    /// Prefix of the keys whose values are versions that serve or have served lately.
    static const std::string versionPrefix;

    /// `targetWatcher` and `controlWatcher` watch the entries of the targets and the records of the nodes.
    void start(StoreWatcher& targetWatcher, StoreWatcher& controlWatcher);

    /// Adds versions that other nodes have seen. From now on all versions count as known.
    void addKnownVersions(const std::set<ServiceVersion>& versions);

private:
    /// A version that this node has written to the store.
    struct WrittenVersion {
        int64_t leaseId { 0 }; ///< 0 until the key is written.
        TimePoint renewedAt;
        bool isPending { false };
    };

    void tick();
    void scheduleTick(Duration delay);
    void observeVersions(TimePoint now);
    /// Confirms the observed versions as of the last contact with the other nodes or the store.
    void confirmVersions();
    /// Returns the interval at which origins are written.
    Duration originInterval() const;
    void writeVersions(TimePoint now);
    void grantVersionLease(const ServiceVersion& version);
    void writeVersion(const ServiceVersion& version, int64_t leaseId);
    void renewVersion(const ServiceVersion& version, int64_t leaseId);
    /// Returns the state of a version whose call is pending, or null if this node no longer writes it.
    WrittenVersion* pendingVersion(const ServiceVersion& version);
    void sendOrigins(TimePoint now);
    void writeOrigins(TimePoint now);
    void grantOriginLease(TimePoint now);
    void readOrigins();
    void mergeOrigins(const StoreRecord& record);

    boost::asio::steady_timer m_timer;
    PlatformStore* m_store;
    StoreListing m_originListing;
    OrderLeaseElector* m_elector;
    PeerMesh* m_mesh;
    StoreWatcher* m_targetWatcher { nullptr };
    StoreWatcher* m_controlWatcher { nullptr };
    TimePoint m_startedAt; ///< On the clock of suspendAwareNow().
    EntryState* m_state;
    bool m_areVersionsKnown { false }; ///< Those of other nodes, from the store or from a node.
    TimePoint m_versionsObservedAt;
    TimePoint m_versionsWrittenAt;
    std::map<ServiceVersion, WrittenVersion> m_writtenVersions; ///< Empty while the order lease is not held.
    /// Origins that were recorded while a single version was known, with the time of recording.
    std::deque<std::pair<TimePoint, StreamOrigin>> m_unsentOrigins;
    std::vector<StreamOrigin> m_unwrittenOrigins;
    bool m_areOriginsRead { false };
    size_t m_originsRead { 0 }; ///< In the last read.
    bool m_isOriginCallPending { false };
    bool m_hasOriginCallFailed { false }; ///< The last one; events are not held while the store does not respond.
    TimePoint m_originsCalledAt;
    int64_t m_originLeaseId { 0 };
    TimePoint m_originLeaseGrantedAt;
    std::string m_originKeyPrefix; ///< Unique to this process, so that a restarted node overwrites no origins.
    uint64_t m_originKeys { 0 };
};

} // namespace cyclamenstair
