#include <Cyclamenstair/Codec/NodeStatusCodec.h>

#include <Cyclamenstair/Codec/RecordBytes.h>
#include <Cyclamenstair/Generated/Records_generated.h>

namespace cyclamenstair {

std::string encodeNodeStatus(const NodeStatus& status)
{
    schema::NodeStatusRecordT record;
    record.node = status.node;
    for (const auto& [artifact, demand] : status.demands) {
        auto row = std::make_unique<schema::ArtifactLoadRecordT>();
        row->service = artifact.service;
        row->model = artifact.model;
        row->adapter = artifact.adapter;
        row->arrivals_per_second = demand.arrivalsPerSecond;
        row->in_progress = demand.inProgress;
        row->waiting = demand.waiting;
        record.demands.push_back(std::move(row));
    }
    return packRecord<schema::NodeStatusRecord>(record);
}

NodeStatus decodeNodeStatus(std::string_view bytes)
{
    const auto record = unpackRecord<schema::NodeStatusRecord>(bytes, "node_status.decode");
    NodeStatus status;
    status.node = record.node;
    for (const auto& row : record.demands)
        status.demands[{ row->service, row->model, row->adapter }]
            = { row->arrivals_per_second, row->in_progress, row->waiting };
    return status;
}

} // namespace cyclamenstair
