#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Names ("section.key") of the settings that a reload changed, and of those that differ but need a restart.
struct SettingsReload {
    std::vector<std::string> applied;
    std::vector<std::string> needRestart;
};

/// Settings in use. Parts of the daemon read the present value at each use, so that a reload acts at once.
///
/// One value that all threads read has nothing to shard: readers copy a pointer under a short lock.
class LiveSettings {
public:
    explicit LiveSettings(const schema::SettingsT& settings);

    /// Returns the settings in use; shared, because a reader may outlive a reload.
    std::shared_ptr<const schema::SettingsT> current() const;

    /// Takes over the reloadable keys of `settings`. Keys that need a restart keep their present value.
    SettingsReload reload(const schema::SettingsT& settings);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const schema::SettingsT> m_settings;
};

} // namespace cyclamenstair
