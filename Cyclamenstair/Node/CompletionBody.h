#pragma once

#include <Cyclamenstair/Node/Request.h>

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace cyclamenstair {

/// JSON body of a completion request, from which each attempt's body is made.
class CompletionBody {
public:
    /// Returns no value if the request is no completion.
    static std::optional<CompletionBody> parse(const Request& request);

    CompletionBody(CompletionBody&&) noexcept;
    ~CompletionBody();

    uint32_t maxTokens() const;

    /// Returns the hash of the model and the prompt's first 256 bytes; no value for shorter prompts, which an engine
    /// reads quickly without its cache.
    std::optional<uint64_t> prefixHash() const;

    /// Returns the body of an attempt: with the engine's priority, and with the tokens that the caller already has.
    std::string encode(int priority, uint32_t resumeFrom) const;

private:
    explicit CompletionBody(nlohmann::json body);

    std::unique_ptr<nlohmann::json> m_body;
};

/// Returns the engine's priority of a request; higher values go first.
int enginePriority(Priority priority, WorkClass workClass);

} // namespace cyclamenstair
