#pragma once

#include <Cyclamenstair/Catalog/Team.h>

#include <map>
#include <string_view>
#include <unordered_map>

namespace cyclamenstair {

/// Maps a caller's key to its team. Immutable.
///
/// The lookup uses the hash of the key, so that its duration tells nothing about how much of a key is right.
class TeamDirectory {
public:
    explicit TeamDirectory(const std::vector<Team>& teams);

    /// Returns whether callers must present a key.
    bool isEnabled() const { return !m_teams.empty(); }

    /// Returns the team that holds the key, or nullptr if none does.
    const Team* findByKey(std::string_view key) const;

    /// Returns the allotments by team name.
    std::map<std::string, Allotment> allotments() const;

private:
    std::vector<Team> m_teams;
    std::unordered_map<std::string, size_t> m_teamsByKeyHash;
};

} // namespace cyclamenstair
