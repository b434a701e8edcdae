#include <Cyclamenstair/Codec/AuditCodec.h>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Generated/Records_generated.h>

namespace cyclamenstair {

std::string encodeAuditEntry(const AuditEntry& entry)
{
    schema::AuditRecordT record;
    record.node = entry.node;
    record.sequence = entry.sequence;
    record.at_unix_ms = entry.atUnixMs;
    record.kind = static_cast<schema::AuditKind>(entry.kind);
    record.who = entry.actor;
    record.what = entry.action;
    record.from_revision = entry.fromRevision;
    record.to_revision = entry.toRevision;
    record.why = entry.reason;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::AuditRecord::Pack(builder, &record));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

AuditEntry decodeAuditEntry(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<schema::AuditRecord>(nullptr))
        throw Exception({ ErrorKind::InvalidInput, "audit.decode", "", "malformed FlatBuffers record" });
    schema::AuditRecordT record;
    flatbuffers::GetRoot<schema::AuditRecord>(data)->UnPackTo(&record);
    if (record.kind > schema::AuditKind::MAX)
        throw Exception(
            { ErrorKind::InvalidInput, "audit.decode", record.node, "the record has an unknown audit kind" });
    return { record.node, record.sequence, record.at_unix_ms, static_cast<AuditKind>(record.kind), record.who,
        record.what, record.from_revision, record.to_revision, record.why };
}

} // namespace cyclamenstair
