#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenstair {

/// This node's own observations of one target.
struct TargetLoad {
    uint32_t inFlight { 0 }; ///< Attempts of this node that the target is working on.
    uint64_t finished { 0 };
    uint64_t failed { 0 };
};

/// Own observations of all targets, by target id. Callable from many threads.
class TargetTable {
public:
    /// Records that an attempt was sent to the target.
    void beginAttempt(const std::string& target);

    /// Records that an attempt ended.
    void endAttempt(const std::string& target, bool isSuccess);

    TargetLoad load(const std::string& target) const;

private:
    using Loads = std::unordered_map<std::string, TargetLoad>;
    Sharded<std::string, Loads> m_shards;
};

} // namespace cyclamenstair
