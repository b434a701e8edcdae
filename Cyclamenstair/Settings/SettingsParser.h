#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Settings/AdjustedSetting.h>
#include <Cyclamenstair/Settings/IgnoredSetting.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Treatment of entries that this build does not know, of values that their key cannot take, and of numbers, bools and
/// enumerations without a value.
enum class SettingsStrictness : uint8_t {
    Strict, ///< They are errors.
    Tolerant, ///< They are ignored, and numbers are rounded and limited to their range.
};

/// Content of an INI text.
struct ParsedSettings {
    nlohmann::json values; ///< Values by section and key, with defaults for absent strings.
    std::map<std::string, std::string>
        texts; ///< Texts by "section.key", of the keys that have a value; numbers as they are used.
    std::vector<IgnoredSetting> ignored; ///< In the order of the text; empty if the text was parsed strictly.
    std::vector<AdjustedSetting> adjusted; ///< In the order of the text; empty if the text was parsed strictly.
    std::map<std::string, int> lines; ///< Line of each "section.key".
};

/// Parses an INI text by the settings schema. A line that is no section, key or comment, a duplicate key, and a value
/// that a key with the attribute `exact` cannot take are InvalidInput errors that contain the line; parsed strictly,
/// also any other malformed value and a value out of range.
Result<ParsedSettings> parseSettings(std::string_view iniText, SettingsStrictness strictness);

} // namespace cyclamenstair
