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
    /// Time after a refusal for a missing model during which the target's entry is not believed for that model.
    Duration absentPause { milliseconds(1500) };
};

/// What a request needs of a target.
struct TargetQuery {
    std::string service;
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the model itself.
    std::set<std::string> excluded; ///< Instances that have had the request.
};

/// A target with one request counted as in flight.
struct AcquiredTarget {
    std::string id;
    std::string address;
    std::string service;
};

/// Why no target was acquired.
enum class TargetShortage : uint8_t {
    NoTarget, ///< No ready target of the service is known, or all have had the request.
    ModelAbsent, ///< No ready target holds the model.
    AdapterAbsent, ///< Targets hold the model, but none the adapter.
};

template <> struct EnumNames<TargetShortage> {
    static constexpr auto table = std::to_array<EnumName<TargetShortage>>({
        { TargetShortage::NoTarget, "no_target" },
        { TargetShortage::ModelAbsent, "model_absent" },
        { TargetShortage::AdapterAbsent, "adapter_absent" },
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

    /// Ends the request's count at the target.
    void release(const AcquiredTarget& target, const TargetQuery& query, TargetVerdict verdict, TimePoint now);

    /// Returns the entries of all targets.
    std::vector<TargetRecord> records() const;

    /// Takes a newer statement of what a target holds than its entry, for example an order that was carried out.
    void noteModels(const std::string& service, const std::string& id, const std::vector<HeldModel>& models);

    /// Takes what another node has in flight, by target id. It lapses after TargetRegistrySettings::remoteValidity.
    void noteRemote(const std::string& node, const std::map<std::string, uint32_t>& inFlight, TimePoint now);

    /// Returns the targets that failed this node's last requests and get none for that reason.
    std::set<std::string> suspects(TimePoint now) const;

    /// Returns the requests in flight by target id.
    std::map<std::string, uint32_t> inFlight() const;

    /// Returns the requests in flight by target id and model.
    ModelRuns modelRuns() const;

private:
    struct RemoteLoad {
        uint32_t inFlight { 0 };
        TimePoint at;
    };
    struct TargetState {
        TargetRecord record;
        int64_t revision { 0 };
        uint32_t inFlight { 0 };
        std::map<std::string, uint32_t> modelRuns; ///< Requests in flight by model.
        TimePoint suspectUntil;
        TimePoint fullUntil;
        std::map<std::string, TimePoint> absentUntil; ///< By model, or model and adapter.
        uint32_t failuresInARow { 0 };
        std::map<std::string, RemoteLoad> remote; ///< By node id.
    };
    using Targets = std::map<std::string, TargetState>;

    static std::string artifactOf(const TargetQuery& query);
    double costOf(const TargetState& target, TimePoint now) const;
    uint32_t remoteInFlight(const TargetState& target, TimePoint now) const;

    TargetRegistrySettings m_settings;
    Sharded<std::string, std::map<std::string, Targets>> m_services;
};

} // namespace cyclamenstair
