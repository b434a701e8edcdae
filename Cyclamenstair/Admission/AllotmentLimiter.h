#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenstair {

/// Rate of work over all nodes, in any unit.
struct FleetRate {
    double unitsPerSecond { 0 }; ///< 0 for no limit.
    double burst { 0 }; ///< Units beyond the rate.

    bool operator==(const FleetRate&) const = default;
};

/// Work of one team, smoothed over AllotmentLimiterSettings::averagingTime.
struct TeamUsage {
    double offered { 0 }; ///< Requested units per second, including refused ones.
    double admitted { 0 }; ///< Admitted units per second.

    bool operator==(const TeamUsage&) const = default;
};

using TeamUsages = std::map<std::string, TeamUsage>;

/// Settings of an AllotmentLimiter.
struct AllotmentLimiterSettings {
    /// Time constant of the usage averages. About as long as a change takes to reach all nodes of a large fleet.
    Duration averagingTime { milliseconds(300) };
    /// Time for which the usage of the other nodes counts. Longer silence means that this node is cut off or was
    /// suspended.
    Duration viewLifetime { milliseconds(2000) };
    /// Part of their share of the rate that nodes use which know at most half of the fleet. The others may use the
    /// whole rate.
    double minorityFraction { 0.1 };
    /// Part of the rate that is admitted while the level is within the control band. The rest makes up for what nodes
    /// with old knowledge admit at the start of a surge.
    double rationedFraction { 0.9 };
    /// Part of the burst up to which a bucket fills. The rest makes up for what nodes admit before they know of a
    /// surge.
    double usableBurst { 0.5 };
    /// Range of the level, as time at the rate, over which admission is reduced. Must be long compared to the age of
    /// the known usage, or the admitted work oscillates.
    Duration controlBand { milliseconds(1000) };
};

/// Limits the work of each team over all nodes together. Thread-safe.
///
/// Load pattern: one team sends many times its usual work over all nodes, while the others stay within their rates.
///
/// Each node keeps a copy of the team's token bucket. It subtracts what it admits itself at once, and what the other
/// nodes admit as their usage becomes known, a few hundred milliseconds later. While the level is low, requests are
/// admitted with a probability that makes the fleet's admitted work equal to the rate, so that many nodes with old
/// knowledge do not exceed it together. A node that knows at most half of the fleet may be in one of two parts that
/// both admit requests; it uses a small fraction of the rate.
class AllotmentLimiter {
public:
    explicit AllotmentLimiter(AllotmentLimiterSettings settings = {});

    /// Sets the rates by team. Levels of teams that remain are kept, up to the new burst.
    void setRates(const std::map<std::string, FleetRate>& rates, TimePoint now);

    /// Consumes `units` of the team's rate and returns no value, or returns the time after which to ask again. Teams
    /// without a rate are not limited.
    std::optional<Duration> consumeOrGetDelay(const std::string& team, double units, TimePoint now, Random& random);

    /// Returns units that were consumed for a request that has not run.
    void refund(const std::string& team, double units, TimePoint now);

    /// Returns this node's usage of teams with recent requests.
    TeamUsages usage(TimePoint now) const;

    /// Sets the usage of all other nodes together. It covers `knownNodes` of the fleet's `nodeCount` nodes, both with
    /// this one.
    void setRemoteUsage(const TeamUsages& usage, size_t knownNodes, size_t nodeCount, TimePoint now);

    /// Returns whether the usage of more than half of the fleet is known.
    bool hasMajorityView(TimePoint now) const;

    /// Returns the level of each limited team's bucket in units, negative if more was admitted than allowed.
    std::map<std::string, double> levels() const;

private:
    struct Bucket {
        FleetRate rate;
        double level { 0 };
        TimePoint advancedAt;
        TeamUsage own; ///< Decayed up to ownUpdatedAt.
        TimePoint ownUpdatedAt;
        TeamUsage remote;
    };
    /// How much of the fleet this node knows.
    struct View {
        size_t knownNodes { 1 };
        size_t nodeCount { 1 };
        bool isCurrent { true }; ///< Otherwise this node knows only itself.

        bool isMajority() const { return 2 * knownNodes > nodeCount; }
    };
    using Buckets = std::map<std::string, Bucket>;

    View view(TimePoint now) const;
    /// Returns the part of each rate that this node and those that it knows may use.
    double usableFraction(const View& view) const;
    /// Returns the level at which a bucket is full.
    double capacity(const Bucket& bucket) const { return bucket.rate.burst * m_settings.usableBurst; }
    void advance(Bucket& bucket, const View& view, TimePoint now) const;
    TeamUsage decayedUsage(const Bucket& bucket, TimePoint now) const;
    /// Returns the units per second requested at this node and those that it knows.
    static double demand(const Bucket& bucket, const View& view);

    AllotmentLimiterSettings m_settings;
    mutable std::mutex m_viewMutex;
    View m_view;
    TimePoint m_viewReceivedAt;
    Sharded<std::string, Buckets> m_buckets; ///< By team.
};

} // namespace cyclamenstair
