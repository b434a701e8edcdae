#include <Benchmarks/RequestMix.h>

#include <Cyclamenstair/Core/Random.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair::load {

namespace {

    constexpr uint32_t minShortTokens = 4;
    constexpr uint32_t maxShortTokens = 12;
    constexpr uint32_t minLongTokens = 64;
    constexpr uint32_t maxLongTokens = 128;
    constexpr double burstSpreadSeconds = 0.005;

    double rateAt(const std::vector<RatePoint>& rate, double seconds)
    {
        for (size_t i = 1; i < rate.size(); ++i) {
            const auto& from = rate[i - 1];
            const auto& to = rate[i];
            if (seconds <= to.atSeconds) {
                const double share = (seconds - from.atSeconds) / std::max(1e-9, to.atSeconds - from.atSeconds);
                return from.requestsPerSecond + share * (to.requestsPerSecond - from.requestsPerSecond);
            }
        }
        return 0;
    }

    /// Returns sorted arrival times: bursts from a Poisson process thinned to the rate curve, with a geometric number
    /// of requests per burst.
    std::vector<double> generateArrivalTimes(const MixSettings& settings, Random& random)
    {
        double peak = 0;
        for (const auto& point : settings.rate)
            peak = std::max(peak, point.requestsPerSecond);
        std::vector<double> times;
        std::exponential_distribution<double> burstInterval(peak / settings.meanBurst);
        std::geometric_distribution<int> additionalRequests(1 / settings.meanBurst);
        const double end = settings.rate.back().atSeconds;
        for (double time = burstInterval(random); time < end; time += burstInterval(random)) {
            if (randomUnit(random) * peak >= rateAt(settings.rate, time))
                continue;
            for (int remaining = 1 + additionalRequests(random); remaining > 0; --remaining)
                times.push_back(time + randomUnit(random) * burstSpreadSeconds);
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    uint32_t randomBetween(Random& random, uint32_t minValue, uint32_t maxValue)
    {
        return minValue + static_cast<uint32_t>(randomIndex(random, maxValue - minValue + 1));
    }

    /// Picks a caller that sends long work, or one that does not.
    size_t pickCaller(const Deployment& deployment, bool sendsLongWork, Random& random)
    {
        std::vector<size_t> eligibleCallers;
        for (size_t i = 0; i < deployment.callers.size(); ++i) {
            if (deployment.callers[i].sendsLongWork == sendsLongWork)
                eligibleCallers.push_back(i);
        }
        return eligibleCallers[randomIndex(random, eligibleCallers.size())];
    }

} // namespace

std::vector<PlannedRequest> generateRequests(const Deployment& deployment, const MixSettings& settings)
{
    Random random(settings.seed);
    const auto artifacts = deployment.artifacts();
    // Popularity ranks: models first, then adapters, which are therefore requested less often.
    std::vector<double> weights;
    for (size_t rank = 1; rank <= artifacts.size(); ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -settings.zipfExponent));
    std::discrete_distribution<size_t> popularity(weights.begin(), weights.end());

    std::vector<PlannedRequest> requests;
    for (const double time : generateArrivalTimes(settings, random)) {
        PlannedRequest request;
        request.number = requests.size();
        request.atSeconds = time;
        const double draw = randomUnit(random);
        if (draw < settings.bookingShare) {
            request.kind = RequestKind::Booking;
            request.artifact = deployment.serviceName;
            request.prompt = "key-" + std::to_string(settings.seed) + "-" + std::to_string(request.number);
        } else {
            const bool isLong = draw < settings.bookingShare + settings.longWorkShare;
            request.workClass = isLong ? WorkClass::Long : WorkClass::Short;
            request.tokens = isLong ? randomBetween(random, minLongTokens, maxLongTokens)
                                    : randomBetween(random, minShortTokens, maxShortTokens);
            request.artifact = artifacts[popularity(random)];
            request.prompt = "Request " + std::to_string(settings.seed) + "-" + std::to_string(request.number)
                + ": which rule applies to this slot?";
            request.isStream = randomUnit(random) < settings.streamShare;
        }
        request.caller = pickCaller(deployment, request.workClass == WorkClass::Long, random);
        requests.push_back(std::move(request));
    }
    return requests;
}

double meanSlotSeconds(const Deployment& deployment, double longWorkShare, double bookingShare)
{
    const double shortMs = deployment.engineMs((minShortTokens + maxShortTokens) / 2.0);
    const double longMs = deployment.engineMs((minLongTokens + maxLongTokens) / 2.0);
    return ((1 - longWorkShare - bookingShare) * shortMs + longWorkShare * longMs) / 1000;
}

} // namespace cyclamenstair::load
