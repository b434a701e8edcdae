#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Generated/Settings_generated.h>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Reads settings in INI form. Names, types, defaults and ranges come from the binary schema generated from
/// Schema/Settings.fbs.
class SettingsReader {
public:
    /// Returns the settings in `iniText` with defaults for all absent keys. Any unknown section or key, malformed value
    /// or value out of range is an error that names the line; nothing is applied then.
    static Result<schema::SettingsT> create(std::string_view iniText);

    /// As create(), with the text read from the file at `path`.
    static Result<schema::SettingsT> createFromFile(const std::string& path);

    /// Returns an INI text that holds every key with its default and its description.
    static std::string defaultsText();

    /// Returns the reference of all settings as Markdown.
    static std::string referenceText();

    /// Returns the names ("section.key") of the settings that differ, in the order of the schema.
    static std::vector<std::string> changedKeys(const schema::SettingsT& before, const schema::SettingsT& after);

    /// Returns `settings` with the values of `keys` ("section.key") taken from `source`.
    static schema::SettingsT withKeysFrom(
        const schema::SettingsT& settings, const schema::SettingsT& source, const std::vector<std::string>& keys);

    /// Returns whether a change of "section.key" can be applied without a restart.
    static bool isReloadable(std::string_view sectionAndKey);
};

} // namespace cyclamenstair
