#include <Cyclamenstair/Codec/PeerMessageCodec.h>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Generated/Messages_generated.h>

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
            records.push_back(std::move(record));
        }
        return records;
    }

    std::vector<GossipEntry> unpackEntries(const std::vector<std::unique_ptr<schema::GossipEntryRecordT>>& records)
    {
        std::vector<GossipEntry> entries;
        for (const auto& record : records)
            entries.push_back({ record->key, { record->epoch, record->version }, toText(record->payload) });
        return entries;
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
        for (const auto& row : message.digest) {
            auto record = std::make_unique<schema::GossipVersionT>();
            record->key = row.key;
            record->epoch = row.version.epoch;
            record->version = row.version.counter;
            table.digest.push_back(std::move(record));
        }
        return table;
    }

    schema::GossipResponseT pack(const GossipResponseMessage& message)
    {
        schema::GossipResponseT table;
        table.entries = packEntries(message.entries);
        table.wanted = message.wanted;
        return table;
    }

    schema::GossipPushT pack(const GossipPushMessage& message)
    {
        schema::GossipPushT table;
        table.entries = packEntries(message.entries);
        return table;
    }

    schema::GossipPushAckT pack(const GossipPushAckMessage& message)
    {
        schema::GossipPushAckT table;
        table.accepted = message.accepted;
        return table;
    }

    schema::PlanFetchRequestT pack(const PlanFetchRequestMessage& message)
    {
        schema::PlanFetchRequestT table;
        table.known_revision = message.knownRevision;
        return table;
    }

    schema::PlanFetchResponseT pack(const PlanFetchResponseMessage& message)
    {
        schema::PlanFetchResponseT table;
        table.revision = message.revision;
        table.plan = toBytes(message.encodedPlan);
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
        GossipRequestMessage message;
        for (const auto& record : table.digest)
            message.digest.push_back({ record->key, { record->epoch, record->version } });
        return message;
    }

    ClaimAnswerMessage unpack(const schema::ClaimAnswerT& table)
    {
        return { static_cast<ClaimProgress>(table.progress), table.status, table.content_type, table.body };
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
        throw Exception({ ErrorKind::InvalidInput, "peer.decode", "", "malformed message" });
    schema::EnvelopeT envelope;
    schema::GetEnvelope(data)->UnPackTo(&envelope);
    const auto& message = envelope.message;
    switch (message.type) {
    case schema::Message::Hello:
        return HelloMessage { message.AsHello()->node, toText(message.AsHello()->nonce) };
    case schema::Message::GossipRequest:
        return unpack(*message.AsGossipRequest());
    case schema::Message::GossipResponse:
        return GossipResponseMessage { unpackEntries(message.AsGossipResponse()->entries),
            message.AsGossipResponse()->wanted };
    case schema::Message::GossipPush:
        return GossipPushMessage { unpackEntries(message.AsGossipPush()->entries) };
    case schema::Message::GossipPushAck:
        return GossipPushAckMessage { message.AsGossipPushAck()->accepted };
    case schema::Message::PlanFetchRequest:
        return PlanFetchRequestMessage { message.AsPlanFetchRequest()->known_revision };
    case schema::Message::PlanFetchResponse:
        return PlanFetchResponseMessage { message.AsPlanFetchResponse()->revision,
            toText(message.AsPlanFetchResponse()->plan) };
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
        // A value from a newer version is no evidence.
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
