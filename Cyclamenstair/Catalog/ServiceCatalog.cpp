#include <Cyclamenstair/Catalog/ServiceCatalog.h>

#include <algorithm>

namespace cyclamenstair {

const CatalogModel* EngineProfile::model(const std::string& name) const
{
    const auto entry
        = std::find_if(models.begin(), models.end(), [&](const auto& model) { return model.name == name; });
    return entry == models.end() ? nullptr : &*entry;
}

} // namespace cyclamenstair
