#include <Benchmarks/Soak/SoakFault.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr double maxExtraMs = 2500; ///< Of a fault's duration.

    Duration drawInterval(Duration mean, Random& random)
    {
        return std::chrono::duration_cast<Duration>(mean * (2 * randomUnit(random)));
    }

    Duration drawDuration(Duration minimum, Random& random)
    {
        return minimum + milliseconds(static_cast<int64_t>(maxExtraMs * randomUnit(random)));
    }

    std::vector<SoakFault> drawCuts(const SoakSettings& settings)
    {
        constexpr uint64_t seedOfCuts = 0x63757473;
        /// Beyond the time after which callers of a node that was cut off are served again.
        constexpr auto minDuration = milliseconds(4500);
        const auto& modes = EnumNames<LinkMode>::table;
        Random random(settings.seed ^ seedOfCuts);
        std::vector<SoakFault> cuts;
        for (auto at = drawInterval(settings.meanCutInterval, random); at < settings.duration;
             at += drawInterval(settings.meanCutInterval, random)) {
            SoakFault cut { at, drawDuration(minDuration, random), SoakFaultKind::CutTargets };
            cut.subject = randomIndex(random, settings.nodes);
            cut.cutNodes = 1 + randomIndex(random, std::max<size_t>(2, settings.nodes) - 1);
            cut.linkMode = modes[1 + randomIndex(random, modes.size() - 1)].value;
            cuts.push_back(cut);
        }
        return cuts;
    }

} // namespace

std::vector<SoakFault> drawSoakFaults(const SoakSettings& settings, size_t targetCount)
{
    constexpr auto minDuration = milliseconds(200);
    Random random(settings.seed);
    std::vector<SoakFault> faults;
    for (auto at = drawInterval(settings.meanFaultInterval, random); at < settings.duration;
         at += drawInterval(settings.meanFaultInterval, random)) {
        const auto& kinds = EnumNames<SoakFaultKind>::table;
        SoakFault fault;
        fault.at = at;
        fault.duration = drawDuration(minDuration, random);
        // Cuts, the last kind, are drawn apart, as they must last longer than the others.
        fault.kind = kinds[randomIndex(random, kinds.size() - 1)].value;
        const bool concernsTarget = fault.kind == SoakFaultKind::TruncateAnswers
            || fault.kind == SoakFaultKind::RefuseRequests || fault.kind == SoakFaultKind::SilentTarget;
        fault.subject = randomIndex(random, concernsTarget ? targetCount : settings.nodes);
        faults.push_back(fault);
    }
    const auto cuts = drawCuts(settings);
    faults.insert(faults.end(), cuts.begin(), cuts.end());
    std::stable_sort(faults.begin(), faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return faults;
}

} // namespace cyclamenstair
