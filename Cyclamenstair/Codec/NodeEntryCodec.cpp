#include <Cyclamenstair/Codec/NodeEntryCodec.h>

#include <Cyclamenstair/Codec/RecordBytes.h>
#include <Cyclamenstair/Generated/Entry_generated.h>

namespace cyclamenstair {

std::string encodeNodeEntry(const PeerNode& node)
{
    schema::NodeEntryT record;
    record.address = node.address;
    record.failure_domain = node.failureDomain;
    record.cpu_share = node.cpuShare;
    record.relay_address = node.relayAddress;
    return packRecord<schema::NodeEntry>(record);
}

Result<PeerNode> decodeNodeEntry(std::string_view bytes, const std::string& nodeId)
{
    try {
        const auto record = unpackRecord<schema::NodeEntry>(bytes, "node_entry.decode");
        return PeerNode { record.address, record.failure_domain, record.cpu_share, record.relay_address };
    } catch (const Exception& exception) {
        return Error { exception.error().kind, exception.error().step, nodeId, exception.error().message };
    }
}

} // namespace cyclamenstair
