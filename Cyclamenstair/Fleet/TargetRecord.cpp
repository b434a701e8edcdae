#include <Cyclamenstair/Fleet/TargetRecord.h>

#include <algorithm>

namespace cyclamenstair {

bool TargetRecord::hasLoaded(const std::string& model, const std::string& adapter) const
{
    return std::any_of(models.begin(), models.end(), [&](const LoadedModel& loaded) {
        return loaded.name == model && (adapter.empty() || loaded.adapters.contains(adapter));
    });
}

} // namespace cyclamenstair
