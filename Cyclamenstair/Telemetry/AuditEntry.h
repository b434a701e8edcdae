#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Kind of an audited change.
enum class AuditKind : uint8_t {
    Plan,
    Settings,
    Ownership,
    Move,
    Drain,
    Command,
};

template <> struct EnumNames<AuditKind> {
    static constexpr auto table = std::to_array<EnumName<AuditKind>>({
        { AuditKind::Plan, "plan" },
        { AuditKind::Settings, "settings" },
        { AuditKind::Ownership, "ownership" },
        { AuditKind::Move, "move" },
        { AuditKind::Drain, "drain" },
        { AuditKind::Command, "command" },
    });
};

/// Audited change, such as an accepted plan, a change of settings or an operator's command.
struct AuditEntry {
    std::string node; ///< Node that recorded the change.
    uint64_t sequence { 0 }; ///< Number of the entry at its node, starting at 1 when the node starts.
    uint64_t atUnixMs { 0 };
    AuditKind kind { AuditKind::Command };
    std::string actor; ///< Operator or node that made the change.
    std::string action; ///< Operation and the object that it changed.
    uint64_t fromRevision { 0 };
    uint64_t toRevision { 0 };
    std::string reason;

    bool operator==(const AuditEntry&) const = default;
};

} // namespace cyclamenstair
