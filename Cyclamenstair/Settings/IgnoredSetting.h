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
    MalformedValue, ///< A number or bool that is none, or a malformed address that the node can do without.
    UnknownName, ///< Name of an enumeration.
    PortInUse, ///< Address of a listener that the node can do without, at the port of another one.
};

template <> struct EnumNames<IgnoredSettingReason> {
    static constexpr auto table = std::to_array<EnumName<IgnoredSettingReason>>({
        { IgnoredSettingReason::UnknownSection, "unknown_section" },
        { IgnoredSettingReason::UnknownKey, "unknown_key" },
        { IgnoredSettingReason::EmptyValue, "empty_value" },
        { IgnoredSettingReason::MalformedItem, "malformed_item" },
        { IgnoredSettingReason::MalformedValue, "malformed_value" },
        { IgnoredSettingReason::UnknownName, "unknown_name" },
        { IgnoredSettingReason::PortInUse, "port_in_use" },
    });
};

/// Entry of a settings file that has no effect.
struct IgnoredSetting {
    IgnoredSettingReason reason { IgnoredSettingReason::UnknownKey };
    int line { 0 }; ///< Line in the file, from 1 on.
    std::string section;
    std::string key;
    std::string suggestion; ///< Known name that the unknown one is probably a slip of; empty if there is none.
    std::string item; ///< Malformed item or value, unknown name, or address; empty for other reasons.
    std::string conflictingKey {}; ///< "section.key" of the listener that has the port; empty for other reasons.
};

} // namespace cyclamenstair
