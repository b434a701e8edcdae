#include <Cyclamenstair/Settings/LiveSettings.h>

#include <Cyclamenstair/Settings/SettingsReader.h>

namespace cyclamenstair {

LiveSettings::LiveSettings(const schema::SettingsT& settings)
    : m_settings(std::make_shared<const schema::SettingsT>(settings))
{
}

std::shared_ptr<const schema::SettingsT> LiveSettings::current() const
{
    std::lock_guard lock(m_mutex);
    return m_settings;
}

SettingsReload LiveSettings::reload(const schema::SettingsT& settings)
{
    std::lock_guard lock(m_mutex);
    SettingsReload result;
    for (auto& key : SettingsReader::changedKeys(*m_settings, settings)) {
        auto& list = SettingsReader::isReloadable(key) ? result.applied : result.restartRequired;
        list.push_back(std::move(key));
    }
    m_settings = std::make_shared<const schema::SettingsT>(
        SettingsReader::withKeysFrom(*m_settings, settings, result.applied));
    return result;
}

} // namespace cyclamenstair
