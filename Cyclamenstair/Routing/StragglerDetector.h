#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Routing/RouteQuery.h>
#include <Cyclamenstair/Routing/SampleWindow.h>

#include <map>
#include <vector>

namespace cyclamenstair {

/// Quantity measured by a speed sample.
enum class SpeedKind : uint8_t {
    FirstToken, ///< Time to the first token, or to the buffered response if the request is not streamed.
    PerToken, ///< Time between tokens.
};

template <> struct EnumNames<SpeedKind> {
    static constexpr auto table = std::to_array<EnumName<SpeedKind>>({
        { SpeedKind::FirstToken, "first_token" },
        { SpeedKind::PerToken, "per_token" },
    });
};

/// Settings of a StragglerDetector.
struct StragglerSettings {
    double slowFactor { 3 }; ///< Slowness relative to the pool's median at which a target is a straggler.
    double pendingFactor { 5 }; ///< The same for a single attempt that has no response yet.
    double recoveryFactor { 2 }; ///< Slowness below which a probe counts as a success.
    size_t minSamples { 3 }; ///< Samples required before a median is used.
    uint32_t maxConsecutiveFailures { 2 }; ///< Failures in a row that put a target on probation.
    uint32_t probesToRecover { 3 }; ///< Successful probes in a row that end the probation.
    Duration probeInterval { milliseconds(500) }; ///< Time before the first probe and after a successful one.
    /// Upper bound of the interval, which doubles with each slow probe.
    Duration maxProbeInterval { milliseconds(4000) };
    Duration pendingSampleLifetime { milliseconds(1000) }; ///< Time for which a pending attempt's slowness is used.
    /// Time without observations after which a target is removed.
    Duration idleTargetRetention { std::chrono::seconds(600) };
    /// Time without observations for which a target counts as active.
    Duration activePeriod { std::chrono::seconds(60) };
};

/// Speed of a target relative to its pool.
struct TargetSpeed {
    double factor { 1 }; ///< Slowness relative to the pool's median.
    bool isOnProbation { false };
};

/// Detects temporarily slow targets from this node's own observations and puts them on probation.
///
/// A sample is the ratio of the observed to the expected time, so that samples can be compared across models. At most
/// a third of a pool's targets are on probation: if more are slow, the cause is overload and no target is added.
/// Thread-safe. The targets of a pool share a lock, because each evaluation compares all of them.
class StragglerDetector {
public:
    explicit StragglerDetector(StragglerSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Records the slowness of a response from the target.
    void observe(const std::string& pool, const std::string& target, SpeedKind kind, double slowness, TimePoint now);

    /// Records the slowness so far of a pending attempt, which has not received its first token yet.
    void observePending(const std::string& pool, const std::string& target, double slowness, TimePoint now);

    /// Records the slowness so far of a late attempt that was cancelled because another attempt succeeded. It is a
    /// lower bound and never counts as a successful probe.
    void observeCancelled(const std::string& pool, const std::string& target, double slowness, TimePoint now);

    /// Records a failed attempt.
    void observeFailure(const std::string& pool, const std::string& target, TimePoint now);

    /// Returns the speeds of the candidates, in their order.
    std::vector<TargetSpeed> speeds(
        const std::string& pool, const std::vector<RouteCandidate>& candidates, TimePoint now) const;

    /// Returns true if a probe of the target is due, and records it as sent.
    bool tryStartProbe(const std::string& pool, const std::string& target, TimePoint now);

    bool isOnProbation(const std::string& pool, const std::string& target) const;

    /// Returns the ids of the pool's targets on probation, sorted.
    std::vector<std::string> targetsOnProbation(const std::string& pool) const;

private:
    struct TargetState {
        SampleWindow<8> firstTokenSamples;
        SampleWindow<8> perTokenSamples;
        double firstTokenMedian { 0 }; ///< 0 if there are fewer than `minSamples` samples.
        double perTokenMedian { 0 };
        double pendingSlowness { 0 };
        TimePoint pendingObservedAt;
        TimePoint lastObservedAt;
        uint32_t consecutiveFailures { 0 };
        bool isOnProbation { false };
        uint32_t successfulProbes { 0 };
        TimePoint lastProbeAt;
        Duration probeInterval { 0 };
    };
    using PoolState = std::map<std::string, TargetState>;
    using Pools = std::map<std::string, PoolState>;

    /// Median slowness of a pool's targets.
    struct Baseline {
        double firstToken { 1 };
        double perToken { 1 };
    };

    Baseline computeBaseline(const PoolState& pool, TimePoint now) const;
    double firstTokenSlowness(const TargetState& state, TimePoint now) const;
    double slownessFactor(const TargetState& state, const Baseline& baseline, TimePoint now) const;
    bool isSlow(const TargetState& state, const Baseline& baseline, TimePoint now) const;
    void updateProbation(PoolState& pool, TimePoint now) const;
    void evaluateProbe(PoolState& pool, TargetState& state, SpeedKind kind, double slowness, TimePoint now) const;

    StragglerSettings m_settings;
    Sharded<std::string, Pools> m_pools;
};

} // namespace cyclamenstair
