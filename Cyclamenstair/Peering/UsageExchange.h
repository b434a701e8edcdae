#pragma once

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Core/Time.h>

namespace cyclamenstair {

/// Usage of the teams' allotments received from other nodes, and its sums. Does no I/O; belongs to one thread.
///
/// Follows the same paths as the loads, see LoadExchange: each node to its collector, sums between collectors, and the
/// fleet's sum back to the nodes.
class UsageExchange {
public:
    /// Time during which a share or a summary counts.
    static constexpr Duration shareLifetime = milliseconds(2000);

    explicit UsageExchange(std::string nodeId)
        : m_nodeId(std::move(nodeId))
    {
    }

    void add(UsageShare share, TimePoint now);
    /// Takes over the summary of this node's collector; `ownUsage` is the usage that the collector last received.
    void add(const UsageSummary& summary, const TeamUsages& ownUsage, TimePoint now);

    /// Forgets what is too old.
    void expire(TimePoint now);

    /// Usage of all other nodes, and how many nodes it covers, with this one.
    struct RemoteUsage {
        TeamUsages usage;
        size_t knownNodes { 1 };
    };
    /// Returns the usage of all other nodes: from their shares, or from the summary if `usesSummary`.
    RemoteUsage remoteUsage(bool usesSummary) const;

    /// Returns the sum of `own` and the shares of single nodes.
    UsageShare groupShare(const TeamUsages& own) const;
    /// Returns the sum of `own` and all received shares.
    UsageSummary summary(const TeamUsages& own) const;

private:
    struct Received {
        UsageShare share;
        TimePoint receivedAt;
    };

    std::string m_nodeId;
    std::map<std::string, Received> m_shares; ///< By node id.
    RemoteUsage m_summary; ///< Without this node's usage.
    TimePoint m_summaryReceivedAt;
};

} // namespace cyclamenstair
