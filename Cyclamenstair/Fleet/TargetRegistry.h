#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Fleet/BrittleTarget.h>
#include <Cyclamenstair/Fleet/SoftwareVersions.h>
#include <Cyclamenstair/Fleet/TargetPace.h>
#include <Cyclamenstair/Fleet/TargetRecord.h>

#include <atomic>
#include <map>
#include <optional>
#include <variant>

namespace cyclamenstair {

/// Settings of a TargetRegistry.
struct TargetRegistrySettings {
    std::string nodeId; ///< Id of this node, from which the targets that it prefers are derived.
    std::string failureDomain; ///< Failure domain of this node; targets in it are preferred at equal load.
    /// Cost added to targets in other failure domains, in requests per slot. Traffic between domains is billed, but
    /// queueing costs more.
    double remoteDomainCost { 0.02 };
    /// Number of targets with the requested model that a node of a large fleet prefers. The loads that it knows there
    /// are older than most requests, so nodes that all choose the least loaded target overload it. Few targets also let
    /// a node with few requests reuse its connections.
    size_t preferredTargets { 2 };
    /// Cost added to other targets of a plain service in a large fleet, in requests per slot. Above the error of the
    /// known loads, since requests end sooner than loads are exchanged.
    double otherTargetCost { 1.5 };
    /// The same for engines, whose requests run for seconds.
    double otherEngineCost { 0.25 };
    /// Time during which a target that refused a connection or interrupted a response is avoided if others are
    /// available.
    Duration suspectDuration { milliseconds(1500) };
    /// Time during which a target that refused a request for lack of capacity is avoided if others are available.
    Duration fullBackoff { milliseconds(250) };
    /// Time during which the loads of other nodes count after they were set.
    Duration remoteLoadLifetime { milliseconds(2000) };
    /// Maximum number of pending prompt tokens at an engine, including those of a new prompt. An engine step processes
    /// up to 2,048 prompt tokens in about 100 ms; a stream event spans three steps and is on time within 300 ms.
    uint32_t maxPendingPromptTokens { 1800 };
    /// Cost of maxPendingPromptTokens pending tokens, in requests per slot. Prompts are processed within about 100 ms
    /// while requests run for seconds, so pending tokens only decide between targets of nearly equal load.
    double pendingPromptCost { 0.1 };
    /// Time after a refusal for an absent model during which the target's record is ignored for that model.
    Duration absentBackoff { milliseconds(1500) };
    /// Requests in flight at an engine, over all nodes, as a multiple of its slots, from which on it gets no new ones
    /// in a large fleet. One that comes then starts only after a whole round of requests, when most callers have left.
    double maxEngineLoad { 2 };
    /// Part of the requests in flight at a target, over all nodes, that are overdue at one that does not respond. Some
    /// requests are late at a target that is only slow.
    double unresponsiveFraction { 0.3 };
    /// Time after the first target of a software version has registered during which other targets are preferred.
    /// Meanwhile all nodes learn that the service has another version, whose streams they must tell apart, or are out
    /// of step: SoftwareVersions::confirmationLifetime, plus 200 ms until this node has told the others.
    Duration newVersionDelay { milliseconds(1500) };
    TargetPaceSettings pace;
    BrittleTargetSettings brittle;
    /// Longest pause that a target can ask for with one response, so that a faulty one does not stay out for good.
    Duration maxPause { std::chrono::minutes(5) };
};

/// Requirements of a request on a target.
struct TargetQuery {
    std::string service;
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the model itself.
    std::set<std::string> excluded; ///< Ids of targets to which the request has been sent already.
    uint32_t promptTokens { 0 }; ///< 0 if unknown, and for plain services.
    bool excludesBacklogged { false }; ///< Excludes targets whose pending prompts would delay this prompt.
    /// Excludes overloaded engines of a large fleet. Not for repeats and resumed streams, whose callers have nothing to
    /// gain by a refusal.
    bool excludesOverloaded { false };
    std::optional<std::string> softwareVersion {}; ///< Excludes targets of other versions, if set.
};

/// A target at which one request is counted as in flight.
struct AcquiredTarget {
    std::string id;
    std::string address;
    std::string service;
    int64_t startedUnixMs { 0 }; ///< Start time of the target's process.
    uint32_t pendingPromptTokens { 0 }; ///< Prompt tokens of the request that count as pending at the target.
    bool isOverdue { false }; ///< The request counts as overdue at the target.
    std::string softwareVersion {}; ///< Version of the target's software.
};

/// Why no target was acquired.
enum class AcquireFailure : uint8_t {
    NoTarget, ///< The service has no ready target, or the request has been sent to all of them.
    ModelAbsent, ///< No ready target has loaded the model.
    AdapterAbsent, ///< Targets have loaded the model, but none the adapter.
    EnginesOverloaded, ///< All targets with the model and the adapter have too many requests in flight.
    TargetsBrittle, ///< All targets that could take the request would fail if they had to refuse it.
    PromptBacklog, ///< All targets with the model and the adapter have too many pending prompt tokens.
};

template <> struct EnumNames<AcquireFailure> {
    static constexpr auto table = std::to_array<EnumName<AcquireFailure>>({
        { AcquireFailure::NoTarget, "no_target" },
        { AcquireFailure::ModelAbsent, "model_absent" },
        { AcquireFailure::AdapterAbsent, "adapter_absent" },
        { AcquireFailure::EnginesOverloaded, "engines_overloaded" },
        { AcquireFailure::TargetsBrittle, "targets_brittle" },
        { AcquireFailure::PromptBacklog, "prompts_unread" },
    });
};

/// All targets that could take the request asked this node to send nothing for a while.
struct TargetsPaused {
    TimePoint until; ///< End of the pause that ends first.
};

/// A target has stopped or resumed responding to the fleet's requests.
struct ResponsivenessChange {
    std::string target;
    bool isUnresponsive { false };
    uint32_t overdue { 0 }; ///< Over all nodes.
    uint32_t inFlight { 0 }; ///< Over all nodes.
};

using AcquireOutcome = std::variant<AcquiredTarget, AcquireFailure, TargetsPaused>;

/// Result of an attempt, as an indication of the target's health.
enum class TargetAttemptResult : uint8_t {
    Good,
    Full, ///< The target refused the request for lack of capacity.
    Absent, ///< The address belongs to another instance, or the model is absent.
    Failed, ///< The connection failed, or the response was invalid or interrupted.
    Inconclusive, ///< The attempt says nothing about the target, for example because it was cancelled.
};

template <> struct EnumNames<TargetAttemptResult> {
    static constexpr auto table = std::to_array<EnumName<TargetAttemptResult>>({
        { TargetAttemptResult::Good, "good" },
        { TargetAttemptResult::Full, "full" },
        { TargetAttemptResult::Absent, "absent" },
        { TargetAttemptResult::Failed, "failed" },
        { TargetAttemptResult::Inconclusive, "no_verdict" },
    });
};

/// Registered targets together with this node's observations of each. State is sharded by service. Thread-safe.
class TargetRegistry {
public:
    explicit TargetRegistry(TargetRegistrySettings settings)
        : m_settings(std::move(settings))
    {
    }

