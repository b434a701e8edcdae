#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>

namespace cyclamenstair {

/// Rules that a soak checks from outside.
enum class SoakRule : uint8_t {
    EndedByItself, ///< A node's process ended without being told to.
    WrongEnd, ///< A process that was told to end ended with another status than 0, or not in time.
    NotServing, ///< A node did not become ready after the last fault.
    NoAnswer, ///< A request that a calm node had read got no answer.
    WrongAnswer, ///< A success is not the whole body of a target for this request.
    RunTwice, ///< A request that may run once ran more often.
    RunAndRefused, ///< A request was answered "not run" and had run.
    OldCatalog, ///< A request was served as only an older catalog allows, after the time for a change had passed.
    CutOffCallers, ///< First tries at nodes without links to targets failed more often than at the others.
    RejectedInput, ///< A node could not decode a message or record, or a handler threw an exception.
    TwoHolders, ///< Two nodes gave orders under one fencing token, or too soon after each other.
    OverMemory, ///< The resident memory of a process exceeded that of its VM.
    NotReady, ///< A node did not become ready in time after a start, while the store was up.
    NoService, ///< No request was served for some seconds although nothing was disturbed.
    SlowRecovery, ///< Too few requests were served after the fault that ends a day.
    IdleProcessor, ///< A node without requests used too much of its processor share.
    BrokenStream, ///< A stream lacked or repeated events, or ended as complete before its last one.
    ExcessiveOrder, ///< An engine was ordered to load more than its memory or places hold.
    ExcessiveReads, ///< The store got more range calls than full reads at the longest pause of the nodes need.
};

template <> struct EnumNames<SoakRule> {
    static constexpr auto table = std::to_array<EnumName<SoakRule>>({
        { SoakRule::EndedByItself, "ended_by_itself" },
        { SoakRule::WrongEnd, "wrong_end" },
        { SoakRule::NotServing, "not_serving" },
        { SoakRule::NoAnswer, "no_answer" },
        { SoakRule::WrongAnswer, "wrong_answer" },
        { SoakRule::RunTwice, "run_twice" },
        { SoakRule::RunAndRefused, "run_and_refused" },
        { SoakRule::OldCatalog, "old_catalog" },
        { SoakRule::CutOffCallers, "cut_off_callers" },
        { SoakRule::RejectedInput, "rejected_input" },
        { SoakRule::TwoHolders, "two_holders" },
        { SoakRule::OverMemory, "over_memory" },
        { SoakRule::NotReady, "not_ready" },
        { SoakRule::NoService, "no_service" },
        { SoakRule::SlowRecovery, "slow_recovery" },
        { SoakRule::IdleProcessor, "idle_processor" },
        { SoakRule::BrokenStream, "broken_stream" },
        { SoakRule::ExcessiveOrder, "excessive_order" },
        { SoakRule::ExcessiveReads, "excessive_reads" },
    });
};

} // namespace cyclamenstair
