#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Reason for which another number than that of a settings file is used.
enum class AdjustedSettingReason : uint8_t {
    NotWhole, ///< Rounded: the key takes whole numbers.
    OutOfRange, ///< Replaced by the nearest bound of the key's range.
};

template <> struct EnumNames<AdjustedSettingReason> {
    static constexpr auto table = std::to_array<EnumName<AdjustedSettingReason>>({
        { AdjustedSettingReason::NotWhole, "not_whole" },
        { AdjustedSettingReason::OutOfRange, "out_of_range" },
    });
};

/// Number of a settings file in place of which another one is used.
struct AdjustedSetting {
    AdjustedSettingReason reason { AdjustedSettingReason::OutOfRange };
    int line { 0 }; ///< Line in the file, from 1 on.
    std::string section;
    std::string key;
    std::string value; ///< As in the file.
    std::string used; ///< In the notation of INI files.
};

} // namespace cyclamenstair
