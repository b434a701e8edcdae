#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Generated/Settings_generated.h>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Parses settings in INI format. Names, types, defaults and ranges come from the binary schema that is generated from
/// Schema/Settings.fbs.
class SettingsReader {
public:
    /// Returns the settings in `iniText`, with defaults for absent keys. An unknown section or key, a duplicate key, a
    /// malformed value or a value out of range is an InvalidInput error that contains the line.
    static Result<schema::SettingsT> create(std::string_view iniText);

    /// Same as create(), for the text of the file at `path`. NotFound if the file cannot be opened.
    static Result<schema::SettingsT> createFromFile(const std::string& path);

    /// Returns an INI text with every key, its default and its description.
    static std::string defaultsText();

    /// Returns a reference of all settings in Markdown.
    static std::string referenceText();

    /// Returns the names ("section.key") of the settings that differ, in the order of the schema.
    static std::vector<std::string> changedKeys(const schema::SettingsT& before, const schema::SettingsT& after);

    /// Returns `settings` with the values of `keys` ("section.key") replaced by those in `source`.
    static schema::SettingsT withKeysFrom(
        const schema::SettingsT& settings, const schema::SettingsT& source, const std::vector<std::string>& keys);

    /// Returns whether a change of "section.key" can be applied without a restart.
    static bool isReloadable(std::string_view sectionAndKey);
};

} // namespace cyclamenstair
