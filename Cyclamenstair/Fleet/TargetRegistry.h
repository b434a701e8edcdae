#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Fleet/TargetRecord.h>

#include <map>
#include <optional>
#include <variant>

namespace cyclamenstair {

/// Settings of a TargetRegistry.
struct TargetRegistrySettings {
    std::string failureDomain; ///< Of this node; targets in it are preferred among equals.
    /// Load, in requests per slot, that a target in another failure domain has to be below one in the node's own
    /// domain. Traffic between domains is billed, but a queue costs more.
    double remoteHandicap { 0.02 };
    /// Time for which a target that failed to connect, or cut an answer off, gets no requests if others are there.
    Duration suspicion { milliseconds(1500) };
    /// Time for which a target that refused a request for lack of room gets no requests if others are there.
    Duration fullPause { milliseconds(250) };
    /// Time for which another node's load is counted after it was heard of.
    Duration remoteValidity { milliseconds(2000) };
    /// Prompt tokens that an engine may have before it unread when it is sent another prompt. A step reads up to 2,048
    /// tokens in some 100 ms, and an event of three steps is on time within 300 ms.
    uint32_t maxUnreadTokens { 1800 };
    /// Load, in requests per slot, that this many unread tokens count as. They are read within some 100 ms, while
    /// running requests stay for seconds, so they decide among targets that are about equally loaded only.
    double unreadWeight { 0.1 };
    /// Time after a refusal for a missing model during which the target's entry is not believed for that model.
    Duration absentPause { milliseconds(1500) };
};

/// What a request needs of a target.
struct TargetQuery {
    std::string service;
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the model itself.
    std::set<std::string> excluded; ///< Instances that have had the request.
    uint32_t promptTokens { 0 }; ///< 0 if unknown, and for plain services.
    bool mayWait { false }; ///< Whether targets that have enough prompts before them are left out.
};

/// A target with one request counted as in flight.
struct AcquiredTarget {
    std::string id;
    std::string address;
    std::string service;
    uint32_t unreadTokens { 0 }; ///< Prompt tokens that the target is counted to have before it for the request.
};

/// Why no target was acquired.
enum class TargetShortage : uint8_t {
    NoTarget, ///< No ready target of the service is known, or all have had the request.
    ModelAbsent, ///< No ready target holds the model.
    AdapterAbsent, ///< Targets hold the model, but none the adapter.
    PromptsUnread, ///< Targets hold what is needed, but have enough prompts before them.
};

template <> struct EnumNames<TargetShortage> {
    static constexpr auto table = std::to_array<EnumName<TargetShortage>>({
        { TargetShortage::NoTarget, "no_target" },
        { TargetShortage::ModelAbsent, "model_absent" },
        { TargetShortage::AdapterAbsent, "adapter_absent" },
        { TargetShortage::PromptsUnread, "prompts_unread" },
    });
};

using AcquireOutcome = std::variant<AcquiredTarget, TargetShortage>;

/// How an attempt at a target ended, as far as it says something about the target.
enum class TargetVerdict : uint8_t {
    Good,
    Full, ///< The target refused for lack of room.
    Absent, ///< The target is another instance, or lacks the model.
    Failed, ///< No connection, or the answer broke off.
    NoVerdict, ///< The attempt was cancelled.
};

template <> struct EnumNames<TargetVerdict> {
    static constexpr auto table = std::to_array<EnumName<TargetVerdict>>({
        { TargetVerdict::Good, "good" },
        { TargetVerdict::Full, "full" },
        { TargetVerdict::Absent, "absent" },
        { TargetVerdict::Failed, "failed" },
        { TargetVerdict::NoVerdict, "no_verdict" },
    });
};

/// Targets that are registered, with this node's own observations of each. State is sharded by service. Callable from
/// many threads.
class TargetRegistry {
public:
    explicit TargetRegistry(TargetRegistrySettings settings)
        : m_settings(std::move(settings))
    {
    }

    /// Takes a target's entry as written at `revision` of the store; older revisions are ignored.
    void update(const TargetRecord& record, int64_t revision);

    /// Removes the target whose entry was deleted at `revision`.
    void remove(const std::string& id, int64_t revision);

    /// Replaces all entries by a full read at `revision`; targets that are not in it and were last seen before are
    /// removed.
    void replaceAll(const std::vector<std::pair<TargetRecord, int64_t>>& records, int64_t revision);

    /// Chooses the least loaded usable target and counts the request as in flight there.
    AcquireOutcome acquire(const TargetQuery& query, TimePoint now, Random& random);

    /// Notes that the target has read the request's prompt.
    void notePromptRead(AcquiredTarget& target);

    /// Ends the request's count at the target.
    void release(const AcquiredTarget& target, const TargetQuery& query, TargetVerdict verdict, TimePoint now);

    /// Returns the entries of all targets.
    std::vector<TargetRecord> records() const;

    /// Takes a newer statement of what a target holds than its entry, for example an order that was carried out.
    void noteModels(const std::string& service, const std::string& id, const std::vector<HeldModel>& models);

    /// Takes what another node has in flight, by target id. It lapses after TargetRegistrySettings::remoteValidity.
    void noteRemote(const std::string& node, const std::map<std::string, TargetUse>& loads, TimePoint now);

    /// Returns the targets that failed this node's last requests and get none for that reason.
    std::set<std::string> suspects(TimePoint now) const;

    /// Returns this node's load by target id.
    std::map<std::string, TargetUse> loads() const;

    /// Returns the requests in flight by target id and model.
    ModelRuns modelRuns() const;

private:
    struct RemoteLoad {
        TargetUse load;
        TimePoint at;
    };
    struct TargetState {
        TargetRecord record;
        int64_t revision { 0 };
        TargetUse load;
        std::map<std::string, uint32_t> modelRuns; ///< Requests in flight by model.
        TimePoint suspectUntil;
        TimePoint fullUntil;
        std::map<std::string, TimePoint> absentUntil; ///< By model, or model and adapter.
        uint32_t failuresInARow { 0 };
        std::map<std::string, RemoteLoad> remote; ///< By node id.
    };
    using Targets = std::map<std::string, TargetState>;

    static std::string artifactOf(const TargetQuery& query);
    /// Returns whether the target has as many prompts before it as are read without delaying its streams.
    bool isReading(const TargetState& target, const TargetQuery& query, TimePoint now) const;
    double costOf(const TargetState& target, TimePoint now) const;
    /// Returns the load of all nodes at the target.
    TargetUse totalLoad(const TargetState& target, TimePoint now) const;

    TargetRegistrySettings m_settings;
    Sharded<std::string, std::map<std::string, Targets>> m_services;
};

} // namespace cyclamenstair
