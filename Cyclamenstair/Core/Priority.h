#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>

namespace cyclamenstair {

/// Priority of a caller, model or service; higher values are served first.
enum class Priority : uint8_t {
    Low,
    Normal,
    High,
};

template <> struct EnumNames<Priority> {
    static constexpr auto table = std::to_array<EnumName<Priority>>({
        { Priority::Low, "low" },
        { Priority::Normal, "normal" },
        { Priority::High, "high" },
    });
};

/// Class of a request by the expected duration of its work.
enum class WorkClass : uint8_t {
    Short,
    Long,
};

template <> struct EnumNames<WorkClass> {
    static constexpr auto table = std::to_array<EnumName<WorkClass>>({
        { WorkClass::Short, "short" },
        { WorkClass::Long, "long" },
    });
};

} // namespace cyclamenstair
