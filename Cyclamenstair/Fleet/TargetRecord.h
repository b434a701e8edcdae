#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Whether a target accepts new requests, as stated by the target.
enum class TargetPhase : uint8_t {
    Ready,
    Draining,
};

template <> struct EnumNames<TargetPhase> {
    static constexpr auto table = std::to_array<EnumName<TargetPhase>>({
        { TargetPhase::Ready, "ready" },
        { TargetPhase::Draining, "draining" },
    });
};

/// Model in a target's memory.
struct LoadedModel {
    std::string name;
    std::set<std::string> adapters; ///< Loaded adapters of the model.
};

/// Requests in flight at a target, of one node or summed over nodes.
struct TargetWorkload {
    uint32_t inFlight { 0 };
    uint32_t pendingPromptTokens { 0 }; ///< Prompt tokens of requests in flight without a response so far.
    uint32_t overdue { 0 }; ///< Requests in flight whose response has not begun long after it was due.
    uint32_t answers { 0 }; ///< Answers since the target started or recovered; 0 at full pace, see TargetPace.
    uint32_t beyondShare { 0 }; ///< Requests beyond the nodes' parts of the slots of a brittle target.
    /// Refusals in a second that the target survives, the lowest number that nodes were told; 0 if it is not brittle.
    uint32_t brittleLimit { 0 };

    bool operator==(const TargetWorkload&) const = default;
};

/// Requests in flight by target id.
using TargetWorkloads = std::map<std::string, TargetWorkload>;

/// Requests in flight by target id and model.
using InFlightByTargetAndModel = std::map<std::string, std::map<std::string, uint32_t>>;

/// A target as registered in the store.
struct TargetRecord {
    std::string id; ///< Instance id; usually changes when the target restarts.
    std::string service;
    std::string address; ///< IP:PORT.
    std::string failureDomain;
    std::string softwareVersion; ///< Of the target's own software, not of its models.
    uint32_t slots { 0 };
    TargetPhase phase { TargetPhase::Ready };
    int64_t startedUnixMs { 0 }; ///< Start time, which distinguishes restarts of the same instance; 0 if not stated.
    std::vector<LoadedModel> models;
    std::set<std::string> cachedModels; ///< Models whose weights the target caches in main memory or on disk.

    /// Returns whether the target has loaded the model and, unless `adapter` is empty, the adapter.
    bool hasLoaded(const std::string& model, const std::string& adapter) const;
};

} // namespace cyclamenstair
