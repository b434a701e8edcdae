#include <Cyclamenstair/Node/PlanRepository.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>
#include <cstdio>

namespace cyclamenstair {

namespace {

    /// The store limits values to 1 MB; half of that leaves room for the base64 encoding of the HTTP gateway.
    constexpr size_t chunkBytes = 512 << 10;

    /// Larger changes are stored as snapshots. The transaction also contains the head and two history records.
    constexpr size_t maxDeltaBytes = 256 << 10;

    constexpr size_t maxChunkSetsPerRemoval = 4;

    /// Up to this number of missing deltas are read individually; more are read by common key prefix, 100 per read.
    constexpr uint64_t maxIndividualDeltaReads = 3;
    constexpr uint64_t deltasPerPrefixRead = 100;

    std::string chunkKey(const std::string& snapshotId, size_t index)
    {
        return "plan/chunk/" + snapshotId + "/" + std::to_string(index);
    }

    /// Zero-padded, so that the keys sort by revision.
    std::string zeroPadded(uint64_t revision)
    {
        char digits[24];
        std::snprintf(digits, sizeof(digits), "%020llu", static_cast<unsigned long long>(revision));
        return digits;
    }

    std::string deltaKey(uint64_t revision) { return "plan/delta/" + zeroPadded(revision); }

    std::string historyKey(uint64_t revision) { return PlanRepository::historyPrefix + zeroPadded(revision); }

    std::string acceptanceKey(const std::string& acceptanceId) { return "plan/acceptance/" + acceptanceId; }

    std::string unreferencedKey(const std::string& snapshotId)
    {
        return PlanRepository::unreferencedPrefix + snapshotId;
    }

