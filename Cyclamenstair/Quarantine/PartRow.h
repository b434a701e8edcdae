#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenstair {

/// A request whose unfinished answer was lost because its target failed.
struct LostAnswerRow {
    uint64_t attempt { 0 }; ///< Identifies the attempt among those of all nodes.
    uint64_t request { 0 }; ///< Hash of the prompt's own part, which repeats of the request share.
    Duration age {}; ///< Time since the loss.

    bool operator==(const LostAnswerRow&) const = default;
};

/// What a node knows of a prompt part, with times relative to the time of sending.
struct PartRow {
    std::string part;
    uint32_t generation { 0 }; ///< How often the evidence was discarded; evidence of lower ones is void.
    std::vector<LostAnswerRow> lostAnswers;
    bool hadContinuedAnswers { false }; ///< Answers with the part continued before the first lost one.
    Duration quarantineLeft {}; ///< Zero if the part is not quarantined.
    uint32_t quarantineCount { 0 }; ///< How often it was quarantined in this generation.

    bool operator==(const PartRow&) const = default;
};

} // namespace cyclamenstair
