#include <Cyclamenstair/Plan/Plan.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    template <typename Row> const Row* findRow(const std::vector<Row>& rows, std::string_view name)
    {
        const auto found = std::lower_bound(
            rows.begin(), rows.end(), name, [](const Row& row, std::string_view key) { return row.name < key; });
        return found != rows.end() && found->name == name ? &*found : nullptr;
    }

    template <typename Row> void sortByName(std::vector<Row>& rows)
    {
        std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) { return a.name < b.name; });
    }

} // namespace

const ModelSpec* Plan::findModel(std::string_view name) const { return findRow(models, name); }

const AdapterSpec* Plan::findAdapter(std::string_view name) const { return findRow(adapters, name); }

const ServiceSpec* Plan::findService(std::string_view name) const { return findRow(services, name); }

const CallerSpec* Plan::findCaller(std::string_view name) const { return findRow(callers, name); }

void Plan::sortRows()
{
    sortByName(models);
    sortByName(adapters);
    sortByName(services);
    sortByName(callers);
}

} // namespace cyclamenstair
