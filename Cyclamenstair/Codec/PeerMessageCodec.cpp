#include <Cyclamenstair/Codec/PeerMessageCodec.h>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Core/HttpStatus.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Generated/Messages_generated.h>

#include <algorithm>
#include <limits>

namespace cyclamenstair {

namespace {

    std::vector<uint8_t> toBytes(const std::string& text) { return { text.begin(), text.end() }; }

    std::string toText(const std::vector<uint8_t>& bytes) { return { bytes.begin(), bytes.end() }; }

    std::vector<std::unique_ptr<schema::GossipEntryRecordT>> packEntries(const std::vector<GossipEntry>& entries)
    {
        std::vector<std::unique_ptr<schema::GossipEntryRecordT>> records;
        for (const auto& entry : entries) {
            auto record = std::make_unique<schema::GossipEntryRecordT>();
            record->key = entry.key;
            record->epoch = entry.version.epoch;
            record->version = entry.version.counter;
            record->payload = toBytes(entry.payload);
            record->beat = entry.heartbeat;
            record->age_ms = static_cast<uint32_t>(
                std::clamp<int64_t>(toMilliseconds(entry.age), 0, std::numeric_limits<uint32_t>::max()));
            records.push_back(std::move(record));
        }
        return records;
    }

    std::vector<GossipEntry> unpackEntries(const std::vector<std::unique_ptr<schema::GossipEntryRecordT>>& records)
    {
        std::vector<GossipEntry> entries;
        for (const auto& record : records)
            entries.push_back({ record->key, { record->epoch, record->version }, toText(record->payload), record->beat,
                milliseconds(record->age_ms) });
        return entries;
    }

    template <typename Table> void packHeartbeats(const std::vector<GossipHeartbeat>& heartbeats, Table& table)
    {
        for (const auto& beat : heartbeats) {
            table.beat_states.push_back(beat.stateHash);
            table.beat_counts.push_back(beat.count);
        }
    }

    template <typename Table> std::vector<GossipHeartbeat> unpackHeartbeats(const Table& table)
    {
        if (table.beat_states.size() != table.beat_counts.size())
            throw Exception({ ErrorKind::InvalidInput, "peer.decode", "",
                "malformed heartbeats: the lists of states and counts differ in length" });
        std::vector<GossipHeartbeat> heartbeats;
        for (size_t i = 0; i < table.beat_states.size(); ++i)
            heartbeats.push_back({ table.beat_states[i], table.beat_counts[i] });
        return heartbeats;
    }

    /// Packs each text as a table with one field `data`, because FlatBuffers has no vectors of vectors.
    template <typename Table> std::vector<std::unique_ptr<Table>> packTexts(const std::vector<std::string>& texts)
    {
        std::vector<std::unique_ptr<Table>> records;
        for (const auto& text : texts) {
            records.push_back(std::make_unique<Table>());
            records.back()->data = toBytes(text);
        }
        return records;
    }

    template <typename Table> std::vector<std::string> unpackTexts(const std::vector<std::unique_ptr<Table>>& records)
    {
        std::vector<std::string> texts;
        for (const auto& record : records)
            texts.push_back(toText(record->data));
        return texts;
    }

    schema::HelloT pack(const HelloMessage& message)
    {
        schema::HelloT table;
        table.node = message.node;
        table.nonce = toBytes(message.nonce);
        return table;
    }

    schema::GossipRequestT pack(const GossipRequestMessage& message)
    {
        schema::GossipRequestT table;
        table.plan_revision = message.planRevision;
        table.bucket_hashes = message.bucketHashes;
        packHeartbeats(message.heartbeats, table);
        return table;
    }

    schema::GossipResponseT pack(const GossipResponseMessage& message)
    {
        schema::GossipResponseT table;
        table.plan_revision = message.planRevision;
        table.buckets = message.buckets;
        for (const auto& row : message.rows)
            table.rows.emplace_back(row.keyHash, row.version.epoch, row.version.counter);
        packHeartbeats(message.heartbeats, table);
        return table;
    }

    schema::GossipPushT pack(const GossipPushMessage& message)
    {
        schema::GossipPushT table;
        table.entries = packEntries(message.entries);
        table.wanted = message.wanted;
        return table;
    }

    schema::GossipPushAckT pack(const GossipPushAckMessage& message)
    {
        schema::GossipPushAckT table;
        table.accepted = message.accepted;
        table.entries = packEntries(message.entries);
        return table;
    }

    schema::PlanAnnounceT pack(const PlanAnnounceMessage& message)
    {
        schema::PlanAnnounceT table;
        table.revision = message.revision;
        table.address = message.address;
        return table;
    }

    schema::PlanAnnounceAckT pack(const PlanAnnounceAckMessage& message)
    {
        schema::PlanAnnounceAckT table;
        table.revision = message.revision;
        return table;
    }

    schema::PlanFetchRequestT pack(const PlanFetchRequestMessage& message)
    {
        schema::PlanFetchRequestT table;
        table.known_revision = message.baseRevision;
        table.revision = message.revision;
        table.offset = message.offset;
        return table;
    }

    schema::PlanFetchResponseT pack(const PlanFetchResponseMessage& message)
    {
        schema::PlanFetchResponseT table;
        table.revision = message.revision;
        table.deltas = packTexts<schema::PlanDeltaBytesT>(message.deltas);
        table.part = toBytes(message.part);
        table.offset = message.offset;
        table.total_bytes = message.totalBytes;
        return table;
    }

    schema::AuditFetchRequestT pack(const AuditFetchRequestMessage& message)
    {
        schema::AuditFetchRequestT table;
        table.limit = message.limit;
        return table;
    }

