#include <Cyclamenstair/Node/PlanRepository.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>
#include <cstdio>

namespace cyclamenstair {

namespace {

    /// The store holds values up to 1 MB; half of it leaves room for the base64 form of the gateway.
    constexpr size_t chunkBytes = 512 << 10;

    /// Larger deltas are stored as snapshots: the transaction also holds the head and two history records.
    constexpr size_t maxDeltaBytes = 256 << 10;

    constexpr size_t maxSetsRemovedAtOnce = 4;

    /// Up to this many missing deltas are read one by one; more are read a hundred at a time by their common prefix.
    constexpr uint64_t maxSingleReads = 3;
    constexpr uint64_t deltasPerRead = 100;

    std::string chunkKey(const std::string& snapshotId, size_t index)
    {
        return "plan/chunk/" + snapshotId + "/" + std::to_string(index);
    }

    /// Zero-padded, so that the keys sort by revision.
    std::string padded(uint64_t revision)
    {
        char digits[24];
        std::snprintf(digits, sizeof(digits), "%020llu", static_cast<unsigned long long>(revision));
        return digits;
    }

    std::string deltaKey(uint64_t revision) { return "plan/delta/" + padded(revision); }

    std::string historyKey(uint64_t revision) { return PlanRepository::historyPrefix + padded(revision); }

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

