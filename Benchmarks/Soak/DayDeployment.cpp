#include <Benchmarks/Soak/DayDeployment.h>

#include <algorithm>
#include <iostream>

namespace cyclamenstair {

namespace {

    constexpr size_t maxOtherRecords = 64; ///< Below a prefix, beside those of nodes and targets.

} // namespace

DayDeployment::DayDeployment(const DaySettings& daySettings, const std::string& folder)
    : settings(&daySettings)
    , random(daySettings.seed)
    , targets(daySettings, store)
    , catalog(daySettings.site)
    , nodes(daySettings, store, targets, folder, timer)
    , callers(daySettings, nodes)
{
    if (!daySettings.fillsStore)
        return;
    std::vector<std::string> ids;
    for (size_t i = 0; i < nodes.count(); ++i)
        ids.push_back(nodes.node(i).process->id());
    const size_t otherRecords = targets.count() + nodes.count() + maxOtherRecords;
    filler = std::make_unique<StoreFiller>(
        store, [this] { return targets.entries(); }, ids, otherRecords, daySettings.seed);
}

DayDeployment::~DayDeployment()
{
    callers.stop();
    timer.stop();
}

void DayDeployment::disturb(std::optional<size_t> node, Duration duration)
{
    const auto now = monotonicNow();
    disturbances.push_back({ node, now, now + duration });
}

void DayDeployment::disturbByEnd(size_t node, Duration duration)
{
    const auto now = monotonicNow();
    disturbances.push_back({ node, now, now + duration, true });
}

bool DayDeployment::isCalm(size_t node, TimePoint begin, TimePoint end) const
{
    return std::none_of(disturbances.begin(), disturbances.end(), [&](const DayDisturbance& disturbance) {
        return (!disturbance.node || *disturbance.node == node) && disturbance.begin < end && disturbance.end > begin;
    });
}

void DayDeployment::writeCatalog() { store.put("op/config", catalog.text()); }

std::optional<size_t> DayDeployment::findOrderHolder()
{
    std::optional<AcceptedOrder> last;
    for (size_t i = 0; i < targets.count(); ++i) {
        const auto orders = targets.target(i).orders();
        if (!orders.empty() && (!last || orders.back().arrivedAt > last->arrivedAt))
            last = orders.back();
    }
    return last ? nodes.find(last->holder) : std::nullopt;
}

void DayDeployment::report(SoakRule rule, const std::string& description)
{
    findings[rule].push_back(description);
    std::cout << "broken: " << nameOf(rule) << ", " << description << std::endl;
}

} // namespace cyclamenstair
