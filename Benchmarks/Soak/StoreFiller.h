#pragma once

#include <Benchmarks/Soak/ForeignRecord.h>
#include <Benchmarks/Soak/StoreReadBound.h>

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Time.h>

#include <StandIns/RegistryStoreStandIn.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// What another writer does for some seconds.
enum class StoreFillPhase : uint8_t {
    Changes, ///< Writes and removes records of all sizes.
    ManyEntries, ///< Writes hundreds of small records.
    LargeValues, ///< Writes records of the largest size at once, so that they come between two watches.
    Removal, ///< Removes its records.
};

template <> struct EnumNames<StoreFillPhase> {
    static constexpr auto table = std::to_array<EnumName<StoreFillPhase>>({
        { StoreFillPhase::Changes, "changes" },
        { StoreFillPhase::ManyEntries, "many_entries" },
        { StoreFillPhase::LargeValues, "large_values" },
        { StoreFillPhase::Removal, "removal" },
    });
};

/// Another writer that fills the store below `servers/`, `op/` and `control/`, in phases drawn from a seed, and sets
/// the bounds of the store's pages. None of its records names a target of a service of the catalog. It also adds
/// unknown fields to entries of targets. Belongs to the thread of the run.
class StoreFiller {
public:
    /// Ids and entries of the targets that are in the store.
    using Entries = std::vector<std::pair<std::string, std::string>>;

    /// `entries` returns the current ones. `otherRecords` bounds the records of others below each prefix.
    StoreFiller(RegistryStoreStandIn& store, std::function<Entries()> entries, const std::vector<std::string>& nodeIds,
        size_t otherRecords, uint64_t seed);

    /// Writes and removes records when it is time; neither while the store cannot be reached. The phases go on.
    void tick(bool isStoreReachable);

    /// While the writer is quiet, it changes nothing, and its records stay.
    void setQuiet(bool isQuiet) { m_isQuiet = isQuiet; }

    /// Follow the same calls of the store.
    void keepCopy() { m_copy = m_records; }
    void returnFromCopy() { m_records = m_copy; }

    /// Returns the largest number of pages of one full read of all prefixes since the last call.
    size_t takePageCount();
    /// Returns how often it compacted the history, or wrote more at once than fits into the response to a watch.
    size_t disturbanceCount() const { return m_disturbances; }

private:
    void beginPhase(TimePoint now);
    void endPhase();
    void setPage();
    /// Writes, changes or removes a record, or widens an entry of a target.
    void change(const Entries& entries);
    ForeignValueKind drawKind(size_t size);
    /// Writes a record with a value of up to `size` bytes below one of the prefixes.
    void write(const std::string& prefix, size_t size, const Entries& entries);
    void remove(const std::string& key);
    /// Adds unknown fields to the entry of a target, or writes it as it was.
    void widenTarget(const Entries& entries);
    void compact();
    size_t pageCount() const;

    RegistryStoreStandIn* m_store;
    std::function<Entries()> m_entries;
    std::vector<std::string> m_prefixes; ///< Of keys.
    size_t m_otherRecords;
    Random m_phaseRandom; ///< Apart from that of the records, whose number depends on the time.
    Random m_random;
    TimePoint m_startedAt;
    bool m_isQuiet { false };
    StoreFillPhase m_phase { StoreFillPhase::Removal };
    TimePoint m_phaseEndsAt;
    std::optional<TimePoint> m_compactsAt;
    std::string m_phasePrefix; ///< Of the records of ManyEntries and LargeValues.
    size_t m_pendingRecords { 0 }; ///< Of ManyEntries and LargeValues, not yet written.
    std::set<std::string> m_largeKeys; ///< Of LargeValues.
    TimePoint m_changesAt;
    size_t m_bytesSinceCompaction { 0 };
    RegistryStorePage m_page;
    std::map<std::string, size_t> m_records; ///< Sizes of its keys and values, by key.
    std::map<std::string, size_t> m_copy;
    std::map<std::string, size_t> m_widenedBytes; ///< Of entries with unknown fields, by the target's id.
    size_t m_maxPages { 0 };
    size_t m_disturbances { 0 };
};

} // namespace cyclamenstair