    uint64_t unixMilliseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    /// Result of an attempt that wrote nothing. For a retry, the outcome of the earlier attempt remains unknown.
    PlanAcceptance rejectionOf(const PlanProposal& proposal, const std::string& message)
    {
        if (proposal.isRetry)
            return PlanAcceptanceUnknown { proposal.acceptanceId };
        return PlanNotAccepted { message };
    }

} // namespace

std::optional<std::pair<PlanHead, int64_t>> PlanRepository::readHead()
{
    const auto read = m_store->range(headKey);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return std::nullopt;
    if (range->records.empty())
        return std::make_pair(PlanHead(), int64_t(0));
    return std::make_pair(decodePlanHead(range->records.front().value), range->records.front().modRevision);
}

std::optional<Plan> PlanRepository::readPlan(const PlanHead& head, const Plan* basePlan)
{
    if (basePlan && basePlan->revision <= head.revision && head.revision - basePlan->revision <= retainedDeltas) {
        if (auto plan = applyDeltas(*basePlan, head.revision))
            return plan;
    }
    auto snapshot = readSnapshot(head);
    if (!snapshot)
        return std::nullopt;
    return applyDeltas(std::move(*snapshot), head.revision);
}

std::optional<Plan> PlanRepository::applyDeltas(Plan plan, uint64_t toRevision)
{
    const auto deltas = readDeltas(plan.revision, toRevision);
    if (!deltas)
        return std::nullopt;
    for (const auto& delta : *deltas) {
        auto next = delta.appliedTo(plan);
        if (!next)
            return std::nullopt;
        plan = std::move(*next);
    }
    return plan.revision == toRevision ? std::make_optional(std::move(plan)) : std::nullopt;
}

std::optional<std::vector<PlanDelta>> PlanRepository::readDeltas(uint64_t fromRevision, uint64_t toRevision)
{
    std::vector<PlanDelta> deltas;
    const bool readsIndividually = toRevision - fromRevision <= maxIndividualDeltaReads;
    for (uint64_t next = fromRevision + 1; next <= toRevision;) {
        const auto prefix = deltaKey(next).substr(0, deltaKey(next).size() - 2);
        const auto read = readsIndividually ? m_store->range(deltaKey(next)) : m_store->range(prefix, true);
        const auto* range = std::get_if<StoreRange>(&read);
        if (!range)
            return std::nullopt;
        const auto end = readsIndividually ? next + 1 : (next / deltasPerPrefixRead + 1) * deltasPerPrefixRead;
        for (const auto& record : range->records) {
            auto delta = decodePlanDelta(record.value);
            if (delta.revision == next && next <= toRevision) {
                deltas.push_back(std::move(delta));
                ++next;
            }
        }
        // Gap: the delta was too large to be stored, or has been removed.
        if (next < std::min(end, toRevision + 1))
            return std::nullopt;
    }
    return deltas;
}

std::optional<Plan> PlanRepository::readSnapshot(const PlanHead& head)
{
    std::string encoded;
    for (uint32_t index = 0; index < head.chunkCount; ++index) {
        const auto read = m_store->range(chunkKey(head.snapshotId, index));
        const auto* range = std::get_if<StoreRange>(&read);
        if (!range || range->records.empty())
            return std::nullopt;
        encoded += range->records.front().value;
    }
    auto plan = decodePlan(encoded);
    plan.revision = head.snapshotRevision;
    return plan;
}

std::optional<std::optional<PlanHead>> PlanRepository::findAcceptance(const std::string& acceptanceId)
{
    const auto read = m_store->range(acceptanceKey(acceptanceId));
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return std::nullopt;
    std::optional<PlanHead> found;
    if (!range->records.empty())
        found = decodePlanHead(range->records.front().value);
    return found;
}

PlanAcceptance PlanRepository::accept(const PlanProposal& proposal)
{
    // Read the head before the acceptance record. If an earlier attempt with the same id has changed the head, its
    // acceptance record is then visible.
    const auto current = readHead();
    if (!current)
        return rejectionOf(proposal, "cannot read the plan head: the store is unavailable");
    const auto& [currentHead, storeRevision] = *current;
    const auto earlierAcceptance = findAcceptance(proposal.acceptanceId);
    if (!earlierAcceptance)
        return rejectionOf(proposal, "cannot read the acceptance record: the store is unavailable");
    if (*earlierAcceptance)
        return PlanAccepted { **earlierAcceptance, std::nullopt };
    if (currentHead.revision != proposal.expectedRevision)
        return PlanConflict { currentHead };

    auto plan = proposal.plan;
    PlanHead head = currentHead;
    head.revision = plan.revision = currentHead.revision + 1;
    head.acceptanceId = proposal.acceptanceId;
    head.acceptedBy = proposal.acceptedBy;
    head.acceptedAtUnixMs = unixMilliseconds();
    head.reason = proposal.reason;

    // Head, delta and history records are written atomically, provided that the head is unchanged since it was read and
    // the id has not been accepted.
    StoreTransaction transaction;
    transaction.compares.push_back({ headKey, storeRevision });
    transaction.compares.push_back({ acceptanceKey(proposal.acceptanceId), 0 });
    const bool hasDelta = addDelta(proposal, currentHead, plan, head, transaction);
    const bool isSnapshotDue = !hasDelta || head.revision - currentHead.snapshotRevision >= deltasPerSnapshot;
    if (isSnapshotDue && !addSnapshot(currentHead, plan, head, transaction))
        return rejectionOf(proposal, "cannot write the chunks of the plan snapshot to the store");
    if (!addRetentionDeletes(head.revision, transaction))
        return rejectionOf(proposal, "cannot read the plan history: the store is unavailable");
    const auto encodedHead = encodePlanHead(head);
    transaction.mutations.emplace_back(StorePut { headKey, encodedHead });
    transaction.mutations.emplace_back(StorePut { historyKey(head.revision), encodedHead });
    transaction.mutations.emplace_back(StorePut { acceptanceKey(proposal.acceptanceId), encodedHead });
    return commit(proposal, std::move(head), std::move(plan), transaction);
}

PlanAcceptance PlanRepository::commit(
    const PlanProposal& proposal, PlanHead head, Plan plan, const StoreTransaction& transaction)
{
    const auto outcome
        = m_store->transactAndConfirm(transaction, acceptanceKey(proposal.acceptanceId), [&](const std::string& value) {
              head = decodePlanHead(value);
              return true;
          });
    return std::visit(
        Overloaded {
            [&](const StoreApplied&) -> PlanAcceptance {
                const bool isNewAcceptance = plan.revision == head.revision;
                return PlanAccepted { head, isNewAcceptance ? std::make_optional(std::move(plan)) : std::nullopt };
            },
            [&](const StoreNotApplied& refused) -> PlanAcceptance {
                if (refused.refusal != StoreRefusal::Conflict)
                    return rejectionOf(proposal, refused.message);
                const auto currentHead = readHead();
                const auto earlierAcceptance = findAcceptance(proposal.acceptanceId);
                if (earlierAcceptance && *earlierAcceptance)
                    return PlanAccepted { **earlierAcceptance, std::nullopt };
                if (currentHead && earlierAcceptance && currentHead->first.revision != proposal.expectedRevision)
                    return PlanConflict { currentHead->first };
                // Another attempt with the same id may be in progress, or its chunks were removed after the grace
                // period.
                return PlanAcceptanceUnknown { proposal.acceptanceId };
            },
            [&](const StoreOutcomeUnknown&) -> PlanAcceptance {
                return PlanAcceptanceUnknown { proposal.acceptanceId };
            },
        },
        outcome);
}

bool PlanRepository::addDelta(const PlanProposal& proposal, const PlanHead& currentHead, const Plan& plan,
    PlanHead& head, StoreTransaction& transaction)
{
    if (currentHead.revision == 0)
        return false;
    const auto base = readPlan(currentHead, proposal.basePlan.get());
    if (!base)
        return false;
    auto encoded = encodePlanDelta(PlanDelta::between(*base, plan));
    // A delta of more than half the plan's size saves little. Small deltas are stored in any case.
    constexpr size_t smallDeltaBytes = 16 << 10;
    if (encoded.size() > maxDeltaBytes
        || (encoded.size() > smallDeltaBytes && encoded.size() > encodePlan(plan).size() / 2))
        return false;
    transaction.mutations.emplace_back(StorePut { deltaKey(head.revision), std::move(encoded) });
    return true;
}

bool PlanRepository::addSnapshot(
    const PlanHead& currentHead, const Plan& plan, PlanHead& head, StoreTransaction& transaction)
{
    removeUnreferencedChunks(unixMilliseconds());
    const auto encoded = encodePlan(plan);
    head.snapshotId = head.acceptanceId;
    head.snapshotRevision = head.revision;
    head.chunkCount = static_cast<uint32_t>((encoded.size() + chunkBytes - 1) / chunkBytes);

    // Write the record that lists the chunks first. Chunks and the acceptance are written only while it is unchanged,
    // so nothing can be written after the chunk set has been removed.
    const auto recordKey = unreferencedKey(head.snapshotId);
    StoreTransaction record;
    const auto encodedSet = encodeChunkSet({ unixMilliseconds(), head.chunkCount });
    record.mutations.emplace_back(StorePut { recordKey, encodedSet });
    const auto recordOutcome
        = m_store->transactAndConfirm(record, recordKey, [&](const std::string& value) { return value == encodedSet; });
    const auto* applied = std::get_if<StoreApplied>(&recordOutcome);
    if (!applied)
        return false;
    for (uint32_t index = 0; index < head.chunkCount; ++index) {
        StoreTransaction chunk;
        chunk.compares.push_back({ recordKey, applied->revision });
        chunk.mutations.emplace_back(
            StorePut { chunkKey(head.snapshotId, index), encoded.substr(index * chunkBytes, chunkBytes) });
        auto outcome = m_store->transact(chunk);
        // Writing a chunk is idempotent, because its key is unique to the acceptance. Retry once.
        if (std::holds_alternative<StoreOutcomeUnknown>(outcome))
            outcome = m_store->transact(chunk);
        if (!std::holds_alternative<StoreApplied>(outcome))
            return false;
    }
    transaction.compares.push_back({ recordKey, applied->revision });
    transaction.mutations.emplace_back(StoreDelete { recordKey });
    if (currentHead.chunkCount > 0)
        transaction.mutations.emplace_back(StorePut {
            unreferencedKey(currentHead.snapshotId), encodeChunkSet({ unixMilliseconds(), currentHead.chunkCount }) });
    return true;
}

bool PlanRepository::addRetentionDeletes(uint64_t revision, StoreTransaction& transaction)
{
    if (revision > retainedDeltas)
        transaction.mutations.emplace_back(StoreDelete { deltaKey(revision - retainedDeltas) });
    if (revision <= retainedAcceptances)
        return true;
    const auto key = historyKey(revision - retainedAcceptances);
    const auto read = m_store->range(key);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return false;
    for (const auto& record : range->records) {
        transaction.mutations.emplace_back(StoreDelete { acceptanceKey(decodePlanHead(record.value).acceptanceId) });
        transaction.mutations.emplace_back(StoreDelete { key });
    }
    return true;
}

std::optional<std::vector<PlanHead>> PlanRepository::readHistory()
{
    const auto read = m_store->range(historyPrefix, true);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return std::nullopt;
    std::vector<PlanHead> history;
    for (const auto& record : range->records)
        history.push_back(decodePlanHead(record.value));
    return history;
}

size_t PlanRepository::removeUnreferencedChunks(uint64_t nowUnixMs)
{
    const auto read = m_store->range(unreferencedPrefix, true);
    const auto* range = std::get_if<StoreRange>(&read);
    size_t removedSets = 0;
    if (!range)
        return removedSets;
    for (const auto& record : range->records) {
        const auto chunks = decodeChunkSet(record.value);
        if (removedSets == maxChunkSetsPerRemoval)
            break;
        if (chunks.sinceUnixMs + unreferencedGracePeriodMs > nowUnixMs)
            continue;
        const auto snapshotId = record.key.substr(std::string_view(unreferencedPrefix).size());
        StoreTransaction transaction;
        transaction.compares.push_back({ record.key, record.modRevision });
        transaction.mutations.emplace_back(StoreDelete { record.key });
        for (uint32_t index = 0; index < chunks.chunkCount; ++index)
            transaction.mutations.emplace_back(StoreDelete { chunkKey(snapshotId, index) });
        if (std::holds_alternative<StoreApplied>(m_store->transact(transaction)))
            ++removedSets;
    }
    return removedSets;
}

} // namespace cyclamenstair
