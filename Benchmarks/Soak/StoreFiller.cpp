#include <Benchmarks/Soak/StoreFiller.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>

namespace cyclamenstair {

namespace {

    constexpr uint64_t seedOfPhases = 0x706861736573;
    constexpr uint64_t seedOfRecords = 0x7265636f726473;
    /// Prefixes of the nodes' reads (`origins/` holds no records of the writer).
    constexpr std::array<std::string_view, 3> readPrefixes { "servers/", "op/", "control/" };
    /// Removal comes less often than the others, as little happens in it.
    constexpr std::array phases { StoreFillPhase::Changes, StoreFillPhase::Changes, StoreFillPhase::ManyEntries,
        StoreFillPhase::ManyEntries, StoreFillPhase::LargeValues, StoreFillPhase::LargeValues,
        StoreFillPhase::Removal };
    constexpr double minPhaseMs = 1500;
    constexpr double maxPhaseMs = 6000;
    constexpr double maxChangePauseMs = 150;
    constexpr size_t maxChangedRecords = 60; ///< Beyond which a change removes a record.
    constexpr size_t minManyEntries = 200;
    constexpr size_t maxManyEntries = 500;
    constexpr size_t maxSmallBytes = 2000; ///< Of records of ManyEntries.
    constexpr size_t recordsPerTick = 10; ///< Of ManyEntries.
    constexpr size_t largeRecords = 40; ///< Of LargeValues: together more than a client reads in one response.
    constexpr size_t maxSmallPage = 3; ///< In items.
    /// Part of the values of LargeValues that are JSON. The stand-in parses each entry below servers/ for each node,
    /// which takes up to a tenth of a second for a nested one of the largest size.
    constexpr size_t jsonValuesPart = 8;
    /// The stand-in keeps all values of the history in memory.
    constexpr size_t maxBytesBetweenCompactions = size_t { 200 } << 20U;

} // namespace

StoreFiller::StoreFiller(RegistryStoreStandIn& store, std::function<Entries()> entries,
    const std::vector<std::string>& nodeIds, size_t otherRecords, uint64_t seed)
    : m_store(&store)
    , m_entries(std::move(entries))
    , m_prefixes { "servers/", "op/", "op/config", "control/", "control/holder", "control/nodes/", "control/versions/" }
    , m_otherRecords(otherRecords)
    , m_phaseRandom(seed ^ seedOfPhases)
    , m_random(seed ^ seedOfRecords)
    , m_startedAt(monotonicNow())
{
    for (const auto& id : nodeIds)
        m_prefixes.push_back("control/nodes/" + id);
}

void StoreFiller::tick(bool isStoreReachable)
{
    if (m_isQuiet)
        return;
    const auto now = monotonicNow();
    if (now >= m_phaseEndsAt) {
        if (isStoreReachable)
            endPhase();
        beginPhase(now);
    }
    if (!isStoreReachable)
        return;
    if (m_compactsAt && now >= *m_compactsAt)
        compact();
    const size_t count
        = m_phase == StoreFillPhase::LargeValues ? m_pendingRecords : std::min(m_pendingRecords, recordsPerTick);
    const bool changes = now >= m_changesAt && m_phase != StoreFillPhase::Removal;
    const auto entries = changes || count > 0 ? m_entries() : Entries {};
    if (!entries.empty()) {
        if (m_phase == StoreFillPhase::LargeValues && count > 0)
            ++m_disturbances;
        for (size_t i = 0; i < count; ++i)
            write(m_phasePrefix,
                m_phase == StoreFillPhase::LargeValues ? maxStoreValueBytes : randomIndex(m_random, maxSmallBytes),
                entries);
        m_pendingRecords -= count;
        if (changes) {
            m_changesAt = now + milliseconds(static_cast<int64_t>(maxChangePauseMs * randomUnit(m_random)));
            change(entries);
        }
    }
    if (m_bytesSinceCompaction > maxBytesBetweenCompactions)
        compact();
    m_maxPages = std::max(m_maxPages, pageCount());
}

void StoreFiller::beginPhase(TimePoint now)
{
    m_phase = phases[randomIndex(m_phaseRandom, phases.size())];
    const auto length
        = milliseconds(static_cast<int64_t>(minPhaseMs + (maxPhaseMs - minPhaseMs) * randomUnit(m_phaseRandom)));
    m_phaseEndsAt = now + length;
    // All choices are drawn in each phase, so that the phases of a seed do not depend on each other.
    m_phasePrefix = m_prefixes[randomIndex(m_phaseRandom, m_prefixes.size())];
    const size_t entries = minManyEntries + randomIndex(m_phaseRandom, maxManyEntries - minManyEntries);
    const bool compacts = randomIndex(m_phaseRandom, 3) == 0;
    const auto compactsAt = now + std::chrono::duration_cast<Duration>(length * randomUnit(m_phaseRandom));
    m_compactsAt = compacts ? std::optional(compactsAt) : std::nullopt;
    m_pendingRecords = m_phase == StoreFillPhase::ManyEntries ? entries
        : m_phase == StoreFillPhase::LargeValues              ? largeRecords
                                                              : 0;
    setPage();
    std::cout << "other writer: " << nameOf(m_phase);
    if (m_pendingRecords > 0)
        std::cout << ", " << m_pendingRecords << " records below " << m_phasePrefix;
    std::cout << ", pages of " << m_page.maxItems << (compacts ? ", compacts" : "") << ", at "
              << toMilliseconds(now - m_startedAt) << " ms" << std::endl;
}

void StoreFiller::endPhase()
{
    const bool removesAll = m_phase == StoreFillPhase::ManyEntries && randomIndex(m_random, 2) == 0;
    const auto largeKeys = std::exchange(m_largeKeys, {});
    for (const auto& key : largeKeys)
        remove(key);
    // The history would else hold the large values until the next compaction.
    if (!largeKeys.empty())
        compact();
    if (!removesAll && m_phase != StoreFillPhase::Removal && m_records.size() < maxManyEntries)
        return;
    while (!m_records.empty())
        remove(m_records.begin()->first);
}

void StoreFiller::setPage()
{
    const bool isSmall = randomIndex(m_phaseRandom, 2) == 0;
    const size_t items = 1 + randomIndex(m_phaseRandom, maxSmallPage);
    m_maxPages = std::max(m_maxPages, pageCount());
    m_page = {};
    if (isSmall)
        m_page.maxItems = items;
    m_store->setPage(m_page);
}

void StoreFiller::change(const Entries& entries)
{
    const size_t choice = randomIndex(m_random, 10);
    if (choice == 0) {
        widenTarget(entries);
        return;
    }
    const bool removes = m_records.size() > maxChangedRecords ? choice < 7 : choice < 4;
    if (!removes || m_records.empty()) {
        write(m_prefixes[randomIndex(m_random, m_prefixes.size())], drawForeignSize(m_random), entries);
        return;
    }
    auto record = m_records.begin();
    std::advance(record, static_cast<std::ptrdiff_t>(randomIndex(m_random, m_records.size())));
    const auto key = record->first;
    remove(key);
    m_largeKeys.erase(key);
}

ForeignValueKind StoreFiller::drawKind(size_t size)
{
    const auto& kinds = EnumNames<ForeignValueKind>::table;
    const auto kind = kinds[randomIndex(m_random, kinds.size())].value;
    if (m_phase == StoreFillPhase::LargeValues && randomIndex(m_random, jsonValuesPart) != 0)
        return randomIndex(m_random, 2) == 0 ? ForeignValueKind::RandomBytes : ForeignValueKind::Text;
    // Faulty entries are short.
    return kind == ForeignValueKind::FaultyEntry && size == maxStoreValueBytes ? ForeignValueKind::UnknownFields : kind;
}

void StoreFiller::write(const std::string& prefix, size_t size, const Entries& entries)
{
    const auto& [id, entry] = entries[randomIndex(m_random, entries.size())];
    // Some ids begin with that of a target.
    const bool extendsId = prefix == "servers/" && randomIndex(m_random, 2) == 0;
    auto key = drawForeignKey(extendsId ? prefix + id : prefix, m_random);
    // One write in four changes a record that exists.
    if (const auto next = m_records.lower_bound(key);
        next != m_records.end() && next->first.starts_with(prefix) && randomIndex(m_random, 4) == 0)
        key = next->first;
    const auto value = drawForeignValue(drawKind(size), size, entry, m_random);
    m_store->put(key, value);
    m_records[key] = key.size() + value.size();
    m_bytesSinceCompaction += value.size();
    if (m_phase == StoreFillPhase::LargeValues && value.size() > maxStoreValueBytes / 2)
        m_largeKeys.insert(key);
}

void StoreFiller::remove(const std::string& key)
{
    m_store->remove(key);
    m_records.erase(key);
}

void StoreFiller::widenTarget(const Entries& entries)
{
    const auto& [id, entry] = entries[randomIndex(m_random, entries.size())];
    const bool widens = randomIndex(m_random, 2) == 0;
    const auto text = widens ? addUnknownFields(entry, drawForeignSize(m_random)) : entry;
    m_store->put("servers/" + id, text);
    m_bytesSinceCompaction += text.size();
    m_widenedBytes[id] = text.size();
}

void StoreFiller::compact()
{
    m_store->compact();
    m_compactsAt.reset();
    m_bytesSinceCompaction = 0;
    ++m_disturbances;
}

size_t StoreFiller::pageCount() const
{
    size_t pages = 1; // Of origins/.
    for (const auto prefix : readPrefixes) {
        size_t items = m_otherRecords;
        size_t bytes = 0;
        if (prefix == "servers/") {
            for (const auto& [id, size] : m_widenedBytes)
                bytes += size;
        }
        for (const auto& [key, size] : m_records) {
            if (key.starts_with(prefix)) {
                ++items;
                bytes += size;
            }
        }
        pages += maxPageCount(items, bytes, m_page.maxItems, m_page.maxBytes);
    }
    return pages;
}

size_t StoreFiller::takePageCount() { return std::exchange(m_maxPages, pageCount()); }

} // namespace cyclamenstair
