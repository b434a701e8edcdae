#include <Cyclamenstair/Node/PlanRepository.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>
#include <cstdio>

namespace cyclamenstair {

namespace {

    /// The store holds values up to 1 MB; half of it leaves room for the base64 form of the gateway.
    constexpr size_t chunkBytes = 512 << 10;

    std::string chunkKey(const std::string& acceptanceId, size_t index)
    {
        return "plan/chunk/" + acceptanceId + "/" + std::to_string(index);
    }

    /// Zero-padded, so that the keys sort by revision.
    std::string historyKey(uint64_t revision)
    {
        char digits[24];
        std::snprintf(digits, sizeof(digits), "%020llu", static_cast<unsigned long long>(revision));
        return std::string("plan/history/") + digits;
    }

    uint64_t unixMilliseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
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

std::optional<Plan> PlanRepository::readPlan(const PlanHead& head)
{
    std::string encoded;
    for (uint32_t index = 0; index < head.chunkCount; ++index) {
        const auto read = m_store->range(chunkKey(head.acceptanceId, index));
        const auto* range = std::get_if<StoreRange>(&read);
        if (!range || range->records.empty())
            return std::nullopt;
        encoded += range->records.front().value;
    }
    auto plan = decodePlan(encoded);
    plan.revision = head.revision;
    return plan;
}

PlanAcceptance PlanRepository::accept(const PlanProposal& proposal)
{
    const auto present = readHead();
    if (!present)
        return PlanNotAccepted { "the store is unavailable" };
    const auto& [presentHead, storeRevision] = *present;
    if (presentHead.acceptanceId == proposal.acceptanceId)
        return PlanAccepted { presentHead };
    if (presentHead.revision != proposal.expectedRevision)
        return PlanConflict { presentHead };

    // The chunks are written first; nothing names them until the head does.
    const auto encoded = encodePlan(proposal.plan);
    if (!writeChunks(encoded, proposal.acceptanceId))
        return PlanNotAccepted { "the plan's chunks could not be written" };

    PlanHead head;
    head.revision = presentHead.revision + 1;
    head.snapshotRevision = head.revision;
    head.chunkCount = static_cast<uint32_t>((encoded.size() + chunkBytes - 1) / chunkBytes);
    head.acceptanceId = proposal.acceptanceId;
    head.acceptedBy = proposal.acceptedBy;
    head.acceptedAtUnixMs = unixMilliseconds();
    head.reason = proposal.reason;
    const auto encodedHead = encodePlanHead(head);

    // Head and audit record change together, under the condition that the head is still the one that was read.
    StoreTransaction transaction;
    transaction.compares.push_back({ headKey, storeRevision });
    transaction.mutations.emplace_back(StorePut { headKey, encodedHead });
    transaction.mutations.emplace_back(StorePut { historyKey(head.revision), encodedHead });
    const auto outcome = m_store->transactSettled(transaction, headKey,
        [&](const std::string& value) { return decodePlanHead(value).acceptanceId == proposal.acceptanceId; });
    return std::visit(
        Overloaded {
            [&](const StoreApplied&) -> PlanAcceptance { return PlanAccepted { head }; },
            [&](const StoreNotApplied& refused) -> PlanAcceptance {
                const auto winner = readHead();
                if (refused.refusal == StoreRefusal::Conflict && winner)
                    return PlanConflict { winner->first };
                return PlanNotAccepted { refused.message };
            },
            [&](const StoreUnknown&) -> PlanAcceptance { return PlanAcceptanceUnknown { proposal.acceptanceId }; },
        },
        outcome);
}

std::optional<std::vector<PlanHead>> PlanRepository::readHistory()
{
    const auto read = m_store->range("plan/history/", true);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return std::nullopt;
    std::vector<PlanHead> history;
    for (const auto& record : range->records)
        history.push_back(decodePlanHead(record.value));
    return history;
}

bool PlanRepository::writeChunks(const std::string& encoded, const std::string& acceptanceId)
{
    for (size_t offset = 0, index = 0; offset < encoded.size(); offset += chunkBytes, ++index) {
        // Writing a chunk is idempotent: its key is unique to the acceptance.
        StoreTransaction transaction;
        transaction.mutations.emplace_back(
            StorePut { chunkKey(acceptanceId, index), encoded.substr(offset, chunkBytes) });
        if (!std::holds_alternative<StoreApplied>(m_store->transact(transaction)))
            return false;
    }
    return true;
}

} // namespace cyclamenstair
