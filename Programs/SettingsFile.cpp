#include <Programs/SettingsFile.h>

#include <Cyclamenstair/Settings/SettingsReader.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <cstdlib>
#include <exception>
#include <filesystem>

namespace cyclamenstair {

SettingsFile::SettingsFile(const std::optional<std::string>& path)
{
    if (path)
        m_paths.push_back(*path);
    const auto* const variable = std::getenv(pathVariable);
    if (variable && *variable)
        m_paths.emplace_back(variable);
    if (m_paths.empty())
        m_paths.emplace_back(defaultPath);
}

const std::string& SettingsFile::path() const
{
    for (const auto& path : m_paths) {
        std::error_code error;
        if (std::filesystem::exists(path, error))
            return path;
    }
    return preferredPath();
}

Result<schema::SettingsT> SettingsFile::read() const
{
    try {
        return readOrThrow();
    } catch (const std::exception& exception) {
        return Error { ErrorKind::Unavailable, "settings.read", preferredPath(), exception.what() };
    }
}

Result<schema::SettingsT> SettingsFile::readOrThrow() const
{
    const auto& path = this->path();
    auto read = SettingsReader::createTolerantFromFile(path);
    if (!read)
        return read.error();
    for (const auto& entry : read.value().ignored) {
        // Not a warning: repeated warnings of an event are suppressed, and each entry needs its line.
        logEvent(LogSeverity::Info, "settings_key_ignored",
            { { "file", path }, { "line", std::to_string(entry.line) }, { "section", entry.section },
                { "key", entry.key }, { "reason", std::string(nameOf(entry.reason)) },
                { "suggestion", entry.suggestion }, { "item", entry.item },
                { "conflicting_key", entry.conflictingKey } });
    }
    for (const auto& entry : read.value().adjusted) {
        logEvent(LogSeverity::Info, "settings_value_adjusted",
            { { "file", path }, { "line", std::to_string(entry.line) }, { "section", entry.section },
                { "key", entry.key }, { "reason", std::string(nameOf(entry.reason)) }, { "value", entry.value },
                { "used", entry.used } });
    }
    return std::move(read.value().settings);
}

} // namespace cyclamenstair
