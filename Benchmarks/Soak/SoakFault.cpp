#include <Benchmarks/Soak/SoakFault.h>

#include <algorithm>
#include <array>
#include <csignal>

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

    Duration drawDelay(double maxMs, Random& random)
    {
        return std::chrono::microseconds(static_cast<int64_t>(1000 * maxMs * randomUnit(random)));
    }

    /// Draws SIGHUP several times, SIGTERM or a replacement, and more of both until the end of the grace period.
    void drawBurst(SoakFault& fault, Random& random)
    {
        constexpr size_t maxReloads = 5;
        constexpr double maxStopDelayMs = 20;
        constexpr double maxLateDelayMs = 6000;
        const size_t reloads = randomIndex(random, maxReloads + 1);
        for (size_t i = 0; i < reloads; ++i)
            fault.signals.push_back({ drawDelay(maxStopDelayMs, random), SIGHUP, false });
        const auto stop = drawDelay(maxStopDelayMs, random);
        if (randomIndex(random, 2) == 0)
            fault.replaceDelay = stop;
        else
            fault.signals.push_back({ stop, SIGTERM, false });
        for (const int number : { SIGHUP, SIGTERM, SIGHUP, SIGTERM })
            fault.signals.push_back({ stop + drawDelay(maxLateDelayMs, random), number, true });
    }

    /// Draws a reload, a replacement or a restart that coincides with the settings being written.
    void drawRewrite(SoakFault& fault, Random& random)
    {
        constexpr double maxDelayMs = 20;
        fault.pause = drawDelay(maxDelayMs, random);
        const auto delay = drawDelay(maxDelayMs, random);
        const size_t choice = randomIndex(random, 3);
        if (choice == 0)
            fault.replaceDelay = delay;
        else
            fault.signals.push_back({ delay, choice == 1 ? SIGHUP : SIGKILL, false });
    }

    /// Makes a replacement a restart: no process then starts beside its predecessor.
    void startAfterEnd(SoakFault& fault)
    {
        if (!fault.replaceDelay)
            return;
        fault.signals.push_back({ *fault.replaceDelay, SIGTERM, false });
        fault.replaceDelay.reset();
    }

    std::vector<SoakFault> drawStress(const SoakSettings& settings)
    {
        constexpr uint64_t seedOfStress = 0x7374726573;
        constexpr std::array kinds { SoakFaultKind::SignalBurst, SoakFaultKind::RewriteSettings,
            SoakFaultKind::OverwriteSettings };
        Random random(settings.seed ^ seedOfStress);
        std::vector<SoakFault> faults;
        for (auto at = drawInterval(settings.meanStressInterval, random); at < settings.duration;
             at += drawInterval(settings.meanStressInterval, random)) {
            SoakFault fault { at, {}, kinds[randomIndex(random, kinds.size())] };
            fault.subject = randomIndex(random, settings.nodes);
            if (fault.kind == SoakFaultKind::SignalBurst)
                drawBurst(fault, random);
            else
                drawRewrite(fault, random);
            faults.push_back(fault);
        }
        return faults;
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
        // Cuts are drawn apart, as they must last longer than the others; so are the kinds after them, so that they do
        // not change the faults of a seed.
        fault.kind = kinds[randomIndex(random, static_cast<size_t>(SoakFaultKind::CutTargets))].value;
        const bool concernsTarget = fault.kind == SoakFaultKind::TruncateAnswers
            || fault.kind == SoakFaultKind::RefuseRequests || fault.kind == SoakFaultKind::SilentTarget;
        fault.subject = randomIndex(random, concernsTarget ? targetCount : settings.nodes);
        faults.push_back(fault);
    }
    for (const auto& others : { drawCuts(settings), drawStress(settings) })
        faults.insert(faults.end(), others.begin(), others.end());
    std::erase_if(faults, [&](const auto& fault) { return !settings.plays(fault.kind); });
    if (!settings.plays(SoakFaultKind::Replace)) {
        for (auto& fault : faults)
            startAfterEnd(fault);
    }
    std::stable_sort(faults.begin(), faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return faults;
}

} // namespace cyclamenstair
