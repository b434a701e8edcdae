#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Settings/AdjustedSetting.h>
#include <Cyclamenstair/Settings/SettingsSchema.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenstair {

/// Value for a key, as its text names it or, for a number, as near to that as the key allows.
struct SettingsValue {
    nlohmann::json value; ///< Of the type of the key and in its range.
    std::optional<AdjustedSettingReason> adjustment; ///< Reason for which it is not the number of the text.
};

/// Returns the finite decimal number that `text` is in any notation (54, +54, 54.0, 5.4e+01), or no value. Templates
/// may write a whole number as a real one.
std::optional<double> parseDecimal(std::string_view text);

/// Parses a number. For an integer key, a number that is not whole is rounded down, or up if the key has the attribute
/// `round_up`. A number out of range is replaced by the nearest bound. A text that is no number, an infinite number and
/// one beyond the range of a double are InvalidInput errors.
Result<SettingsValue> parseSettingsNumber(const SettingsField& field, std::string_view text);

} // namespace cyclamenstair
