#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Result of a reload: names ("section.key") of the settings that were applied, and of those whose change requires a
/// restart.
struct SettingsReload {
    std::vector<std::string> applied;
    std::vector<std::string> restartRequired;
};

/// Active settings. The daemon reads the current value at each use, so that a reload takes effect immediately.
/// Thread-safe.
///
/// Not sharded, because all threads read the same value: readers copy a pointer under a short lock.
class LiveSettings {
public:
    explicit LiveSettings(const schema::SettingsT& settings);

    /// Returns the active settings; shared, because a reader may outlive a reload.
    std::shared_ptr<const schema::SettingsT> current() const;

    /// Applies the reloadable keys of `settings`. Keys that require a restart keep their current value.
    SettingsReload reload(const schema::SettingsT& settings);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const schema::SettingsT> m_settings;
};

} // namespace cyclamenstair
