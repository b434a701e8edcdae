#include <Benchmarks/Soak/SoakFault.h>

namespace cyclamenstair {

std::vector<SoakFault> drawSoakFaults(const SoakSettings& settings, size_t targetCount)
{
    constexpr auto minDuration = milliseconds(200);
    constexpr double maxExtraMs = 2500;
    Random random(settings.seed);
    std::vector<SoakFault> faults;
    const auto scaled
        = [&](Duration duration) { return std::chrono::duration_cast<Duration>(duration * (2 * randomUnit(random))); };
    for (auto at = scaled(settings.meanFaultInterval); at < settings.duration;
         at += scaled(settings.meanFaultInterval)) {
        const auto& kinds = EnumNames<SoakFaultKind>::table;
        SoakFault fault;
        fault.at = at;
        fault.duration = minDuration + milliseconds(static_cast<int64_t>(maxExtraMs * randomUnit(random)));
        fault.kind = kinds[randomIndex(random, kinds.size())].value;
        const bool concernsTarget = fault.kind == SoakFaultKind::TruncateAnswers
            || fault.kind == SoakFaultKind::RefuseRequests || fault.kind == SoakFaultKind::SilentTarget;
        fault.subject = randomIndex(random, concernsTarget ? targetCount : settings.nodes);
        faults.push_back(fault);
    }
    return faults;
}

} // namespace cyclamenstair
