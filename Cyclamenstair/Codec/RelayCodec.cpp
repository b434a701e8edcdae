#include <Cyclamenstair/Codec/RelayCodec.h>

#include <Cyclamenstair/Codec/RecordBytes.h>
#include <Cyclamenstair/Core/Base64.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Generated/Entry_generated.h>

#include <algorithm>
#include <array>

namespace cyclamenstair {

namespace {

    using schema::RelayOutcomeKind;

    constexpr auto refusalKinds = std::to_array<std::pair<RelayRefusalKind, RelayOutcomeKind>>({
        { RelayRefusalKind::NotAccepted, RelayOutcomeKind::NotAccepted },
        { RelayRefusalKind::NotRun, RelayOutcomeKind::NotRun },
        { RelayRefusalKind::Failed, RelayOutcomeKind::Failed },
        { RelayRefusalKind::TimedOut, RelayOutcomeKind::TimedOut },
    });

    RelayOutcomeKind toSchema(RelayRefusalKind kind)
    {
        return std::find_if(refusalKinds.begin(), refusalKinds.end(), [&](const auto& row) {
            return row.first == kind;
        })->second;
    }

    RelayRefusalKind fromSchema(RelayOutcomeKind kind)
    {
        const auto row = std::find_if(
            refusalKinds.begin(), refusalKinds.end(), [&](const auto& entry) { return entry.second == kind; });
        // A kind that this node does not know: the request may have run.
        return row == refusalKinds.end() ? RelayRefusalKind::Failed : row->first;
    }

} // namespace

std::string encodeRelayRequest(const RelayRequest& request)
{
    // Built by hand, since the object form does not tell an empty string from an absent one.
    flatbuffers::FlatBufferBuilder builder;
    const auto create = [&](const std::optional<std::string>& text) {
        return text ? builder.CreateString(*text) : flatbuffers::Offset<flatbuffers::String>();
    };
    const auto node = builder.CreateString(request.node);
    const auto softwareVersion = create(request.softwareVersion);
    const auto team = create(request.team);
    builder.Finish(schema::CreateRelayRequest(builder, node, request.catalogVersion, request.maxAttempts,
        softwareVersion, team, request.teamPriority ? static_cast<int32_t>(*request.teamPriority) : -1));
    return encodeBase64({ reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() });
}

std::string encodeRelayResponse(const RelayResponse& response)
{
    schema::RelayResponseT record;
    std::visit(Overloaded {
                   [&](const RelayedTargetAnswer& answer) { record.software_version = answer.softwareVersion; },
                   [&](const RelayRefusal& refusal) {
                       record.kind = toSchema(refusal.kind);
                       record.reason = refusal.reason;
                       record.retry_after_ms = refusal.retryAfter ? toMilliseconds(*refusal.retryAfter) : -1;
                   },
               },
        response);
    return encodeBase64(packRecord<schema::RelayResponse>(record));
}

Result<RelayRequest> decodeRelayRequest(std::string_view value)
{
    constexpr auto step = "relay_request.decode";
    try {
        const auto bytes = decodeBase64(value);
        const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
        flatbuffers::Verifier verifier(data, bytes.size());
        if (bytes.empty() || !verifier.VerifyBuffer<schema::RelayRequest>(nullptr))
            return Error { ErrorKind::InvalidInput, step, "", "malformed FlatBuffers record" };
        const auto* table = flatbuffers::GetRoot<schema::RelayRequest>(data);
        RelayRequest request { table->node()->str(), table->catalog_version(), table->max_attempts() };
        if (table->software_version())
            request.softwareVersion = table->software_version()->str();
        if (table->team())
            request.team = table->team()->str();
        if (table->team_priority() >= 0)
            request.teamPriority = static_cast<uint32_t>(table->team_priority());
        return request;
    } catch (const Exception& exception) {
        return Error { ErrorKind::InvalidInput, step, "", exception.error().message };
    }
}

Result<RelayResponse> decodeRelayResponse(std::string_view value)
{
    constexpr auto step = "relay_response.decode";
    try {
        const auto response = unpackRecord<schema::RelayResponse>(decodeBase64(value), step);
        if (response.kind == RelayOutcomeKind::TargetAnswer)
            return RelayResponse { RelayedTargetAnswer { response.software_version } };
        RelayRefusal refusal { fromSchema(response.kind), response.reason, std::nullopt };
        if (response.retry_after_ms >= 0)
            refusal.retryAfter = milliseconds(response.retry_after_ms);
        return RelayResponse { std::move(refusal) };
    } catch (const Exception& exception) {
        return Error { ErrorKind::InvalidInput, step, "", exception.error().message };
    }
}

} // namespace cyclamenstair
