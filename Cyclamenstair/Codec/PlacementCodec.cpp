#include <Cyclamenstair/Codec/PlacementCodec.h>

#include <Cyclamenstair/Codec/RecordBytes.h>
#include <Cyclamenstair/Generated/Records_generated.h>

namespace cyclamenstair {

std::string encodeDemand(const DemandSummary& summary)
{
    schema::DemandSummaryRecordT record;
    record.node = summary.node;
    for (const auto& [artifact, demand] : summary.demand) {
        auto row = std::make_unique<schema::ArtifactDemandRecordT>();
        row->artifact = artifact;
        row->fast = demand.fast;
        row->slow = demand.slow;
        record.artifacts.push_back(std::move(row));
    }
    return packRecord<schema::DemandSummaryRecord>(record);
}

DemandSummary decodeDemand(std::string_view bytes)
{
    const auto record = unpackRecord<schema::DemandSummaryRecord>(bytes, "demand.decode");
    DemandSummary summary { record.node, {} };
    for (const auto& row : record.artifacts)
        summary.demand[row->artifact] = { row->fast, row->slow };
    return summary;
}

std::string encodePortions(const LeasedPortions& portions)
{
    schema::LeasedPortionsRecordT record;
    record.limit = portions.limit();
    for (const auto& portion : portions.portions()) {
        auto row = std::make_unique<schema::PortionRecordT>();
        row->holder = portion.holder;
        row->slots = portion.slots;
        row->expires_at_unix_ms = portion.expiresAtUnixMs;
        record.portions.push_back(std::move(row));
    }
    return packRecord<schema::LeasedPortionsRecord>(record);
}

LeasedPortions decodePortions(std::string_view bytes)
{
    const auto record = unpackRecord<schema::LeasedPortionsRecord>(bytes, "portions.decode");
    return LeasedPortions::create(record.limit, convertRows(record.portions, [](const auto& row) {
        return Portion { row->holder, row->slots, row->expires_at_unix_ms };
    })).value();
}

} // namespace cyclamenstair
