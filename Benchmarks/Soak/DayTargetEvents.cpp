#include <Benchmarks/Soak/DayEvents.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr double defaultShare = 0.3;
    constexpr double defaultStrength = 0.05;
    constexpr double defaultBurst = 1.5;
    constexpr auto drainTime = std::chrono::seconds(2); ///< Of a target that leaves.

} // namespace

bool DayEvents::playOnCallers(const SiteEvent& event)
{
    auto& callers = m_deployment->callers;
    const auto changeFor = [&](const std::function<void(CallerBehaviour&, bool)>& function) {
        callers.change([&](CallerBehaviour& behaviour) { function(behaviour, true); });
        m_deployment->schedule(event.duration,
            [&callers, function] { callers.change([&](CallerBehaviour& behaviour) { function(behaviour, false); }); });
    };
    const double share = event.share.value_or(defaultShare);
    switch (event.kind) {
    case SiteEventKind::Burst: {
        const double factor = event.factor.value_or(defaultBurst);
        changeFor([factor, kind = event.requestKind](CallerBehaviour& behaviour, bool isOn) {
            auto& current = behaviour.rateFactors.try_emplace(kind, 1).first->second;
            current = isOn ? current * factor : current / factor;
        });
        return true;
    }
    case SiteEventKind::Shift:
        changeFor([share](CallerBehaviour& behaviour, bool isOn) { behaviour.movedShare = isOn ? share : 0; });
        return true;
    case SiteEventKind::RetryAbuse:
        changeFor([share, factor = event.factor.value_or(2)](CallerBehaviour& behaviour, bool isOn) {
            behaviour.insistentShare = isOn ? share : 0;
            behaviour.retryFactor = factor;
        });
        return true;
    case SiteEventKind::GiveUp:
        changeFor([share, factor = event.factor](CallerBehaviour& behaviour, bool isOn) {
            behaviour.impatientShare = isOn ? share : 0;
            if (factor)
                behaviour.impatientTime = milliseconds(static_cast<int64_t>(*factor));
        });
        return true;
    case SiteEventKind::DemandShift:
        callers.change(
            [count = event.count.value_or(1)](CallerBehaviour& behaviour) { behaviour.demandShift += count; });
        return true;
    default:
        return false;
    }
}

void DayEvents::setFault(const SiteEvent& event, TargetFaultKind kind, double strength)
{
    auto& targets = m_deployment->targets;
    const auto chosen = targets.draw(event.service, event.share.value_or(defaultShare), m_deployment->random);
    for (const auto index : chosen)
        targets.target(index).setFault(kind, strength);
    m_deployment->disturb(std::nullopt, event.duration);
    m_deployment->schedule(event.duration, [&targets, chosen, kind] {
        for (const auto index : chosen)
            targets.target(index).setFault(kind, 0);
    });
}

void DayEvents::restartTargets(const SiteEvent& event)
{
    auto& targets = m_deployment->targets;
    const auto chosen = targets.draw(event.service, event.share.value_or(defaultShare), m_deployment->random);
    m_deployment->disturb(std::nullopt, event.duration);
    const bool isCrash = event.kind == SiteEventKind::TargetCrash;
    const bool isShortNotice = hasVariant(event, "spot");
    const auto remaining
        = isShortNotice ? Duration(static_cast<int64_t>(event.factor.value_or(2) * 1e6)) : Duration(drainTime);
    Duration delay {};
    for (const auto index : chosen) {
        if (isCrash) {
            targets.crash(index);
            m_deployment->schedule(event.duration, [&targets, index] { targets.restart(index); });
            continue;
        }
        m_deployment->schedule(delay, [&targets, index, isShortNotice, remaining] {
            targets.target(index).drain(isShortNotice ? std::optional(remaining) : std::nullopt);
        });
        // A target goes on for some time after its drain time unless it is taken away.
        const auto end = delay + remaining + (isShortNotice ? Duration {} : Duration(drainTime));
        m_deployment->schedule(end, [&targets, index] { targets.crash(index); });
        if (event.kind == SiteEventKind::Release) {
            m_deployment->schedule(end + event.gap, [&targets, index] { targets.restart(index); });
            delay += event.gap;
        }
    }
}

bool DayEvents::playOnTargets(const SiteEvent& event)
{
    const double strength = event.factor.value_or(defaultStrength);
    switch (event.kind) {
    case SiteEventKind::TargetCrash:
    case SiteEventKind::Release:
    case SiteEventKind::ScaleIn:
        restartTargets(event);
        return true;
    case SiteEventKind::TargetErrors:
        setFault(event, hasVariant(event, "reset") ? TargetFaultKind::ResetAnswers : TargetFaultKind::FailRequests,
            strength);
        return true;
    case SiteEventKind::TargetSlow:
        setFault(event, TargetFaultKind::SlowDown, 1);
        return true;
    case SiteEventKind::AnswerLost:
        setFault(
            event, hasVariant(event, "reset") ? TargetFaultKind::ResetAnswers : TargetFaultKind::LoseAnswers, strength);
        return true;
    case SiteEventKind::Garble:
        setFault(event, TargetFaultKind::GarbleAnswers, strength);
        return true;
    case SiteEventKind::DelayOrders:
        setFault(event, TargetFaultKind::DelayOrders, strength);
        return true;
    default:
        return false;
    }
}

} // namespace cyclamenstair
