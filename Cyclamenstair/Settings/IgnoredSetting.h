#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Reason for which an entry of a settings file has no effect.
enum class IgnoredSettingReason : uint8_t {
    UnknownSection,
    UnknownKey,
    EmptyValue, ///< A number, bool or enumeration without a value, or a listener without host or port.
    MalformedItem, ///< Item of a list.
};

template <> struct EnumNames<IgnoredSettingReason> {
    static constexpr auto table = std::to_array<EnumName<IgnoredSettingReason>>({
        { IgnoredSettingReason::UnknownSection, "unknown_section" },
        { IgnoredSettingReason::UnknownKey, "unknown_key" },
        { IgnoredSettingReason::EmptyValue, "empty_value" },
        { IgnoredSettingReason::MalformedItem, "malformed_item" },
    });
};

/// Entry of a settings file that has no effect.
struct IgnoredSetting {
    IgnoredSettingReason reason { IgnoredSettingReason::UnknownKey };
    int line { 0 }; ///< Line in the file, from 1 on.
    std::string section;
    std::string key;
    std::string suggestion; ///< Known name that the unknown one is probably a slip of; empty if there is none.
    std::string item; ///< Malformed item; empty if the whole entry is ignored.
};

} // namespace cyclamenstair
