#include <Cyclamenstair/Routing/WorkEstimator.h>

#include <bit>

namespace cyclamenstair {

namespace {

    /// Weight of a new sample in the moving average of response lengths.
    constexpr double newSampleWeight = 0.1;

    /// Observations required for a time estimate.
    constexpr size_t minSamples = 5;

    size_t lengthClassOf(uint32_t maxTokens) { return maxTokens == 0 ? 0 : std::bit_width(maxTokens) - 1; }

    double toMicroseconds(Duration time) { return static_cast<double>(time.count()); }

    Duration fromMicroseconds(double time) { return Duration(static_cast<Duration::rep>(time)); }

} // namespace

AttemptWork WorkEstimator::estimate(const std::string& model, uint32_t maxTokens) const
{
    const double ratio = m_models.withShard(model, [&](const Models& models) {
        const auto found = models.find(model);
        const double observed = found == models.end() ? 0 : found->second.lengthRatio[lengthClassOf(maxTokens)];
        return observed > 0 ? observed : 1;
    });
    const double tokens = ratio * maxTokens;
    return { tokens, tokens >= m_settings.longWorkTokens ? WorkClass::Long : WorkClass::Short };
}

void WorkEstimator::observeResponseTokens(const std::string& model, uint32_t maxTokens, uint32_t tokens)
{
    if (maxTokens == 0)
        return;
    const double ratio = std::min(1.0, static_cast<double>(tokens) / maxTokens);
    m_models.withShard(model, [&](Models& models) {
        auto& mean = models[model].lengthRatio[lengthClassOf(maxTokens)];
        // The mean starts at 1, so that a single short response does not make long work count as short.
        mean = (mean > 0 ? mean : 1) * (1 - newSampleWeight) + ratio * newSampleWeight;
    });
}

void WorkEstimator::observeFirstTokenTime(const std::string& model, Duration time)
{
    m_models.withShard(model, [&](Models& models) { models[model].firstToken.add(toMicroseconds(time)); });
}

void WorkEstimator::observeTokenTime(const std::string& model, Duration time)
{
    m_models.withShard(model, [&](Models& models) { models[model].perToken.add(toMicroseconds(time)); });
}

void WorkEstimator::observeBufferedResponseTime(const std::string& model, Duration time, double expectedTokens)
{
    m_models.withShard(model, [&](Models& models) {
        models[model].bufferedResponsePerToken.add(toMicroseconds(time) / (expectedTokens + fixedCostTokens));
    });
}

template <typename Window>
std::optional<double> WorkEstimator::medianFor(const std::string& model, Window ModelState::*window) const
{
    return m_models.withShard(model, [&](const Models& models) -> std::optional<double> {
        const auto found = models.find(model);
        if (found == models.end() || (found->second.*window).count() < minSamples)
            return std::nullopt;
        return (found->second.*window).median(0);
    });
}

std::optional<Duration> WorkEstimator::firstTokenTime(const std::string& model) const
{
    const auto median = medianFor(model, &ModelState::firstToken);
    return median ? std::optional(fromMicroseconds(*median)) : std::nullopt;
}

std::optional<Duration> WorkEstimator::tokenTime(const std::string& model) const
{
    const auto median = medianFor(model, &ModelState::perToken);
    return median ? std::optional(fromMicroseconds(*median)) : std::nullopt;
}

std::optional<Duration> WorkEstimator::bufferedResponseTime(const std::string& model, double expectedTokens) const
{
    const auto median = medianFor(model, &ModelState::bufferedResponsePerToken);
    return median ? std::optional(fromMicroseconds(*median * (expectedTokens + fixedCostTokens))) : std::nullopt;
}

Duration WorkEstimator::lateThreshold(Duration expected) const
{
    return std::max(m_settings.minLateThreshold, fromMicroseconds(m_settings.lateFactor * toMicroseconds(expected)));
}

Duration WorkEstimator::probeLateThreshold(Duration expected) const
{
    return fromMicroseconds(m_settings.probeLateFactor * toMicroseconds(expected));
}

Duration WorkEstimator::stallThreshold(const std::string& model) const
{
    const double expected = medianFor(model, &ModelState::perToken).value_or(0);
    return std::max(m_settings.minStallThreshold, fromMicroseconds(m_settings.stallTokenTimes * expected));
}

} // namespace cyclamenstair
