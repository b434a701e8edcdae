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

/// Expected work of one attempt at its target.
struct AttemptWork {
    double tokens { 0 }; ///< Expected tokens.
    WorkClass workClass { WorkClass::Short };
};

/// What a routing policy knows of the request.
struct RouteQuery {
    std::string pool; ///< Targets whose speed can be compared.
    std::string failureDomain; ///< Domain of this node.
    AttemptWork work;
    std::optional<uint64_t> prefixHash; ///< Hash of the prompt's first bytes; no value for prompts without affinity.
    bool mayProbe { true }; ///< Whether a target on probation may get this request.
    TimePoint now;
};

} // namespace cyclamenstair
