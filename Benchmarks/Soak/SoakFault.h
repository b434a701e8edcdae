#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Time.h>

#include <StandIns/LinkStandIn.h>

#include <optional>
#include <set>
#include <string>
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
    SignalBurst, ///< SIGHUP, SIGTERM, and further ones of both while the process ends; at times with a successor.
    RewriteSettings, ///< The settings are replaced by a rename as a process starts or reloads.
    OverwriteSettings, ///< The settings are written in place, in two parts, as a process starts or reloads.
    EarlySignals, ///< SIGHUP in the first 20 ms of processes. Concerns starts, is not drawn by time.
    UnreadOutput, ///< Nobody reads the output of processes, or its reader ends. Concerns starts, is not drawn by time.
    FillStore, ///< Another writer fills the store, see StoreFiller. Concerns the whole run, is not drawn by time.
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
        { SoakFaultKind::SignalBurst, "signal_burst" },
        { SoakFaultKind::RewriteSettings, "rewrite_settings" },
        { SoakFaultKind::OverwriteSettings, "overwrite_settings" },
        { SoakFaultKind::EarlySignals, "early_signals" },
        { SoakFaultKind::UnreadOutput, "unread_output" },
        { SoakFaultKind::FillStore, "fill_store" },
    });
};

/// A signal of a fault.
struct SoakSignal {
    Duration delay {}; ///< After the time of the fault.
    int number { 0 };
    bool isForStopping { false }; ///< To the processes that were told to end, instead of the current one.
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
    std::vector<SoakSignal> signals {}; ///< Of SignalBurst, RewriteSettings and OverwriteSettings.
    std::optional<Duration> replaceDelay {}; ///< Of the same kinds: when the process is replaced.
    Duration pause {}; ///< Of OverwriteSettings, between the two parts.
};

/// Settings of a soak.
struct SoakSettings {
    uint64_t seed { 1 };
    Duration duration { std::chrono::seconds(30) };
    size_t nodes { 3 };
    size_t callers { 12 };
    size_t bodyBytes { 0 }; ///< Added to the body of each request, and so to its answer.
    Duration meanFaultInterval { milliseconds(1500) }; ///< Of all kinds but CutTargets.
    Duration meanCutInterval { milliseconds(3000) };
    bool isStressed { false }; ///< Plays the kinds from SignalBurst to UnreadOutput, drawn apart from the others.
    Duration meanStressInterval { milliseconds(700) };
    bool fillsStore { false }; ///< Plays FillStore, drawn apart from the others.
    bool hasTeams { false }; ///< The catalog has a team, whose key callers present.
    bool hasVersions { false }; ///< Two software versions serve each service.
    std::set<SoakFaultKind> leftOut; ///< Kinds that are not played. The times of the others stay the same.
    std::vector<std::string> daemons { "Programs/cyclamenstaird" }; ///< Each start takes one of them.

    /// Returns whether faults of this kind happen.
    bool plays(SoakFaultKind kind) const
    {
        if (leftOut.contains(kind))
            return false;
        if (kind == SoakFaultKind::FillStore)
            return fillsStore;
        return kind < SoakFaultKind::SignalBurst || isStressed;
    }
};

/// Returns the faults of a soak in the order of their times; the same for the same settings.
std::vector<SoakFault> drawSoakFaults(const SoakSettings& settings, size_t targetCount);

} // namespace cyclamenstair
