#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Another node that accepts requests of this node's callers.
struct RelayPeer {
    std::string id;
    std::string address; ///< IP:PORT of its listener for relayed requests.
    std::string failureDomain;
    double cpuShare { 1 }; ///< Part of a processor core that the node may use.
};

/// Settings of RelayPeers.
struct RelayPeersSettings {
    std::string failureDomain; ///< Failure domain of this node; peers in it are preferred at equal load.
    /// Cost added to peers in other failure domains, in relayed requests per core.
    double remoteDomainCost { 4 };
    /// Time during which a peer that did not accept a request is avoided.
    Duration avoidDuration { milliseconds(1000) };
};

/// The nodes through which this node passes on requests while it reaches no target itself. Thread-safe.
class RelayPeers {
public:
    explicit RelayPeers(RelayPeersSettings settings)
        : m_settings(std::move(settings))
    {
    }

    /// Sets the registered nodes except this one. Nodes without a listener for relayed requests are left out.
    void setPeers(const std::vector<RelayPeer>& peers);

    /// Sets the ids of the nodes that reported that they reach no target.
    void setIsolated(std::set<std::string> nodes);

    /// Selects the peer with the lowest cost of two random ones, and counts the request as in flight there. Returns no
    /// value if no peer is left that reaches targets, as far as this node knows.
    std::optional<RelayPeer> acquire(const std::set<std::string>& excluded, TimePoint now, Random& random);

    /// Returns whether another node reaches targets, as far as this node knows.
    bool hasReachingPeer() const;

    /// Ends a request in flight.
    void release(const std::string& peer);

    /// Avoids a peer that could not be reached or did not accept a request.
    void avoid(const std::string& peer, TimePoint now);

private:
    struct PeerState {
        RelayPeer peer;
        uint32_t inFlight { 0 };
        TimePoint avoidedUntil;
    };

    double cost(const PeerState& state) const;

    RelayPeersSettings m_settings;
    mutable std::mutex m_mutex; ///< Guards the members below. Requests take it only while the node is isolated.
    std::map<std::string, PeerState> m_peers;
    std::set<std::string> m_isolated;
};

} // namespace cyclamenstair
