#include <Cyclamenstair/Codec/RecordCodec.h>

#include <Cyclamenstair/Codec/RecordBytes.h>
#include <Cyclamenstair/Generated/Records_generated.h>

namespace cyclamenstair {

namespace {

    schema::Priority toSchema(Priority priority) { return static_cast<schema::Priority>(priority); }

    Priority fromSchema(schema::Priority priority)
    {
        // A priority added by a newer version is treated as normal.
        return priority > schema::Priority::MAX ? Priority::Normal : static_cast<Priority>(priority);
    }

    uint64_t toWindowMs(Duration window) { return static_cast<uint64_t>(toMilliseconds(window)); }

    Duration fromWindowMs(uint64_t windowMs) { return milliseconds(static_cast<int64_t>(windowMs)); }

    std::unique_ptr<schema::ModelRecordT> packModel(const ModelSpec& model)
    {
        auto record = std::make_unique<schema::ModelRecordT>();
        record->name = model.name;
        record->memory_bytes = model.memoryBytes;
        record->replicas = model.replicas;
        record->priority = toSchema(model.priority);
        record->window_ms = toWindowMs(model.window);
        return record;
    }

    std::unique_ptr<schema::AdapterRecordT> packAdapter(const AdapterSpec& adapter)
    {
        auto record = std::make_unique<schema::AdapterRecordT>();
        record->name = adapter.name;
        record->model = adapter.model;
        record->memory_bytes = adapter.memoryBytes;
        record->replicas = adapter.replicas;
        record->priority = toSchema(adapter.priority);
        record->window_ms = toWindowMs(adapter.window);
        return record;
    }

    std::unique_ptr<schema::ServiceRecordT> packService(const ServiceSpec& service)
    {
        auto record = std::make_unique<schema::ServiceRecordT>();
        record->name = service.name;
        record->priority = toSchema(service.priority);
        record->window_ms = toWindowMs(service.window);
        record->repeatable = service.repeatable;
        return record;
    }

    std::unique_ptr<schema::CallerRecordT> packCaller(const CallerSpec& caller)
    {
        auto record = std::make_unique<schema::CallerRecordT>();
        record->name = caller.name;
        record->token_hash = caller.tokenHash;
        record->priority = toSchema(caller.priority);
        record->window_ms = toWindowMs(caller.window);
        record->requests_per_second = caller.requestsPerSecond;
        record->burst = caller.burst;
        record->allowed = caller.allowed;
        return record;
    }

    ModelSpec unpackModel(const std::unique_ptr<schema::ModelRecordT>& record)
    {
        return { record->name, record->memory_bytes, record->replicas, fromSchema(record->priority),
            fromWindowMs(record->window_ms) };
    }

    AdapterSpec unpackAdapter(const std::unique_ptr<schema::AdapterRecordT>& record)
    {
        return { record->name, record->model, record->memory_bytes, record->replicas, fromSchema(record->priority),
            fromWindowMs(record->window_ms) };
    }

    ServiceSpec unpackService(const std::unique_ptr<schema::ServiceRecordT>& record)
    {
        return { record->name, fromSchema(record->priority), fromWindowMs(record->window_ms), record->repeatable };
    }

    CallerSpec unpackCaller(const std::unique_ptr<schema::CallerRecordT>& record)
    {
        return { record->name, record->token_hash, fromSchema(record->priority), fromWindowMs(record->window_ms),
            record->requests_per_second, record->burst, record->allowed };
    }

    std::unique_ptr<schema::OpenOrderRecordT> packOrder(const OpenOrder& order)
    {
        auto record = std::make_unique<schema::OpenOrderRecordT>();
        record->kind = static_cast<schema::OrderKind>(order.kind);
        record->sender = order.sender;
        record->epoch = order.epoch;
        record->answered = order.isAnswered;
        record->lost_attempt = order.hasLostAttempt;
        record->closed = order.isClosed;
        record->closed_instance = order.closedInstance;
        return record;
    }

    std::unique_ptr<schema::ResidencyRecordT> packEntry(const ResidencyEntry& entry)
    {
        auto record = std::make_unique<schema::ResidencyRecordT>();
        record->artifact = entry.artifact;
        record->base_model = entry.baseModel;
        record->memory_bytes = entry.memoryBytes;
        record->state = static_cast<schema::ResidencyState>(entry.state);
        record->foreign = entry.isForeign;
        record->orders = convertRows(entry.orders, packOrder);
        return record;
    }

    ResidencyEntry unpackEntry(const std::unique_ptr<schema::ResidencyRecordT>& record, const std::string& target)
    {
        if (record->state > schema::ResidencyState::MAX)
            throw Exception({ ErrorKind::InvalidInput, "ledger.decode", target,
                "the ledger has an entry with an unknown residency state" });
        ResidencyEntry entry { record->artifact, record->base_model, record->memory_bytes,
            static_cast<ResidencyState>(record->state), record->foreign, {} };
        for (const auto& order : record->orders) {
            if (order->kind > schema::OrderKind::MAX)
                throw Exception(
                    { ErrorKind::InvalidInput, "ledger.decode", target, "the ledger has an order of an unknown kind" });
            entry.orders.push_back({ static_cast<OrderKind>(order->kind), order->sender, order->epoch, order->answered,
                order->lost_attempt, order->closed, order->closed_instance });
        }
        return entry;
    }

    schema::PlanRecordT packPlan(const Plan& plan)
    {
        schema::PlanRecordT record;
        record.revision = plan.revision;
        record.models = convertRows(plan.models, packModel);
        record.adapters = convertRows(plan.adapters, packAdapter);
        record.services = convertRows(plan.services, packService);
        record.callers = convertRows(plan.callers, packCaller);
        return record;
    }

