#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Time.h>

#include <StandIns/LinkStandIn.h>

#include <vector>

namespace cyclamenstair {

/// Faults of a soak.
enum class SoakFaultKind : uint8_t {
    Reload, ///< SIGHUP to a node, at times right after its start.
    Terminate, ///< SIGTERM to a node, which starts again after its exit.
    Kill, ///< SIGKILL to a node, which starts again at once.
    Replace, ///< SIGTERM to a node, and at once a new process with the same settings.
    KillAll, ///< SIGKILL to all nodes, which start again at once.
    Freeze, ///< SIGSTOP to a node, and SIGCONT.
    ChangeCatalog, ///< The operator moves the safe route to the other service.
    TruncateAnswers, ///< A target disconnects within its answers.
    RefuseRequests, ///< A target refuses requests without running them.
    SilentTarget, ///< A target runs requests and sends no answer.
    StoreDown, ///< The store answers 503.
    StoreReturn, ///< The store is down for a moment and returns from a copy that is some seconds old.
    CutTargets, ///< Nodes lose all links to targets; the others and the store still reach them.
};

template <> struct EnumNames<SoakFaultKind> {
    static constexpr auto table = std::to_array<EnumName<SoakFaultKind>>({
        { SoakFaultKind::Reload, "reload" },
        { SoakFaultKind::Terminate, "terminate" },
        { SoakFaultKind::Kill, "kill" },
        { SoakFaultKind::Replace, "replace" },
        { SoakFaultKind::KillAll, "kill_all" },
        { SoakFaultKind::Freeze, "freeze" },
        { SoakFaultKind::ChangeCatalog, "change_catalog" },
        { SoakFaultKind::TruncateAnswers, "truncate_answers" },
        { SoakFaultKind::RefuseRequests, "refuse_requests" },
        { SoakFaultKind::SilentTarget, "silent_target" },
        { SoakFaultKind::StoreDown, "store_down" },
        { SoakFaultKind::StoreReturn, "store_return" },
        { SoakFaultKind::CutTargets, "cut_targets" },
    });
};

/// A fault, its time from the start of the traffic, and what it concerns.
struct SoakFault {
    Duration at {};
    /// Of Freeze, of a target's behaviour, of StoreDown, of CutTargets and, a quarter of it, of StoreReturn.
    Duration duration {};
    SoakFaultKind kind { SoakFaultKind::Reload };
    size_t subject { 0 }; ///< Index of the node or target; the first one of CutTargets.
    size_t cutNodes { 0 }; ///< Of CutTargets: the subject and the nodes after it.
    LinkMode linkMode { LinkMode::Pass }; ///< Of CutTargets.
};

/// Settings of a soak.
struct SoakSettings {
    uint64_t seed { 1 };
    Duration duration { std::chrono::seconds(30) };
    size_t nodes { 3 };
    size_t callers { 12 };
    Duration meanFaultInterval { milliseconds(1500) }; ///< Of all kinds but CutTargets.
    Duration meanCutInterval { milliseconds(3000) };
};

/// Returns the faults of a soak in the order of their times; the same for the same settings.
std::vector<SoakFault> drawSoakFaults(const SoakSettings& settings, size_t targetCount);

} // namespace cyclamenstair