    /// Sets whether each node prefers a few targets, because the fleet has many nodes.
    void setLargeFleet(bool isLargeFleet) { m_isLargeFleet = isLargeFleet; }
    bool isLargeFleet() const { return m_isLargeFleet; }

    /// Sets the number of nodes, among which the requests for a target that has just started or is brittle are divided,
    /// and this node's position among them in an order that all nodes agree on.
    void setNodeCount(size_t nodeCount, size_t position = 0)
    {
        m_nodeCount = std::max<size_t>(1, nodeCount);
        m_nodePosition = position;
    }

    /// Adds or updates a target from its record at store revision `revision`. Older revisions are ignored. `startedAt`
    /// is set if a new process of the target has registered just now, rather than before this node read the records.
    /// `versionSeenAt` is set if it may have registered since the node last read them.
    void update(const TargetRecord& record, int64_t revision, std::optional<TimePoint> startedAt = std::nullopt,
        std::optional<TimePoint> versionSeenAt = std::nullopt);

    /// Removes a target whose record was deleted at store revision `revision`, unless it has a newer record.
    void remove(const std::string& id, int64_t revision);

    /// Synchronises with a full read of the store at `revision`. Targets that are absent from `records` are removed
    /// unless they have a record newer than `revision`. `versionsSeenAt` is the present time if the node has read the
    /// records before.
    void replaceAll(const std::vector<std::pair<TargetRecord, int64_t>>& records, int64_t revision,
        std::optional<TimePoint> versionsSeenAt = std::nullopt);

    /// Selects the eligible target with the lowest cost and counts the request as in flight there.
    AcquireOutcome acquire(const TargetQuery& query, TimePoint now, Random& random);

    /// Subtracts the request's prompt from the pending prompts, because the target has started to respond.
    void markPromptRead(AcquiredTarget& target);

    /// Records that a request's response has not begun although it was due. Counts until the target responds to it or
    /// it is released.
    void markOverdue(AcquiredTarget& target);

    /// Records that the target's process stated that it is about to leave. It is not selected any more.
    /// Returns whether this is news.
    bool markLeaving(const AcquiredTarget& target);

    /// Records that the target's process asked for a pause, during which it is not selected. Returns the end of its
    /// pause.
    TimePoint pause(const AcquiredTarget& target, Duration duration, TimePoint now);

    /// Records whether the target's process stated in an answer that it is brittle: it fails if it has to refuse more
    /// requests in a second for want of room. No value if it did not say so. Returns whether this is news.
    bool recordBrittleness(const AcquiredTarget& target, std::optional<uint32_t> refusalLimit, TimePoint now);

