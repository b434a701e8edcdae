#include <Cyclamenstair/Membership/LeasedPortions.h>

#include <algorithm>

namespace cyclamenstair {

Result<LeasedPortions> LeasedPortions::create(std::string limit, std::vector<Portion> portions)
{
    LeasedPortions record(std::move(limit));
    if (record.m_limitName.empty())
        return Error { ErrorKind::InvalidInput, "membership.portions", "", "the name of the limit is empty" };
    for (auto& portion : portions) {
        if (record.find(portion.holder))
            return Error { ErrorKind::InvalidInput, "membership.portions", record.m_limitName,
                "holder '" + portion.holder + "' has more than one portion" };
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

uint32_t LeasedPortions::renew(const std::string& holder, uint32_t requestedSlots, uint32_t slotsInUse,
    uint32_t limitSlots, uint64_t expiresAtUnixMs)
{
    const auto* current = find(holder);
    const uint32_t otherSlots = grantedSlots() - (current ? current->slots : 0);
    const uint32_t available = limitSlots > otherSlots ? limitSlots - otherSlots : 0;
    // Slots in use remain granted even if the limit was lowered in the meantime.
    const uint32_t slots
        = std::max(std::min(requestedSlots, available), current ? std::min(slotsInUse, current->slots) : 0);
    std::erase_if(m_portions, [&](const auto& portion) { return portion.holder == holder; });
    if (slots > 0)
        m_portions.push_back({ holder, slots, expiresAtUnixMs });
    return slots;
}

void LeasedPortions::release(const std::string& holder)
{
    std::erase_if(m_portions, [&](const auto& portion) { return portion.holder == holder; });
}

void LeasedPortions::reclaim(
    uint64_t nowUnixMs, const std::function<bool(const std::string& holder)>& isHolderTerminated)
{
    std::erase_if(m_portions,
        [&](const auto& portion) { return portion.expiresAtUnixMs < nowUnixMs && isHolderTerminated(portion.holder); });
}

} // namespace cyclamenstair
