#include <Benchmarks/RequestMix.h>

#include <Cyclamenstair/Core/Random.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair::load {

namespace {

    constexpr uint32_t leastShortTokens = 4;
    constexpr uint32_t mostShortTokens = 12;
    constexpr uint32_t leastLongTokens = 64;
    constexpr uint32_t mostLongTokens = 128;
    constexpr double burstSpreadSeconds = 0.005;

    double rateAt(const std::vector<RatePoint>& rate, double seconds)
    {
        for (size_t i = 1; i < rate.size(); ++i) {
            const auto& from = rate[i - 1];
            const auto& to = rate[i];
            if (seconds <= to.atSeconds) {
                const double share = (seconds - from.atSeconds) / std::max(1e-9, to.atSeconds - from.atSeconds);
                return from.callsPerSecond + share * (to.callsPerSecond - from.callsPerSecond);
            }
        }
        return 0;
    }

    /// Arrival times of bursts by thinning, each burst with a geometric number of calls.
    std::vector<double> arrivals(const MixSettings& settings, Random& random)
    {
        double peak = 0;
        for (const auto& point : settings.rate)
            peak = std::max(peak, point.callsPerSecond);
        std::vector<double> times;
        std::exponential_distribution<double> gap(peak / settings.meanBurst);
        std::geometric_distribution<int> extraCalls(1 / settings.meanBurst);
        const double end = settings.rate.back().atSeconds;
        for (double time = gap(random); time < end; time += gap(random)) {
            if (randomUnit(random) * peak >= rateAt(settings.rate, time))
                continue;
            for (int left = 1 + extraCalls(random); left > 0; --left)
                times.push_back(time + randomUnit(random) * burstSpreadSeconds);
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    uint32_t uniform(Random& random, uint32_t least, uint32_t most)
    {
        return least + static_cast<uint32_t>(randomIndex(random, most - least + 1));
    }

    /// Picks a caller that has or has not long work.
    size_t pickCaller(const Deployment& deployment, bool hasLongWork, Random& random)
    {
        std::vector<size_t> fitting;
        for (size_t i = 0; i < deployment.callers.size(); ++i) {
            if (deployment.callers[i].hasLongWork == hasLongWork)
                fitting.push_back(i);
        }
        return fitting[randomIndex(random, fitting.size())];
    }

} // namespace

std::vector<PlannedCall> generateCalls(const Deployment& deployment, const MixSettings& settings)
{
    Random random(settings.seed);
    const auto artifacts = deployment.artifacts();
    // Models take the ranks 1 to M; adapters are less popular as a whole, because their ranks follow.
    std::vector<double> weights;
    for (size_t rank = 1; rank <= artifacts.size(); ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -settings.zipfExponent));
    std::discrete_distribution<size_t> popularity(weights.begin(), weights.end());

    std::vector<PlannedCall> calls;
    for (const double time : arrivals(settings, random)) {
        PlannedCall call;
        call.number = calls.size();
        call.atSeconds = time;
        const double draw = randomUnit(random);
        if (draw < settings.bookingShare) {
            call.kind = CallKind::Booking;
            call.artifact = deployment.serviceName;
            call.prompt = "key-" + std::to_string(settings.seed) + "-" + std::to_string(call.number);
        } else {
            const bool isLong = draw < settings.bookingShare + settings.longShare;
            call.workClass = isLong ? WorkClass::Long : WorkClass::Short;
            call.tokens = isLong ? uniform(random, leastLongTokens, mostLongTokens)
                                 : uniform(random, leastShortTokens, mostShortTokens);
            call.artifact = artifacts[popularity(random)];
            call.prompt = "Request " + std::to_string(settings.seed) + "-" + std::to_string(call.number)
                + ": which rule applies to this slot?";
            call.isStream = randomUnit(random) < settings.streamShare;
        }
        call.caller = pickCaller(deployment, call.workClass == WorkClass::Long, random);
        calls.push_back(std::move(call));
    }
    return calls;
}

double meanSlotSeconds(const Deployment& deployment, double longShare, double bookingShare)
{
    const double shortMs = deployment.engineMs((leastShortTokens + mostShortTokens) / 2.0);
    const double longMs = deployment.engineMs((leastLongTokens + mostLongTokens) / 2.0);
    return ((1 - longShare - bookingShare) * shortMs + longShare * longMs) / 1000;
}

} // namespace cyclamenstair::load
