#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace cyclamenstair {

/// Row of a name table: an enumerator and its name in settings, logs, metrics and JSON.
template <typename Enum> struct EnumName {
    Enum value;
    std::string_view name;
};

/// Name table of an enumeration. Specialisations define a `table` that lists every enumerator.
template <typename Enum> struct EnumNames;

/// Returns the name of `value`, or "invalid" if the table has no row for it.
template <typename Enum> constexpr std::string_view nameOf(Enum value)
{
    for (const auto& row : EnumNames<Enum>::table) {
        if (row.value == value)
            return row.name;
    }
    return "invalid";
}

/// Returns the enumerator named `name`, or no value if there is none.
template <typename Enum> constexpr std::optional<Enum> enumFromName(std::string_view name)
{
    for (const auto& row : EnumNames<Enum>::table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace cyclamenstair
