#pragma once

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Core/Time.h>

namespace cyclamenstair {

/// Settings of a LoadExchange.
struct LoadExchangeSettings {
    /// Time during which a share or a summary counts. A node that sends nothing for longer is considered gone.
    Duration shareLifetime { milliseconds(2000) };
    Duration demandLifetime { milliseconds(2500) }; ///< Time during which a demand share counts.
};

/// Loads and demands received from other nodes, and their sums. Does no I/O; belongs to one thread.
///
/// A node that receives the shares of its group is a collector. Only shares of single nodes are part of the sum that it
/// sends to other collectors, so no load is counted twice.
class LoadExchange {
public:
    explicit LoadExchange(std::string nodeId, LoadExchangeSettings settings = {});

    void add(LoadShare share, TimePoint now);
    void add(DemandShare share, TimePoint now);
    /// Takes over the summary of this node's collector; `ownShare` is the share that the collector last received.
    void add(const LoadSummary& summary, const TargetWorkloads& ownShare, TimePoint now);

    /// Forgets shares that are too old.
    void expire(TimePoint now);

    /// Returns whether single nodes send their shares to this node.
    bool hasMembers() const;
    /// Returns the ids of these nodes.
    std::vector<std::string> members() const;
    /// Returns the ids of the collectors that send shares to this node.
    std::vector<std::string> collectors() const;

    /// Returns the load of all other nodes: from their shares, or from the summary if `usesSummary`.
    TargetWorkloads remoteLoads(bool usesSummary) const;

    /// Sets whether this node reaches no target.
    void setIsolated(bool isIsolated) { m_isIsolated = isIsolated; }

    /// Returns this node's id if it reaches no target, for its share.
    std::set<std::string> ownIsolation() const;
    /// Returns the ids of the other nodes that reach no target: from their shares, or from the summary if
    /// `usesSummary`.
    std::set<std::string> isolatedNodes(bool usesSummary) const;

    /// Returns the sum of `own` and the members' loads.
    LoadShare groupShare(const TargetWorkloads& own) const;
    /// Returns the sum of `own` and all received loads.
    LoadSummary summary(const TargetWorkloads& own) const;
    /// Returns the sum of `own` and the members' demand.
    DemandShare groupDemand(DemandShare own) const;
    /// Returns the sum of `own` and all received demand.
    DemandShare totalDemand(DemandShare own) const;

private:
    template <typename Message> struct Received {
        Message message;
        TimePoint receivedAt;
    };

    std::string m_nodeId;
    LoadExchangeSettings m_settings;
    std::map<std::string, Received<LoadShare>> m_shares; ///< By node id.
    std::map<std::string, Received<DemandShare>> m_demands; ///< By node id.
    bool m_isIsolated { false };
    std::set<std::string> m_summaryIsolated;
    TargetWorkloads m_summary; ///< Without this node's load.
    TimePoint m_summaryReceivedAt;
};

} // namespace cyclamenstair
