#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// State of a claim in the store.
enum class ClaimState : uint8_t {
    Claimed, ///< The claim's node may have sent the call.
    Answered,
    Unknown, ///< The call may have run, and nobody has its answer.
    Released, ///< The call did not run; the claim may be taken over.
};

template <> struct EnumNames<ClaimState> {
    static constexpr auto table = std::to_array<EnumName<ClaimState>>({
        { ClaimState::Claimed, "claimed" },
        { ClaimState::Answered, "answered" },
        { ClaimState::Unknown, "unknown" },
        { ClaimState::Released, "released" },
    });
};

/// Progress of a booking claim at the node that made it.
enum class ClaimProgress : uint8_t {
    Running,
    Abandoned, ///< Never sent to the service and never will be.
    Finished,
    NotKnown,
};

template <> struct EnumNames<ClaimProgress> {
    static constexpr auto table = std::to_array<EnumName<ClaimProgress>>({
        { ClaimProgress::Running, "running" },
        { ClaimProgress::Abandoned, "abandoned" },
        { ClaimProgress::Finished, "finished" },
        { ClaimProgress::NotKnown, "not_known" },
    });
};

/// Answer of a service.
struct BookingAnswer {
    int status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(const BookingAnswer&) const = default;
};

/// Store record by which a call runs at most once.
struct ClaimRecord {
    ClaimState state { ClaimState::Claimed };
    std::string node; ///< Incarnation of the node that made the claim.
    std::string token; ///< Random; another one for each attempt to make a claim.
    uint64_t bodyHash { 0 }; ///< Hash of method, path and body.
    BookingAnswer answer;

    bool operator==(const ClaimRecord&) const = default;
};

} // namespace cyclamenstair
