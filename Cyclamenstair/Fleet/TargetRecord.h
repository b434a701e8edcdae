#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// What a target says about taking work.
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
struct HeldModel {
    std::string name;
    std::set<std::string> adapters;
};

/// Requests of one node at a target.
struct TargetUse {
    uint32_t inFlight { 0 };
    uint32_t unreadTokens { 0 }; ///< Prompt tokens of those that the target has not begun to answer.

    bool operator==(const TargetUse&) const = default;
};

/// Requests in flight by target id and model.
using ModelRuns = std::map<std::string, std::map<std::string, uint32_t>>;

/// A target as it registered itself.
struct TargetRecord {
    std::string id; ///< Instance; a restart mostly gets a new one.
    std::string service;
    std::string address; ///< IP:PORT.
    std::string failureDomain;
    uint32_t slots { 0 };
    TargetPhase phase { TargetPhase::Ready };
    int64_t startedUnixMs { 0 }; ///< Tells two runs of the same instance apart; 0 if not stated.
    std::vector<HeldModel> models;
    std::set<std::string> cachedModels; ///< Weights in the target's main memory or on its disk, which load fast.

    /// Returns whether the target holds the model and, unless it is empty, the adapter.
    bool holds(const std::string& model, const std::string& adapter) const;
};

} // namespace cyclamenstair
