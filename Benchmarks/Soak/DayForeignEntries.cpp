#include <Benchmarks/Soak/DayForeignEntries.h>

#include <Benchmarks/Soak/ForeignRecord.h>

namespace cyclamenstair {

namespace {

    constexpr auto writeInterval = milliseconds(700);
    constexpr size_t entryCount = 4;

} // namespace

void DayForeignEntries::tick(const std::string& entry)
{
    const auto now = monotonicNow();
    if (now - m_writtenAt < writeInterval)
        return;
    m_writtenAt = now;
    const auto key = "servers/" + std::string(foreignMark) + std::to_string(randomIndex(m_random, entryCount));
    if (randomIndex(m_random, entryCount) == 0)
        m_store->remove(key);
    else
        m_store->put(key, drawFaultyEntry(entry, m_random));
}

} // namespace cyclamenstair
