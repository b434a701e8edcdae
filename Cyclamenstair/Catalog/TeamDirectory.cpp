#include <Cyclamenstair/Catalog/TeamDirectory.h>

#include <Cyclamenstair/Core/Crypto.h>

namespace cyclamenstair {

TeamDirectory::TeamDirectory(const std::vector<Team>& teams)
    : m_teams(teams)
{
    for (size_t i = 0; i < m_teams.size(); ++i) {
        for (const auto& key : m_teams[i].keys)
            m_teamsByKeyHash.emplace(sha256Hex(key), i);
    }
}

const Team* TeamDirectory::findByKey(std::string_view key) const
{
    const auto entry = m_teamsByKeyHash.find(sha256Hex(key));
    return entry == m_teamsByKeyHash.end() ? nullptr : &m_teams[entry->second];
}

std::map<std::string, Allotment> TeamDirectory::allotments() const
{
    std::map<std::string, Allotment> allotments;
    for (const auto& team : m_teams)
        allotments.emplace(team.name, team.allotment);
    return allotments;
}

} // namespace cyclamenstair
