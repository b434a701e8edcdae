#include <Cyclamenstair/Catalog/Team.h>

#include <cmath>
#include <set>

namespace cyclamenstair {

namespace {

    /// Sums over all teams and a window of time stay exact below this rate.
    constexpr double maxUnits = 1e12;

    bool isInRange(double units) { return std::isfinite(units) && units >= 0 && units <= maxUnits; }

    Error teamError(const std::string& team, const std::string& message)
    {
        return { ErrorKind::InvalidInput, "catalog.teams", team, message };
    }

} // namespace

double Allotment::cost(std::optional<double> tokens) const
{
    return unit == AllotmentUnit::Requests ? 1 : tokens.value_or(plainRequestTokens);
}

std::optional<Error> validateTeams(const std::vector<Team>& teams)
{
    std::set<std::string> names;
    std::set<std::string> keys;
    for (const auto& team : teams) {
        if (team.name.empty())
            return teamError({}, "a team has no name");
        if (!names.insert(team.name).second)
            return teamError(team.name, "the name occurs twice");
        for (const auto& key : team.keys) {
            if (key.empty())
                return teamError(team.name, "a key is empty");
            if (!keys.insert(key).second)
                return teamError(team.name, "a key occurs twice");
        }
        const auto& allotment = team.allotment;
        if (!isInRange(allotment.ratePerSecond))
            return teamError(team.name, "the rate is out of range");
        if (!isInRange(allotment.burst))
            return teamError(team.name, "the burst is out of range");
        if (!isInRange(allotment.plainRequestTokens))
            return teamError(team.name, "the cost of a plain request is out of range");
    }
    return std::nullopt;
}

} // namespace cyclamenstair
