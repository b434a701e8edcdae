#include <Cyclamenstair/Codec/ClaimCodec.h>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Core/HttpStatus.h>
#include <Cyclamenstair/Generated/Records_generated.h>

namespace cyclamenstair {

std::string encodeClaim(const ClaimRecord& claim)
{
    schema::ClaimRecordT record;
    record.state = static_cast<schema::ClaimState>(claim.state);
    record.node = claim.node;
    record.token = claim.token;
    record.body_hash = claim.bodyHash;
    record.status = claim.response.status;
    record.content_type = claim.response.contentType;
    record.body = claim.response.body;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::ClaimRecord::Pack(builder, &record));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

ClaimRecord decodeClaim(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<schema::ClaimRecord>(nullptr))
        throw Exception({ ErrorKind::InvalidInput, "claim.decode", "", "malformed FlatBuffers record" });
    schema::ClaimRecordT record;
    flatbuffers::GetRoot<schema::ClaimRecord>(data)->UnPackTo(&record);
    // A state added by a newer version is decoded as Unknown, so that the request never runs a second time. So is an
    // answer with an invalid status, which earlier versions stored.
    const bool isInvalid = record.state > schema::ClaimState::MAX
        || (record.state == schema::ClaimState::Answered && !isFinalHttpStatus(record.status));
    const auto state = isInvalid ? ClaimState::Unknown : static_cast<ClaimState>(record.state);
    return { state, record.node, record.token, record.body_hash, { record.status, record.content_type, record.body } };
}

} // namespace cyclamenstair
