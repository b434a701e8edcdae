#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Settings/AdjustedSetting.h>
#include <Cyclamenstair/Settings/IgnoredSetting.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Settings of a text that another build may have been meant for.
struct TolerantSettings {
    schema::SettingsT settings;
    std::vector<IgnoredSetting> ignored; ///< Entries without effect, in the order of the text.
    std::vector<AdjustedSetting> adjusted; ///< In the order of the text.
};

/// Parses settings in INI format. Names, types, defaults and ranges come from the binary schema that is generated from
/// Schema/Settings.fbs.
class SettingsReader {
public:
    /// Returns the settings in `iniText`, with defaults for absent keys. An unknown section or key, a duplicate key, a
    /// malformed value or a value out of range is an InvalidInput error that contains the line.
    static Result<schema::SettingsT> create(std::string_view iniText);

    /// Same as create(), but ignores sections, keys and names that this build does not know, and numbers, bools and
    /// enumerations without a value or with a malformed one. Numbers are rounded and limited to their range, and a
    /// listener that the node can do without yields its port. A start uses it: program and settings cannot be changed
    /// in one step, so the settings of a later build may be present during an upgrade or a rollback; and the platform
    /// fills in its template from figures that it does not check against the ranges of this build. A required key
    /// without a value, a value that a key with the attribute `exact` cannot take, and two other listeners on the same
    /// port are InvalidInput errors that name the keys.
    static Result<TolerantSettings> createTolerant(std::string_view iniText);

    /// Same as createTolerant(), for the text of the file at `path`. NotFound if the file cannot be read or is empty.
    static Result<TolerantSettings> createTolerantFromFile(const std::string& path);

    /// Returns the error of create() or, if there is none, the required keys without a value or two listeners on the
    /// same port.
    static std::optional<Error> check(std::string_view iniText);

    /// Same as check(), for the text of the file at `path`. NotFound if the file cannot be read or is empty.
    static std::optional<Error> checkFile(const std::string& path);

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