    /// Ends the request in flight at the target and records how the attempt went.
    void release(const AcquiredTarget& target, const TargetQuery& query, TargetAttemptResult result, TimePoint now);

    /// Returns the records of all targets. Those that stated to this node that they leave are draining.
    std::vector<TargetRecord> records() const;

    /// Returns the number of targets of all services.
    size_t count() const;

    /// Returns the ids of all targets.
    std::set<std::string> ids() const;

    /// Returns the versions of the targets' software.
    std::set<ServiceVersion> softwareVersions() const;

    /// Sets the models of a target from a source that is newer than its record, for example an accepted order.
    void setModels(const std::string& service, const std::string& id, const std::vector<LoadedModel>& models);

    /// Replaces the loads of all other nodes together. They expire after TargetRegistrySettings::remoteLoadLifetime.
    /// Returns the targets that have stopped or resumed responding.
    std::vector<ResponsivenessChange> setRemoteLoads(const TargetWorkloads& loads, TimePoint now);

    /// Returns the ids of the targets that are avoided because recent requests of this node failed there.
    std::set<std::string> suspectTargets(TimePoint now) const;

    /// Returns this node's load by target id.
    TargetWorkloads loads() const;

    /// Returns this node's load by target id, with what brittle targets stated to it, for the other nodes.
    TargetWorkloads sharedLoads(TimePoint now) const;

    /// Returns this node's requests in flight by target id and model.
    InFlightByTargetAndModel inFlightByTargetAndModel() const;

private:
    struct TargetState {
        TargetRecord record;
        int64_t revision { 0 };
        TargetWorkload load;
        std::map<std::string, uint32_t> inFlightByModel; ///< Requests in flight by model.
        TimePoint versionSettledAt; ///< End of newVersionDelay.
        TimePoint suspectUntil;
        TimePoint fullUntil;
        TargetPace pace;
        BrittleTarget brittle;
        bool isUnresponsive { false }; ///< As of the last change of the loads.
        bool isLeaving { false };
        TimePoint pausedUntil;
        std::map<std::string, TimePoint> absentUntil; ///< By modelKey().
        uint32_t consecutiveFailures { 0 };
        TargetWorkload remoteLoad; ///< Of all other nodes together.
        TimePoint remoteLoadSetAt;
    };
    using Targets = std::map<std::string, TargetState>;
    struct Candidate {
        TargetState* target;
        double cost;
    };

    /// Calls `function` with the state of the target unless its process has ended since.
    template <typename Function> void withProcess(const AcquiredTarget& target, Function&& function);
    /// Returns when a target that was first seen at `seenAt` may be preferred.
    TimePoint versionSettledAt(
        const Targets& targets, const TargetRecord& record, std::optional<TimePoint> seenAt) const;
    /// Returns the key of the queried artifact in TargetState::absentUntil.
    static std::string modelKey(const TargetQuery& query);
    /// Returns whether another prompt would exceed the limit of pending prompt tokens and delay the target's streams.
    bool isPromptBacklogged(const TargetState& target, const TargetQuery& query, TimePoint now) const;
    /// Returns whether a request would wait at the engine for a whole round of other requests.
    bool isOverloaded(const TargetState& target, const TargetQuery& query, TimePoint now) const;
    /// Returns whether the last answer of any target of the service stated that it is brittle. That holds for targets
    /// that no node has had an answer from for a while, for example because they have just started.
    bool isServiceBrittle(const Targets& targets, TimePoint now) const;
    bool isBrittle(const TargetState& target, bool isServiceBrittle, TimePoint now) const;
    /// Returns whether this node may send a brittle target another request. `share` is its part of the slots.
    bool hasBrittleRoom(TargetState& target, uint32_t share, TimePoint now) const;
    /// Returns this node's part of the target's slots. `slotsBefore` is the number of slots of the targets before it,
    /// which determines the nodes that have one slot more than others.
    uint32_t shareOfSlots(const TargetState& target, size_t slotsBefore) const;
    double selectionCost(TargetState& target, TimePoint now) const;
    /// Returns the cost of a target that does not respond, or that this node is to leave to others until it is at full
    /// pace. Large fleets only: few nodes find out for themselves.
    double paceCost(TargetState& target, TimePoint now) const;
    static void clearOverdue(TargetState& target, const AcquiredTarget& acquired);
    /// Adds `cost` to the candidates that this node does not prefer.
    void addOtherTargetCost(std::vector<Candidate>& candidates, double cost) const;
    /// Returns the load of all nodes at the target, as far as other nodes' loads are current.
    TargetWorkload totalLoad(const TargetState& target, TimePoint now) const;

    TargetRegistrySettings m_settings;
    std::atomic<bool> m_isLargeFleet { false };
    std::atomic<size_t> m_nodeCount { 1 };
    std::atomic<size_t> m_nodePosition { 0 };
    Sharded<std::string, std::map<std::string, Targets>> m_services;
};

} // namespace cyclamenstair
