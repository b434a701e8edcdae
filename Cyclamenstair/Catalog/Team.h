#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Error.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// What an allotment counts.
enum class AllotmentUnit : uint8_t {
    Requests,
    Tokens, ///< Prompt tokens and maximum response tokens together.
};

template <> struct EnumNames<AllotmentUnit> {
    static constexpr auto table = std::to_array<EnumName<AllotmentUnit>>({
        { AllotmentUnit::Requests, "requests" },
        { AllotmentUnit::Tokens, "tokens" },
    });
};

/// Work that the callers of a team may request, over all nodes together.
struct Allotment {
    AllotmentUnit unit { AllotmentUnit::Requests };
    double ratePerSecond { 0 }; ///< Units per second; 0 for no limit.
    double burst { 0 }; ///< Units beyond the rate.
    double plainRequestTokens { 0 }; ///< Cost of a request that states no tokens, if the unit is Tokens.

    bool isLimited() const { return ratePerSecond > 0; }

    /// Returns the units that a request costs; `tokens` is what it states.
    double cost(std::optional<double> tokens) const;
};

/// Callers that share keys, a priority and an allotment.
struct Team {
    std::string name;
    std::vector<std::string> keys; ///< Empty if all keys were withdrawn.
    std::optional<uint32_t> priority; ///< Takes precedence over the priority of the route; 0 is the highest.
    Allotment allotment;
};

/// Returns the first error in the teams of a catalog: an empty or repeated name, an empty key, a key of two teams, or
/// an allotment out of range. The error names the team and never contains a key.
std::optional<Error> validateTeams(const std::vector<Team>& teams);

} // namespace cyclamenstair
