#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Kind of a change in the audit.
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

/// One change: who did what, when, from which revision to which, and why.
struct AuditEntry {
    std::string node; ///< Node that recorded the change.
    uint64_t sequence { 0 }; ///< Number of the entry at its node since the node's start, from 1.
    uint64_t atUnixMs { 0 };
    AuditKind kind { AuditKind::Command };
    std::string who; ///< Operator or node.
    std::string what; ///< Operation and its object.
    uint64_t fromRevision { 0 };
    uint64_t toRevision { 0 };
    std::string why;

    bool operator==(const AuditEntry&) const = default;
};

} // namespace cyclamenstair
