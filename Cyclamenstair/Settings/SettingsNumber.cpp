#include <Cyclamenstair/Settings/SettingsNumber.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>

namespace cyclamenstair {

namespace {

    /// Bounds of a key, inclusive.
    struct NumberRange {
        double min;
        double max;
    };

    /// Returns the bounds of the schema. Bounds of integers are below 2^53, so that a double holds them exactly.
    NumberRange rangeOf(const SettingsField& field)
    {
        return { parseDecimal(field.attribute("min")).value_or(std::numeric_limits<int32_t>::min()),
            parseDecimal(field.attribute("max")).value_or(std::numeric_limits<int32_t>::max()) };
    }

} // namespace

std::optional<double> parseDecimal(std::string_view text)
{
    // from_chars takes no plus sign.
    if (text.starts_with('+') && !text.starts_with("+-"))
        text.remove_prefix(1);
    double number = 0;
    const char* const textEnd = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), textEnd, number);
    if (code != std::errc() || end != textEnd || !std::isfinite(number))
        return std::nullopt;
    return number;
}

Result<SettingsValue> parseSettingsNumber(const SettingsField& field, std::string_view text)
{
    const auto number = parseDecimal(text);
    if (!number)
        return Error { ErrorKind::InvalidInput, "", "", "'" + std::string(text) + "' is not a number" };
    const bool isReal = field.baseType() == reflection::Float || field.baseType() == reflection::Double;
    double rounded = *number;
    if (!isReal)
        rounded = field.hasAttribute("round_up") ? std::ceil(*number) : std::floor(*number);
    const auto [min, max] = rangeOf(field);
    const double used = std::clamp(rounded, min, max);
    std::optional<AdjustedSettingReason> adjustment;
    if (*number < min || *number > max)
        adjustment = AdjustedSettingReason::OutOfRange;
    else if (used != *number)
        adjustment = AdjustedSettingReason::NotWhole;
    return SettingsValue { isReal ? nlohmann::json(used) : nlohmann::json(static_cast<int64_t>(used)), adjustment };
}

} // namespace cyclamenstair
