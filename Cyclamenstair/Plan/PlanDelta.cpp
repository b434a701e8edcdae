#include <Cyclamenstair/Plan/PlanDelta.h>

#include <algorithm>
#include <map>

namespace cyclamenstair {

namespace {

    /// Collects the rows of `to` that are added or changed, and the names of the rows of `from` that are removed. Both
    /// lists must be sorted by name.
    template <typename Row>
    void compareRows(const std::vector<Row>& from, const std::vector<Row>& to, std::vector<Row>& changed,
        std::vector<std::string>& removed)
    {
        auto oldRow = from.begin();
        for (const auto& row : to) {
            for (; oldRow != from.end() && oldRow->name < row.name; ++oldRow)
                removed.push_back(oldRow->name);
            const bool isInBoth = oldRow != from.end() && oldRow->name == row.name;
            if (!isInBoth || *oldRow != row)
                changed.push_back(row);
            if (isInBoth)
                ++oldRow;
        }
        for (; oldRow != from.end(); ++oldRow)
            removed.push_back(oldRow->name);
    }

    template <typename Row>
    std::vector<Row> applyRows(
        const std::vector<Row>& base, const std::vector<Row>& changed, const std::vector<std::string>& removed)
    {
        std::map<std::string, Row> rows;
        for (const auto& row : base)
            rows.emplace(row.name, row);
        for (const auto& name : removed)
            rows.erase(name);
        for (const auto& row : changed)
            rows.insert_or_assign(row.name, row);
        std::vector<Row> result;
        result.reserve(rows.size());
        for (auto& [name, row] : rows)
            result.push_back(std::move(row));
        return result;
    }

} // namespace

PlanDelta PlanDelta::between(const Plan& from, const Plan& to)
{
    PlanDelta delta;
    delta.revision = from.revision + 1;
    compareRows(from.models, to.models, delta.changed.models, delta.removedModels);
    compareRows(from.adapters, to.adapters, delta.changed.adapters, delta.removedAdapters);
    compareRows(from.services, to.services, delta.changed.services, delta.removedServices);
    compareRows(from.callers, to.callers, delta.changed.callers, delta.removedCallers);
    return delta;
}

std::optional<Plan> PlanDelta::appliedTo(const Plan& base) const
{
    if (base.revision + 1 != revision)
        return std::nullopt;
    Plan plan;
    plan.revision = revision;
    plan.models = applyRows(base.models, changed.models, removedModels);
    plan.adapters = applyRows(base.adapters, changed.adapters, removedAdapters);
    plan.services = applyRows(base.services, changed.services, removedServices);
    plan.callers = applyRows(base.callers, changed.callers, removedCallers);
    return plan;
}

size_t PlanDelta::rowCount() const
{
    return changed.models.size() + changed.adapters.size() + changed.services.size() + changed.callers.size()
        + removedModels.size() + removedAdapters.size() + removedServices.size() + removedCallers.size();
}

} // namespace cyclamenstair
