#include <Cyclamenstair/Catalog/ServiceCatalog.h>

#include <algorithm>

namespace cyclamenstair {

const CatalogModel* EngineProfile::model(const std::string& name) const
{
    const auto found
        = std::find_if(models.begin(), models.end(), [&](const auto& model) { return model.name == name; });
    return found == models.end() ? nullptr : &*found;
}

} // namespace cyclamenstair
