#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// State of a claim in the store.
enum class ClaimState : uint8_t {
    Claimed, ///< The node that made the claim may have sent the request.
    Answered, ///< The response is stored in the record.
    Unknown, ///< The request may have run, but its response is lost.
    Released, ///< The request did not run; the claim may be taken over.
};

template <> struct EnumNames<ClaimState> {
    static constexpr auto table = std::to_array<EnumName<ClaimState>>({
        { ClaimState::Claimed, "claimed" },
        { ClaimState::Answered, "answered" },
        { ClaimState::Unknown, "unknown" },
        { ClaimState::Released, "released" },
    });
};

/// Progress of a claimed request at the node that made the claim.
enum class ClaimProgress : uint8_t {
    Running,
    Abandoned, ///< Was not and will not be sent to the service.
    Finished,
    NotKnown, ///< The node has no information about the claim, or the outcome is unknown.
};

template <> struct EnumNames<ClaimProgress> {
    static constexpr auto table = std::to_array<EnumName<ClaimProgress>>({
        { ClaimProgress::Running, "running" },
        { ClaimProgress::Abandoned, "abandoned" },
        { ClaimProgress::Finished, "finished" },
        { ClaimProgress::NotKnown, "not_known" },
    });
};

/// HTTP response of a service to a booking request.
struct BookingResponse {
    int status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(const BookingResponse&) const = default;
};

/// Store record of a claim, which ensures that a request runs at most once.
struct ClaimRecord {
    ClaimState state { ClaimState::Claimed };
    std::string node; ///< Incarnation of the node that made the claim.
    std::string token; ///< Random value, unique to each attempt to make a claim.
    uint64_t bodyHash { 0 }; ///< Hash of method, path and body.
    BookingResponse response; ///< Set if the state is Answered.

    bool operator==(const ClaimRecord&) const = default;
};

} // namespace cyclamenstair
