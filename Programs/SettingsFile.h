#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Generated/Settings_generated.h>

#include <string>

namespace cyclamenstair {

/// Settings file of the daemon, which the platform may write for another build.
class SettingsFile {
public:
    /// Environment variable that holds the path if the command line does not.
    static constexpr auto pathVariable = "CYCLAMENSTAIR_SETTINGS";
    /// Path if neither the command line nor the environment holds one.
    static constexpr auto defaultPath = "/etc/cyclamenstair/settings.conf";

    explicit SettingsFile(std::string path)
        : m_path(std::move(path))
    {
    }

    const std::string& path() const { return m_path; }

    /// Reads the file. Writes a log line for each entry that has no effect and each number that is
    /// adjusted. Unavailable for lack of memory.
    Result<schema::SettingsT> read() const;

private:
    Result<schema::SettingsT> readOrThrow() const;

    std::string m_path;
};

} // namespace cyclamenstair
