#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Routing/RouteQuery.h>
#include <Cyclamenstair/Routing/SampleWindow.h>

#include <array>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Settings of a WorkEstimator.
struct WorkEstimatorSettings {
    double longWorkTokens { 512 }; ///< Expected tokens from which on work is long.
    double lateFactor { 3 }; ///< Multiple of the expected time from which on an answer is late.
    double probeLateFactor { 1.5 }; ///< The same for a probe of a target that is expected to be slow.
    Duration minLateTime { milliseconds(20) }; ///< Shorter delays are noise of the network and the scheduler.
    double stallTokens { 20 }; ///< Expected token times without a token from which on a stream stalls.
    Duration minStallTime { milliseconds(300) }; ///< Engines pause between tokens while they prefill other prompts.
};

/// Expected work and times of requests, from `max_tokens` and from what was observed for the model. Callable from many
/// threads.
class WorkEstimator {
public:
    explicit WorkEstimator(WorkEstimatorSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Returns the expected work of a request for up to `maxTokens` tokens.
    AttemptWork estimate(const std::string& model, uint32_t maxTokens) const;

    /// Takes the length of a complete answer.
    void observeTokens(const std::string& model, uint32_t maxTokens, uint32_t tokens);

    /// Takes the time to the first token of a stream.
    void observeFirstToken(const std::string& model, Duration time);

    /// Takes the mean time between tokens of a stream.
    void observeTokenTime(const std::string& model, Duration time);

    /// Takes the time to a whole answer with the expected number of tokens.
    void observeWhole(const std::string& model, Duration time, double expectedTokens);

    /// Returns the expected time to the first token of a stream, or no value before enough was observed.
    std::optional<Duration> firstTokenTime(const std::string& model) const;

    /// Returns the expected time between tokens, or no value before enough was observed.
    std::optional<Duration> tokenTime(const std::string& model) const;

    /// Returns the expected time to a whole answer, or no value before enough was observed.
    std::optional<Duration> wholeTime(const std::string& model, double expectedTokens) const;

    /// Returns the time after which an answer that is expected after `expected` is late.
    Duration lateAfter(Duration expected) const;

    /// Returns the time after which a probe's answer that is expected after `expected` is late.
    Duration probeLateAfter(Duration expected) const;

    /// Returns the time without a token after which a stream stalls.
    Duration stallAfter(const std::string& model) const;

private:
    /// Ranges of `max_tokens`, one for each power of two.
    static constexpr size_t lengthClasses = 32;

    /// Tokens that stand for the fixed part of a whole answer's time.
    static constexpr double fixedTokens = 4;

    struct ModelState {
        std::array<double, lengthClasses> lengthRatio {}; ///< Mean of tokens / max_tokens; 0 if nothing was observed.
        SampleWindow<64> firstToken; ///< In microseconds, as the following.
        SampleWindow<64> perToken;
        SampleWindow<64> wholePerToken;
    };
    using Models = std::unordered_map<std::string, ModelState>;

    template <typename Window>
    std::optional<double> medianFor(const std::string& model, Window ModelState::*window) const;

    WorkEstimatorSettings m_settings;
    Sharded<std::string, Models> m_models;
};

} // namespace cyclamenstair
