#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Routing/RouteQuery.h>
#include <Cyclamenstair/Routing/SampleWindow.h>

#include <map>
#include <vector>

namespace cyclamenstair {

/// Quantity that a speed sample measures.
enum class SpeedKind : uint8_t {
    FirstToken, ///< Time to the first token, or to the answer of a request that is not streamed.
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
    double slowFactor { 3 }; ///< Slowness relative to the pool's median from which on a target is a straggler.
    double waitingFactor { 5 }; ///< The same for a single attempt that still waits.
    double recoveredFactor { 2 }; ///< Slowness below which a probe counts as a success.
    size_t minSamples { 3 }; ///< Answers that a judgement needs.
    uint32_t maxFailuresInARow { 2 }; ///< Failed attempts that put a target on probation.
    uint32_t probesToReturn { 3 }; ///< Successful probes in a row that end the probation.
    Duration probeInterval { milliseconds(500) }; ///< Time to the first probe and after a successful one.
    Duration maxProbeInterval { milliseconds(4000) }; ///< The interval doubles up to this while probes are slow.
    Duration waitingValidity { milliseconds(1000) }; ///< Time for which a waiting attempt counts.
    Duration forgetAfter { std::chrono::seconds(600) }; ///< Time after which a silent target is forgotten.
    Duration memberValidity { std::chrono::seconds(60) }; ///< Time for which a silent target counts as in the pool.
};

/// Speed of a target as its pool sees it.
struct TargetSpeed {
    double factor { 1 }; ///< Slowness relative to the pool's median.
    bool isOnProbation { false };
};

/// Finds targets that are slow for a while from this node's own observations, and puts them on probation.
///
/// Samples are relative to expected work (1 is as expected), so that they can be compared across models. At most a
/// third of a pool's targets are on probation; if more look slow, the cause is load and no target is added. Callable
/// from many threads; the targets of a pool share a lock, because each judgement compares all of them.
class StragglerDetector {
public:
    explicit StragglerDetector(StragglerSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Takes the slowness of an answer of the target.
    void observe(const std::string& pool, const std::string& target, SpeedKind kind, double slowness, TimePoint now);

    /// Takes the slowness so far of an attempt that still waits for its first token.
    void observeWaiting(const std::string& pool, const std::string& target, double slowness, TimePoint now);

    /// Takes the slowness so far of an attempt that was cancelled while it was late, because another one answered. It
    /// is a lower bound and never counts as a successful probe.
    void observeOvertaken(const std::string& pool, const std::string& target, double slowness, TimePoint now);

    /// Takes a failed attempt.
    void observeFailure(const std::string& pool, const std::string& target, TimePoint now);

    /// Returns the speeds of the candidates, in their order.
    std::vector<TargetSpeed> speeds(
        const std::string& pool, const std::vector<RouteCandidate>& candidates, TimePoint now) const;

    /// Returns whether a probe of the target is due, and counts it as sent if so.
    bool claimProbe(const std::string& pool, const std::string& target, TimePoint now);

    bool isOnProbation(const std::string& pool, const std::string& target) const;

    /// Returns the targets of the pool on probation, sorted by id.
    std::vector<std::string> onProbation(const std::string& pool) const;

private:
    struct TargetState {
        SampleWindow<8> first;
        SampleWindow<8> perToken;
        double firstMedian { 0 }; ///< 0 while there are too few samples.
        double perTokenMedian { 0 };
        double waiting { 0 };
        TimePoint waitingAt;
        TimePoint lastSeen;
        uint32_t failuresInARow { 0 };
        bool isOnProbation { false };
        uint32_t successfulProbes { 0 };
        TimePoint lastProbe;
        Duration probeInterval { 0 };
    };
    using PoolState = std::map<std::string, TargetState>;
    using Pools = std::map<std::string, PoolState>;

    /// Medians of a pool's targets.
    struct Baseline {
        double first { 1 };
        double perToken { 1 };
    };

    Baseline baselineOf(const PoolState& pool, TimePoint now) const;
    double firstOf(const TargetState& state, TimePoint now) const;
    double factorOf(const TargetState& state, const Baseline& baseline, TimePoint now) const;
    bool isSlow(const TargetState& state, const Baseline& baseline, TimePoint now) const;
    void judge(PoolState& pool, TimePoint now) const;
    void judgeProbe(PoolState& pool, TargetState& state, SpeedKind kind, double slowness, TimePoint now) const;

    StragglerSettings m_settings;
    Sharded<std::string, Pools> m_pools;
};

} // namespace cyclamenstair
