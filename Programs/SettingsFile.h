#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Generated/Settings_generated.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Settings file of the daemon, which the platform may write for another build.
class SettingsFile {
public:
    /// Environment variable with a path, for platforms that do not pass it on the command line.
    static constexpr auto pathVariable = "CYCLAMENSTAIR_SETTINGS";
    /// Path if neither the command line nor the environment names one.
    static constexpr auto defaultPath = "/etc/cyclamenstair/settings.conf";

    /// `path` of the command line, if any, goes before that of the environment. A start falls back to the latter if
    /// there is no file at `path`: a deploy file that is used with several builds and platforms can hold a path that
    /// only some of them use.
    explicit SettingsFile(const std::optional<std::string>& path);

    /// Returns the path that goes first, whether or not there is a file.
    const std::string& preferredPath() const { return m_paths.front(); }

    /// Returns the first path with a file, or the preferred one if there is none.
    const std::string& path() const;

    /// Reads the file at path(). Writes a log line for each entry that has no effect and each number that is
    /// adjusted. Unavailable for lack of memory.
    Result<schema::SettingsT> read() const;

private:
    Result<schema::SettingsT> readOrThrow() const;

    std::vector<std::string> m_paths; ///< At least one.
};

} // namespace cyclamenstair
