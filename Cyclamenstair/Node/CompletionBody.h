#pragma once

#include <Cyclamenstair/Node/Request.h>

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace cyclamenstair {

/// Parsed JSON body of a completion request, from which the body of each attempt is encoded.
class CompletionBody {
public:
    /// Returns no value if the request is not a completion.
    static std::optional<CompletionBody> parse(const Request& request);

    CompletionBody(CompletionBody&&) noexcept;
    ~CompletionBody();

    uint32_t maxTokens() const;

    /// Returns the hash of the model and the first 256 bytes of the prompt. Returns no value for shorter prompts, whose
    /// prefill is fast without the engine's prefix cache.
    std::optional<uint64_t> prefixHash() const;

    /// Returns the body of an attempt with the engine priority and, if not 0, the number of tokens after which to
    /// resume.
    std::string encode(int priority, uint32_t resumeFrom) const;

private:
    explicit CompletionBody(nlohmann::json body);

    std::unique_ptr<nlohmann::json> m_body;
};

/// Returns the engine priority of a request; engines run higher values first.
int enginePriority(Priority priority, WorkClass workClass);

} // namespace cyclamenstair
