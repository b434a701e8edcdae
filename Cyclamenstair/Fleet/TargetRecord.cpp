#include <Cyclamenstair/Fleet/TargetRecord.h>

#include <algorithm>

namespace cyclamenstair {

bool TargetRecord::holds(const std::string& model, const std::string& adapter) const
{
    return std::any_of(models.begin(), models.end(), [&](const HeldModel& held) {
        return held.name == model && (adapter.empty() || held.adapters.contains(adapter));
    });
}

} // namespace cyclamenstair
