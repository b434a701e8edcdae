#pragma once

#include <Cyclamenstair/Core/Priority.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenstair {

/// A target that holds the artifact of a request.
struct RouteCandidate {
    std::string target;
    std::string address;
    std::string failureDomain;
};

/// Expected work of one attempt.
struct AttemptWork {
    double tokens { 0 };
    WorkClass workClass { WorkClass::Short };
};

/// Properties of a request that routing depends on.
struct RouteQuery {
    std::string pool; ///< Group of targets with comparable speed.
    std::string failureDomain; ///< Failure domain of this node.
    AttemptWork work;
    std::optional<uint64_t> prefixHash; ///< Hash of the prompt's first bytes; no value if the prompt has no affinity.
    bool mayProbe { true }; ///< Whether the request may be sent to a target on probation as a probe.
    TimePoint now;
};

} // namespace cyclamenstair
