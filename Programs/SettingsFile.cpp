#include <Programs/SettingsFile.h>

#include <Cyclamenstair/Settings/SettingsReader.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <exception>

namespace cyclamenstair {

Result<schema::SettingsT> SettingsFile::read() const
{
    try {
        return readOrThrow();
    } catch (const std::exception& exception) {
        return Error { ErrorKind::Unavailable, "settings.read", m_path, exception.what() };
    }
}

Result<schema::SettingsT> SettingsFile::readOrThrow() const
{
    auto read = SettingsReader::createTolerantFromFile(m_path);
    if (!read)
        return read.error();
    for (const auto& entry : read.value().ignored) {
        // Not a warning: repeated warnings of an event are suppressed, and each entry needs its line.
        logEvent(LogSeverity::Info, "settings_key_ignored",
            { { "file", m_path }, { "line", std::to_string(entry.line) }, { "section", entry.section },
                { "key", entry.key }, { "reason", std::string(nameOf(entry.reason)) },
                { "suggestion", entry.suggestion }, { "item", entry.item },
                { "conflicting_key", entry.conflictingKey } });
    }
    for (const auto& entry : read.value().adjusted) {
        logEvent(LogSeverity::Info, "settings_value_adjusted",
            { { "file", m_path }, { "line", std::to_string(entry.line) }, { "section", entry.section },
                { "key", entry.key }, { "reason", std::string(nameOf(entry.reason)) }, { "value", entry.value },
                { "used", entry.used } });
    }
    return std::move(read.value().settings);
}

} // namespace cyclamenstair
