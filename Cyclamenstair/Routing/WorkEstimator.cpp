#include <Cyclamenstair/Routing/WorkEstimator.h>

#include <bit>

namespace cyclamenstair {

namespace {

    /// Weight of a new answer in the mean length.
    constexpr double lengthWeight = 0.1;

    /// Observations that a time estimate needs.
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

void WorkEstimator::observeTokens(const std::string& model, uint32_t maxTokens, uint32_t tokens)
{
    if (maxTokens == 0)
        return;
    const double ratio = std::min(1.0, static_cast<double>(tokens) / maxTokens);
    m_models.withShard(model, [&](Models& models) {
        auto& mean = models[model].lengthRatio[lengthClassOf(maxTokens)];
        // The mean starts at 1, so that one short answer does not make long work count as short.
        mean = (mean > 0 ? mean : 1) * (1 - lengthWeight) + ratio * lengthWeight;
    });
}

void WorkEstimator::observeFirstToken(const std::string& model, Duration time)
{
    m_models.withShard(model, [&](Models& models) { models[model].firstToken.add(toMicroseconds(time)); });
}

void WorkEstimator::observeTokenTime(const std::string& model, Duration time)
{
    m_models.withShard(model, [&](Models& models) { models[model].perToken.add(toMicroseconds(time)); });
}

void WorkEstimator::observeWhole(const std::string& model, Duration time, double expectedTokens)
{
    m_models.withShard(model, [&](Models& models) {
        models[model].wholePerToken.add(toMicroseconds(time) / (expectedTokens + fixedTokens));
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

std::optional<Duration> WorkEstimator::wholeTime(const std::string& model, double expectedTokens) const
{
    const auto median = medianFor(model, &ModelState::wholePerToken);
    return median ? std::optional(fromMicroseconds(*median * (expectedTokens + fixedTokens))) : std::nullopt;
}

Duration WorkEstimator::lateAfter(Duration expected) const
{
    return std::max(m_settings.minLateTime, fromMicroseconds(m_settings.lateFactor * toMicroseconds(expected)));
}

Duration WorkEstimator::probeLateAfter(Duration expected) const
{
    return fromMicroseconds(m_settings.probeLateFactor * toMicroseconds(expected));
}

Duration WorkEstimator::stallAfter(const std::string& model) const
{
    const double expected = medianFor(model, &ModelState::perToken).value_or(0);
    return std::max(m_settings.minStallTime, fromMicroseconds(m_settings.stallTokens * expected));
}

} // namespace cyclamenstair