    schema::AuditFetchResponseT pack(const AuditFetchResponseMessage& message)
    {
        schema::AuditFetchResponseT table;
        table.entries = packTexts<schema::AuditBytesT>(message.entries);
        return table;
    }

    schema::ClaimQueryT pack(const ClaimQueryMessage& message)
    {
        schema::ClaimQueryT table;
        table.key = message.key;
        table.token = message.token;
        return table;
    }

    schema::ClaimAnswerT pack(const ClaimAnswerMessage& message)
    {
        schema::ClaimAnswerT table;
        table.progress = static_cast<schema::ClaimProgress>(message.progress);
        table.status = message.status;
        table.content_type = message.contentType;
        table.body = message.body;
        return table;
    }

    schema::FailureT pack(const FailureMessage& message)
    {
        schema::FailureT table;
        table.step = message.step;
        table.message = message.message;
        return table;
    }

    schema::OrderQueryT pack(const OrderQueryMessage& message)
    {
        schema::OrderQueryT table;
        table.target = message.target;
        table.incarnation = message.incarnation;
        table.epoch = message.epoch;
        return table;
    }

    schema::OrderAnswerT pack(const OrderAnswerMessage& message)
    {
        schema::OrderAnswerT table;
        table.closure = static_cast<schema::OrderClosure>(message.state.closure);
        table.unanswered = message.state.unanswered;
        return table;
    }

    GossipRequestMessage unpack(const schema::GossipRequestT& table)
    {
        return { table.plan_revision, table.bucket_hashes, unpackHeartbeats(table) };
    }

    GossipResponseMessage unpack(const schema::GossipResponseT& table)
    {
        GossipResponseMessage message { table.plan_revision, table.buckets, {}, unpackHeartbeats(table) };
        for (const auto& row : table.rows)
            message.rows.push_back({ row.key_hash(), { row.epoch(), row.version() } });
        return message;
    }

    PlanFetchResponseMessage unpack(const schema::PlanFetchResponseT& table)
    {
        return { table.revision, unpackTexts(table.deltas), toText(table.part), table.offset, table.total_bytes };
    }

    ClaimAnswerMessage unpack(const schema::ClaimAnswerT& table)
    {
        // Earlier versions pass on answers with an invalid status.
        const auto progress = static_cast<ClaimProgress>(table.progress);
        const bool isInvalid = progress == ClaimProgress::Finished && !isFinalHttpStatus(table.status);
        return { isInvalid ? ClaimProgress::NotKnown : progress, table.status, table.content_type, table.body };
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    schema::EnvelopeT envelope;
    std::visit([&](const auto& alternative) { envelope.message.Set(pack(alternative)); }, message);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::Envelope::Pack(builder, &envelope));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

PeerMessage decodePeerMessage(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !schema::VerifyEnvelopeBuffer(verifier))
        throw Exception({ ErrorKind::InvalidInput, "peer.decode", "", "malformed FlatBuffers Envelope" });
    schema::EnvelopeT envelope;
    schema::GetEnvelope(data)->UnPackTo(&envelope);
    const auto& message = envelope.message;
    switch (message.type) {
    case schema::Message::Hello:
        return HelloMessage { message.AsHello()->node, toText(message.AsHello()->nonce) };
    case schema::Message::GossipRequest:
        return unpack(*message.AsGossipRequest());
    case schema::Message::GossipResponse:
        return unpack(*message.AsGossipResponse());
    case schema::Message::GossipPush:
        return GossipPushMessage { unpackEntries(message.AsGossipPush()->entries), message.AsGossipPush()->wanted };
    case schema::Message::GossipPushAck:
        return GossipPushAckMessage { message.AsGossipPushAck()->accepted,
            unpackEntries(message.AsGossipPushAck()->entries) };
    case schema::Message::PlanAnnounce:
        return PlanAnnounceMessage { message.AsPlanAnnounce()->revision, message.AsPlanAnnounce()->address };
    case schema::Message::PlanAnnounceAck:
        return PlanAnnounceAckMessage { message.AsPlanAnnounceAck()->revision };
    case schema::Message::PlanFetchRequest:
        return PlanFetchRequestMessage { message.AsPlanFetchRequest()->known_revision,
            message.AsPlanFetchRequest()->revision, message.AsPlanFetchRequest()->offset };
    case schema::Message::PlanFetchResponse:
        return unpack(*message.AsPlanFetchResponse());
    case schema::Message::AuditFetchRequest:
        return AuditFetchRequestMessage { message.AsAuditFetchRequest()->limit };
    case schema::Message::AuditFetchResponse:
        return AuditFetchResponseMessage { unpackTexts(message.AsAuditFetchResponse()->entries) };
    case schema::Message::ClaimQuery:
        return ClaimQueryMessage { message.AsClaimQuery()->key, message.AsClaimQuery()->token };
    case schema::Message::ClaimAnswer:
        return unpack(*message.AsClaimAnswer());
    case schema::Message::Failure:
        return FailureMessage { message.AsFailure()->step, message.AsFailure()->message };
    case schema::Message::OrderQuery:
        return OrderQueryMessage { message.AsOrderQuery()->target, message.AsOrderQuery()->incarnation,
            message.AsOrderQuery()->epoch };
    case schema::Message::OrderAnswer: {
        // A value added by a newer version proves nothing about the orders.
        const auto& answer = *message.AsOrderAnswer();
        const bool isKnown = answer.closure <= schema::OrderClosure::MAX;
        return OrderAnswerMessage { { isKnown ? static_cast<OrderClosure>(answer.closure) : OrderClosure::NotKnown,
            answer.unanswered } };
    }
    case schema::Message::NONE:
        break;
    }
    throw Exception({ ErrorKind::InvalidInput, "peer.decode", "", "unknown message type" });
}

} // namespace cyclamenstair