    Plan unpackPlan(const schema::PlanRecordT& record)
    {
        Plan plan;
        plan.revision = record.revision;
        plan.models = convertRows(record.models, unpackModel);
        plan.adapters = convertRows(record.adapters, unpackAdapter);
        plan.services = convertRows(record.services, unpackService);
        plan.callers = convertRows(record.callers, unpackCaller);
        plan.sortRows();
        return plan;
    }

} // namespace

std::string encodePlan(const Plan& plan) { return packRecord<schema::PlanRecord>(packPlan(plan)); }

Plan decodePlan(std::string_view bytes) { return unpackPlan(unpackRecord<schema::PlanRecord>(bytes, "plan.decode")); }

std::string encodePlanDelta(const PlanDelta& delta)
{
    schema::PlanDeltaRecordT record;
    record.revision = delta.revision;
    record.changed = std::make_unique<schema::PlanRecordT>(packPlan(delta.changed));
    record.removed_models = delta.removedModels;
    record.removed_adapters = delta.removedAdapters;
    record.removed_services = delta.removedServices;
    record.removed_callers = delta.removedCallers;
    return packRecord<schema::PlanDeltaRecord>(record);
}

PlanDelta decodePlanDelta(std::string_view bytes)
{
    const auto record = unpackRecord<schema::PlanDeltaRecord>(bytes, "plan_delta.decode");
    return { record.revision, record.changed ? unpackPlan(*record.changed) : Plan(), record.removed_models,
        record.removed_adapters, record.removed_services, record.removed_callers };
}

std::string encodeChunkSet(const ChunkSet& chunks)
{
    schema::ChunkSetRecordT record;
    record.since_unix_ms = chunks.sinceUnixMs;
    record.chunk_count = chunks.chunkCount;
    return packRecord<schema::ChunkSetRecord>(record);
}

ChunkSet decodeChunkSet(std::string_view bytes)
{
    const auto record = unpackRecord<schema::ChunkSetRecord>(bytes, "chunk_set.decode");
    return { record.since_unix_ms, record.chunk_count };
}

std::string encodePlanHead(const PlanHead& head)
{
    schema::PlanHeadRecordT record;
    record.revision = head.revision;
    record.snapshot_revision = head.snapshotRevision;
    record.chunk_count = head.chunkCount;
    record.acceptance_id = head.acceptanceId;
    record.accepted_by = head.acceptedBy;
    record.accepted_at_unix_ms = head.acceptedAtUnixMs;
    record.reason = head.reason;
    record.snapshot_id = head.snapshotId;
    return packRecord<schema::PlanHeadRecord>(record);
}

PlanHead decodePlanHead(std::string_view bytes)
{
    const auto record = unpackRecord<schema::PlanHeadRecord>(bytes, "plan_head.decode");
    return { record.revision, record.snapshot_revision, record.chunk_count, record.acceptance_id, record.accepted_by,
        record.accepted_at_unix_ms, record.reason, record.snapshot_id };
}

std::string encodeLedger(const TargetLedger& ledger)
{
    schema::TargetLedgerRecordT record;
    record.target = ledger.target();
    record.owner = ledger.owner();
    record.epoch = ledger.epoch();
    record.instance = ledger.instance();
    record.entries = convertRows(ledger.entries(), packEntry);
    return packRecord<schema::TargetLedgerRecord>(record);
}

TargetLedger decodeLedger(std::string_view bytes)
{
    const auto record = unpackRecord<schema::TargetLedgerRecord>(bytes, "ledger.decode");
    std::vector<ResidencyEntry> entries;
    for (const auto& row : record.entries)
        entries.push_back(unpackEntry(row, record.target));
    return TargetLedger::create(record.target, record.owner, record.epoch, record.instance, std::move(entries)).value();
}

std::string encodeMember(const MemberInfo& member)
{
    schema::MemberRecordT record;
    record.node = member.node;
    record.incarnation = member.incarnation;
    record.peer_address = member.peerAddress;
    record.operator_address = member.operatorAddress;
    record.region = member.region;
    record.failure_domain = member.failureDomain;
    record.draining = member.isDraining;
    return packRecord<schema::MemberRecord>(record);
}

MemberInfo decodeMember(std::string_view bytes)
{
    const auto record = unpackRecord<schema::MemberRecord>(bytes, "member.decode");
    return { record.node, record.incarnation, record.peer_address, record.operator_address, record.region,
        record.failure_domain, record.draining };
}

std::string encodeTargetStatus(const TargetStatus& status)
{
    schema::TargetStatusRecordT record;
    record.target = status.target;
    record.kind = static_cast<schema::TargetKind>(status.kind);
    record.address = status.address;
    record.pool = status.pool;
    record.failure_domain = status.failureDomain;
    record.instance = status.instance;
    record.memory_bytes = status.memoryBytes;
    record.leaving = status.isLeaving;
    record.artifacts = status.artifacts;
    return packRecord<schema::TargetStatusRecord>(record);
}

TargetStatus decodeTargetStatus(std::string_view bytes)
{
    const auto record = unpackRecord<schema::TargetStatusRecord>(bytes, "target_status.decode");
    if (record.kind > schema::TargetKind::MAX)
        throw Exception({ ErrorKind::InvalidInput, "target_status.decode", record.target,
            "the record has an unknown target kind" });
    return { record.target, static_cast<TargetKind>(record.kind), record.address, record.pool, record.failure_domain,
        record.instance, record.memory_bytes, record.leaving, record.artifacts };
}

} // namespace cyclamenstair