    /// The answer to a call that changed nothing itself.
    PlanAcceptance notAccepted(const PlanProposal& proposal, const std::string& message)
    {
        if (proposal.isRepeat)
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

std::optional<Plan> PlanRepository::readPlan(const PlanHead& head, const Plan* known)
{
    if (known && known->revision <= head.revision && head.revision - known->revision <= keptDeltas) {
        if (auto plan = applyDeltas(*known, head.revision))
            return plan;
    }
    auto snapshot = readSnapshot(head);
    if (!snapshot)
        return std::nullopt;
    return applyDeltas(std::move(*snapshot), head.revision);
}

std::optional<Plan> PlanRepository::applyDeltas(Plan plan, uint64_t revision)
{
    const auto deltas = readDeltas(plan.revision, revision);
    if (!deltas)
        return std::nullopt;
    for (const auto& delta : *deltas) {
        auto next = delta.appliedTo(plan);
        if (!next)
            return std::nullopt;
        plan = std::move(*next);
    }
    return plan.revision == revision ? std::make_optional(std::move(plan)) : std::nullopt;
}

std::optional<std::vector<PlanDelta>> PlanRepository::readDeltas(uint64_t after, uint64_t revision)
{
    std::vector<PlanDelta> deltas;
    const bool isSingle = revision - after <= maxSingleReads;
    for (uint64_t next = after + 1; next <= revision;) {
        const auto prefix = deltaKey(next).substr(0, deltaKey(next).size() - 2);
        const auto read = isSingle ? m_store->range(deltaKey(next)) : m_store->range(prefix, true);
        const auto* range = std::get_if<StoreRange>(&read);
        if (!range)
            return std::nullopt;
        const auto end = isSingle ? next + 1 : (next / deltasPerRead + 1) * deltasPerRead;
        for (const auto& record : range->records) {
            auto delta = decodePlanDelta(record.value);
            if (delta.revision == next && next <= revision) {
                deltas.push_back(std::move(delta));
                ++next;
            }
        }
        // A gap: the delta was too large or is gone.
        if (next < std::min(end, revision + 1))
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
    // The head is read before the acceptance: an earlier success of the same id that changed the head then shows.
    const auto present = readHead();
    if (!present)
        return notAccepted(proposal, "the store is unavailable");
    const auto& [presentHead, storeRevision] = *present;
    const auto earlier = findAcceptance(proposal.acceptanceId);
    if (!earlier)
        return notAccepted(proposal, "the store is unavailable");
    if (*earlier)
        return PlanAccepted { **earlier, std::nullopt };
    if (presentHead.revision != proposal.expectedRevision)
        return PlanConflict { presentHead };

    auto plan = proposal.plan;
    PlanHead head = presentHead;
    head.revision = plan.revision = presentHead.revision + 1;
    head.acceptanceId = proposal.acceptanceId;
    head.acceptedBy = proposal.acceptedBy;
    head.acceptedAtUnixMs = unixMilliseconds();
    head.reason = proposal.reason;

    // Head, delta and audit record change together, under the condition that the head is still the one that was read
    // and the id was not accepted before.
    StoreTransaction transaction;
    transaction.compares.push_back({ headKey, storeRevision });
    transaction.compares.push_back({ acceptanceKey(proposal.acceptanceId), 0 });
    const bool isDelta = addDelta(proposal, presentHead, plan, head, transaction);
    const bool isSnapshotDue = !isDelta || head.revision - presentHead.snapshotRevision >= deltasPerSnapshot;
    if (isSnapshotDue && !addSnapshot(presentHead, plan, head, transaction))
        return notAccepted(proposal, "the plan's chunks could not be written");
    if (!addRemovals(head.revision, transaction))
        return notAccepted(proposal, "the store is unavailable");
    const auto encodedHead = encodePlanHead(head);
    transaction.mutations.emplace_back(StorePut { headKey, encodedHead });
    transaction.mutations.emplace_back(StorePut { historyKey(head.revision), encodedHead });
    transaction.mutations.emplace_back(StorePut { acceptanceKey(proposal.acceptanceId), encodedHead });
    return settle(proposal, std::move(head), std::move(plan), transaction);
}

PlanAcceptance PlanRepository::settle(
    const PlanProposal& proposal, PlanHead head, Plan plan, const StoreTransaction& transaction)
{
    const auto outcome
        = m_store->transactAndConfirm(transaction, acceptanceKey(proposal.acceptanceId), [&](const std::string& value) {
              head = decodePlanHead(value);
              return true;
          });
    return std::visit(Overloaded {
                          [&](const StoreApplied&) -> PlanAcceptance {
                              const bool isOwn = plan.revision == head.revision;
                              return PlanAccepted { head, isOwn ? std::make_optional(std::move(plan)) : std::nullopt };
                          },
                          [&](const StoreNotApplied& refused) -> PlanAcceptance {
                              if (refused.refusal != StoreRefusal::Conflict)
                                  return notAccepted(proposal, refused.message);
                              const auto winner = readHead();
                              const auto earlier = findAcceptance(proposal.acceptanceId);
                              if (earlier && *earlier)
                                  return PlanAccepted { **earlier, std::nullopt };
                              if (winner && earlier && winner->first.revision != proposal.expectedRevision)
                                  return PlanConflict { winner->first };
                              // Another attempt with the same id may be under way, or its chunks were removed after the
                              // grace time.
                              return PlanAcceptanceUnknown { proposal.acceptanceId };
                          },
                          [&](const StoreOutcomeUnknown&) -> PlanAcceptance {
                              return PlanAcceptanceUnknown { proposal.acceptanceId };
                          },
                      },
        outcome);
}

bool PlanRepository::addDelta(const PlanProposal& proposal, const PlanHead& present, const Plan& plan, PlanHead& head,
    StoreTransaction& transaction)
{
    if (present.revision == 0)
        return false;
    const auto base = readPlan(present, proposal.known.get());
    if (!base)
        return false;
    auto encoded = encodePlanDelta(PlanDelta::between(*base, plan));
    // A delta that is no smaller than the plan saves nothing. Small plans are stored as deltas in any case.
    constexpr size_t smallBytes = 16 << 10;
    if (encoded.size() > maxDeltaBytes || (encoded.size() > smallBytes && encoded.size() > encodePlan(plan).size() / 2))
        return false;
    transaction.mutations.emplace_back(StorePut { deltaKey(head.revision), std::move(encoded) });
    return true;
}

bool PlanRepository::addSnapshot(
    const PlanHead& present, const Plan& plan, PlanHead& head, StoreTransaction& transaction)
{
    removeUnreferenced(unixMilliseconds());
    const auto encoded = encodePlan(plan);
    head.snapshotId = head.acceptanceId;
    head.snapshotRevision = head.revision;
    head.chunkCount = static_cast<uint32_t>((encoded.size() + chunkBytes - 1) / chunkBytes);

    // The record that names the chunks comes first. Chunks and acceptance are written only while it is unchanged, so
    // that nothing can be written after the removal of the set.
    const auto recordKey = unreferencedKey(head.snapshotId);
    StoreTransaction record;
    const auto encodedSet = encodeChunkSet({ unixMilliseconds(), head.chunkCount });
    record.mutations.emplace_back(StorePut { recordKey, encodedSet });
    const auto recorded
        = m_store->transactAndConfirm(record, recordKey, [&](const std::string& value) { return value == encodedSet; });
    const auto* applied = std::get_if<StoreApplied>(&recorded);
    if (!applied)
        return false;
    for (uint32_t index = 0; index < head.chunkCount; ++index) {
        StoreTransaction chunk;
        chunk.compares.push_back({ recordKey, applied->revision });
        chunk.mutations.emplace_back(
            StorePut { chunkKey(head.snapshotId, index), encoded.substr(index * chunkBytes, chunkBytes) });
        auto outcome = m_store->transact(chunk);
        // Writing a chunk is idempotent: its key is unique to the acceptance.
        if (std::holds_alternative<StoreOutcomeUnknown>(outcome))
            outcome = m_store->transact(chunk);
        if (!std::holds_alternative<StoreApplied>(outcome))
            return false;
    }
    transaction.compares.push_back({ recordKey, applied->revision });
    transaction.mutations.emplace_back(StoreDelete { recordKey });
    if (present.chunkCount > 0)
        transaction.mutations.emplace_back(StorePut {
            unreferencedKey(present.snapshotId), encodeChunkSet({ unixMilliseconds(), present.chunkCount }) });
    return true;
}

bool PlanRepository::addRemovals(uint64_t revision, StoreTransaction& transaction)
{
    if (revision > keptDeltas)
        transaction.mutations.emplace_back(StoreDelete { deltaKey(revision - keptDeltas) });
    if (revision <= keptHistory)
        return true;
    const auto key = historyKey(revision - keptHistory);
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

size_t PlanRepository::removeUnreferenced(uint64_t nowUnixMs)
{
    const auto read = m_store->range(unreferencedPrefix, true);
    const auto* range = std::get_if<StoreRange>(&read);
    size_t removed = 0;
    if (!range)
        return removed;
    for (const auto& record : range->records) {
        const auto chunks = decodeChunkSet(record.value);
        if (removed == maxSetsRemovedAtOnce)
            break;
        if (chunks.sinceUnixMs + unreferencedGraceMs > nowUnixMs)
            continue;
        const auto snapshotId = record.key.substr(std::string_view(unreferencedPrefix).size());
        StoreTransaction transaction;
        transaction.compares.push_back({ record.key, record.modRevision });
        transaction.mutations.emplace_back(StoreDelete { record.key });
        for (uint32_t index = 0; index < chunks.chunkCount; ++index)
            transaction.mutations.emplace_back(StoreDelete { chunkKey(snapshotId, index) });
        if (std::holds_alternative<StoreApplied>(m_store->transact(transaction)))
            ++removed;
    }
    return removed;
}

} // namespace cyclamenstair
