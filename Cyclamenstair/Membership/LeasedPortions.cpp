#include <Cyclamenstair/Membership/LeasedPortions.h>

#include <algorithm>

namespace cyclamenstair {

Result<LeasedPortions> LeasedPortions::create(std::string limit, std::vector<Portion> portions)
{
    LeasedPortions record(std::move(limit));
    if (record.m_limit.empty())
        return Error { ErrorKind::InvalidInput, "membership.portions", "", "the record names no limit" };
    for (auto& portion : portions) {
        if (record.find(portion.holder))
            return Error { ErrorKind::InvalidInput, "membership.portions", record.m_limit,
                "holder '" + portion.holder + "' stands twice" };
        record.m_portions.push_back(std::move(portion));
    }
    return record;
}

uint32_t LeasedPortions::grantedSlots() const
{
    uint32_t sum = 0;
    for (const auto& portion : m_portions)
        sum += portion.slots;
    return sum;
}

const Portion* LeasedPortions::find(const std::string& holder) const
{
    const auto found = std::find_if(
        m_portions.begin(), m_portions.end(), [&](const auto& portion) { return portion.holder == holder; });
    return found == m_portions.end() ? nullptr : &*found;
}

uint32_t LeasedPortions::renew(
    const std::string& holder, uint32_t wanted, uint32_t inUse, uint32_t total, uint64_t expiresAtUnixMs)
{
    const auto* present = find(holder);
    const uint32_t others = grantedSlots() - (present ? present->slots : 0);
    const uint32_t available = total > others ? total - others : 0;
    // Slots in use stay counted even if the limit was lowered meanwhile.
    const uint32_t slots = std::max(std::min(wanted, available), present ? std::min(inUse, present->slots) : 0);
    std::erase_if(m_portions, [&](const auto& portion) { return portion.holder == holder; });
    if (slots > 0)
        m_portions.push_back({ holder, slots, expiresAtUnixMs });
    return slots;
}

void LeasedPortions::surrender(const std::string& holder)
{
    std::erase_if(m_portions, [&](const auto& portion) { return portion.holder == holder; });
}

void LeasedPortions::reclaim(uint64_t nowUnixMs, const std::function<bool(const std::string& holder)>& hasEnded)
{
    std::erase_if(m_portions,
        [&](const auto& portion) { return portion.expiresAtUnixMs < nowUnixMs && hasEnded(portion.holder); });
}

} // namespace cyclamenstair
