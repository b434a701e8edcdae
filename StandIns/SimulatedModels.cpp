#include <StandIns/SimulatedModels.h>

#include <algorithm>
#include <charconv>

namespace cyclamenstair {

namespace {

    /// Returns whether the model has an adapter of the name a1, a2, and so on.
    bool hasAdapter(const SimulatedModel& model, const std::string& adapter)
    {
        size_t number = 0;
        const auto* const end = adapter.data() + adapter.size();
        const auto parsed = adapter.starts_with("a") ? std::from_chars(adapter.data() + 1, end, number)
                                                     : std::from_chars_result { end, std::errc::invalid_argument };
        return parsed.ec == std::errc {} && parsed.ptr == end && number >= 1 && number <= model.adapterCount;
    }

} // namespace

SimulatedModels::SimulatedModels(EngineWorkload workload)
    : m_workload(std::move(workload))
    , m_loadedBefore(m_workload.loadedModels)
{
    for (const auto& model : m_workload.loadedModels)
        m_loaded[model];
}

SimulatedAvailability SimulatedModels::availability(const std::string& model, const std::string& adapter) const
{
    if (m_change && m_change->model == model)
        return SimulatedAvailability::Changing;
    const auto loaded = m_loaded.find(model);
    if (loaded == m_loaded.end())
        return SimulatedAvailability::Missing;
    if (adapter.empty())
        return SimulatedAvailability::Loaded;
    if (m_incoming.contains({ model, adapter }) || m_outgoing.contains({ model, adapter }))
        return SimulatedAvailability::Changing;
    return loaded->second.contains(adapter) ? SimulatedAvailability::Loaded : SimulatedAvailability::Missing;
}

const SimulatedModel* SimulatedModels::find(const std::string& name) const
{
    const auto model
        = std::ranges::find_if(m_workload.models, [&](const SimulatedModel& other) { return other.name == name; });
    return model == m_workload.models.end() ? nullptr : &*model;
}

SimulatedOrderOutcome SimulatedModels::order(const SimulatedOrder& order, TimePoint now, const UsePredicate& isInUse)
{
    const auto* const model = find(order.model);
    if (!model || (!order.adapter.empty() && !hasAdapter(*model, order.adapter)))
        return SimulatedOrderOutcome::Unknown;
    if (order.fencingToken < m_highestFencingToken)
        return SimulatedOrderOutcome::StaleFencingToken;
    m_highestFencingToken = order.fencingToken;
    if (order.expectedCount && *order.expectedCount != m_acceptedCount)
        return SimulatedOrderOutcome::Conflict;
    const auto acceptedBefore = m_acceptedCount;
    const auto outcome
        = order.adapter.empty() ? orderModel(order, *model, now) : orderAdapter(order, *model, now, isInUse);
    if (m_acceptedCount != acceptedBefore)
        advance(now, isInUse);
    return outcome;
}

SimulatedOrderOutcome SimulatedModels::orderModel(
    const SimulatedOrder& order, const SimulatedModel& model, TimePoint now)
{
    if (m_change)
        return SimulatedOrderOutcome::Conflict;
    const bool isLoad = order.operation == SimulatedOperation::Load;
    if (m_loaded.contains(model.name) == isLoad)
        return SimulatedOrderOutcome::Done;
    if (isLoad && usedWeightsMb() + model.weightsMb > m_workload.weightsMb)
        return SimulatedOrderOutcome::Crash;
    ++m_acceptedCount;
    const auto loadTime = m_loadedBefore.contains(model.name) ? model.warmLoadTime : model.loadTime;
    m_change = Change { order.operation, model.name, now + loadTime };
    return SimulatedOrderOutcome::Accepted;
}

SimulatedOrderOutcome SimulatedModels::orderAdapter(
    const SimulatedOrder& order, const SimulatedModel& model, TimePoint now, const UsePredicate& isInUse)
{
    const Adapter adapter { order.model, order.adapter };
    if (m_change && m_change->model == order.model)
        return SimulatedOrderOutcome::Conflict;
    const auto loaded = m_loaded.find(order.model);
    if (loaded == m_loaded.end())
        return SimulatedOrderOutcome::Unknown;
    if (m_incoming.contains(adapter) || m_outgoing.contains(adapter))
        return SimulatedOrderOutcome::Conflict;
    const bool isLoaded = loaded->second.contains(order.adapter);
    if (isLoaded == (order.operation == SimulatedOperation::Load))
        return SimulatedOrderOutcome::Done;
    if (order.operation == SimulatedOperation::Unload) {
        ++m_acceptedCount;
        m_outgoing.insert(adapter);
        return isInUse(order.model, order.adapter) ? SimulatedOrderOutcome::Accepted : SimulatedOrderOutcome::Done;
    }
    if (m_incoming.size() >= maxIncomingAdapters)
        return SimulatedOrderOutcome::Conflict;
    if (usedAdapterSlots() >= m_workload.adapterSlots)
        return SimulatedOrderOutcome::Crash;
    ++m_acceptedCount;
    const bool isWarm = m_adaptersLoadedBefore.contains(adapter);
    m_incoming[adapter] = now + (isWarm ? model.adapterLoadTime / warmAdapterSpeed : model.adapterLoadTime);
    return SimulatedOrderOutcome::Accepted;
}

void SimulatedModels::advance(TimePoint now, const UsePredicate& isInUse)
{
    std::erase_if(m_incoming, [&](const auto& entry) {
        const auto& [adapter, endsAt] = entry;
        if (endsAt > now)
            return false;
        m_loaded[adapter.first].insert(adapter.second);
        m_adaptersLoadedBefore.insert(adapter);
        return true;
    });
    std::erase_if(m_outgoing, [&](const Adapter& adapter) {
        if (isInUse(adapter.first, adapter.second))
            return false;
        m_loaded[adapter.first].erase(adapter.second);
        return true;
    });
    if (!m_change)
        return;
    if (m_change->operation == SimulatedOperation::Load) {
        if (m_change->endsAt > now)
            return;
        m_loaded[m_change->model];
        m_loadedBefore.insert(m_change->model);
    } else {
        if (isInUse(m_change->model, {}))
            return;
        const auto isOfModel = [&](const Adapter& adapter) { return adapter.first == m_change->model; };
        m_loaded.erase(m_change->model);
        std::erase_if(m_incoming, [&](const auto& entry) { return isOfModel(entry.first); });
        std::erase_if(m_outgoing, isOfModel);
    }
    m_change.reset();
}

std::optional<TimePoint> SimulatedModels::nextLoadEnd() const
{
    std::optional<TimePoint> next;
    if (m_change && m_change->operation == SimulatedOperation::Load)
        next = m_change->endsAt;
    for (const auto& [adapter, endsAt] : m_incoming)
        next = std::min(next.value_or(endsAt), endsAt);
    return next;
}

void SimulatedModels::restart()
{
    m_loaded.clear();
    m_change.reset();
    m_incoming.clear();
    m_outgoing.clear();
    m_acceptedCount = 0;
    m_highestFencingToken = 0;
}

std::vector<std::string> SimulatedModels::incomingAdapters() const
{
    std::vector<std::string> names;
    for (const auto& [adapter, endsAt] : m_incoming)
        names.push_back(adapter.first + "/" + adapter.second);
    return names;
}

int64_t SimulatedModels::usedWeightsMb() const
{
    int64_t used = 0;
    for (const auto& [name, adapters] : m_loaded) {
        const auto* const model = find(name);
        used += model ? model->weightsMb : 0;
    }
    return used;
}

size_t SimulatedModels::usedAdapterSlots() const
{
    size_t used = m_incoming.size();
    for (const auto& [name, adapters] : m_loaded)
        used += adapters.size();
    return used;
}

} // namespace cyclamenstair
