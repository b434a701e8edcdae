#pragma once

#include <string>
#include <vector>

namespace cyclamenstair {

/// Ids of the parts of a prompt, as stated by the caller. Empty if the caller states none.
struct PromptParts {
    std::vector<std::string> shared; ///< Parts that other prompts may have too, in the order of the prompt.
    std::string own; ///< The last part, which belongs to the request or its session.

    bool isEmpty() const { return shared.empty() && own.empty(); }
};

} // namespace cyclamenstair
