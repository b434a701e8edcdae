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
    double longWorkTokens { 512 }; ///< Expected tokens at which work counts as long.
    double lateFactor { 3 }; ///< Multiple of the expected time after which a response is late.
    double probeLateFactor { 1.5 }; ///< The same for a probe of a target on probation, which is expected to be slow.
    Duration minLateThreshold { milliseconds(20) }; ///< Shorter delays are network and scheduler noise.
    double stallTokenTimes { 20 }; ///< Multiple of the expected time between tokens after which a stream has stalled.
    /// Engines pause between tokens while they prefill other prompts.
    Duration minStallThreshold { milliseconds(300) };
};

/// Estimates the work and the response times of requests from `max_tokens` and the model's earlier responses.
/// Thread-safe.
class WorkEstimator {
public:
    explicit WorkEstimator(WorkEstimatorSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Returns the expected work of a request for up to `maxTokens` tokens.
    AttemptWork estimate(const std::string& model, uint32_t maxTokens) const;

    /// Records the length of a complete response.
    void observeResponseTokens(const std::string& model, uint32_t maxTokens, uint32_t tokens);

    /// Records the time to the first token of a stream.
    void observeFirstTokenTime(const std::string& model, Duration time);

    /// Records the mean time between tokens of a stream.
    void observeTokenTime(const std::string& model, Duration time);

    /// Records the time to a buffered response that was expected to have `expectedTokens` tokens.
    void observeBufferedResponseTime(const std::string& model, Duration time, double expectedTokens);

    /// Returns the expected time to the first token of a stream, or no value with too few observations.
    std::optional<Duration> firstTokenTime(const std::string& model) const;

    /// Returns the expected time between tokens, or no value with too few observations.
    std::optional<Duration> tokenTime(const std::string& model) const;

    /// Returns the expected time to a buffered response, or no value with too few observations.
    std::optional<Duration> bufferedResponseTime(const std::string& model, double expectedTokens) const;

    /// Returns the time after which a response with the expected time `expected` is late.
    Duration lateThreshold(Duration expected) const;

    /// Returns the time after which a probe's response with the expected time `expected` is late.
    Duration probeLateThreshold(Duration expected) const;

    /// Returns the time without a token after which a stream has stalled.
    Duration stallThreshold(const std::string& model) const;

private:
    /// Ranges of `max_tokens`, one for each power of two.
    static constexpr size_t lengthClassCount = 32;

    /// Fixed part of a buffered response's time, in tokens.
    static constexpr double fixedCostTokens = 4;

    struct ModelState {
        std::array<double, lengthClassCount> lengthRatio {}; ///< Mean of tokens / max_tokens; 0 without observations.
        SampleWindow<64> firstToken; ///< In microseconds, like `perToken` and `bufferedResponsePerToken`.
        SampleWindow<64> perToken;
        SampleWindow<64> bufferedResponsePerToken;
    };
    using Models = std::unordered_map<std::string, ModelState>;

    template <typename Window>
    std::optional<double> medianFor(const std::string& model, Window ModelState::*window) const;

    WorkEstimatorSettings m_settings;
    Sharded<std::string, Models> m_models;
};

} // namespace cyclamenstair
