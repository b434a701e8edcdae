#include <StandIns/SimulatedTargetCodec.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <tuple>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    std::optional<int64_t> parseInteger(std::string_view text)
    {
        int64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        return parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size() && value >= 0 ? std::optional(value)
                                                                                                  : std::nullopt;
    }

    std::string field(const HttpRequest& request, std::string_view name)
    {
        return fieldValue(request.fields, name).value_or("");
    }

    /// Splits at the first separator; the second part is empty if there is none.
    std::pair<std::string, std::string> split(const std::string& text, char separator)
    {
        const auto position = text.find(separator);
        if (position == std::string::npos)
            return { text, {} };
        return { text.substr(0, position), text.substr(position + 1) };
    }

    /// Returns the fields that the entry and the reports have in common.
    Json encodeState(const SimulatedTargetState& state)
    {
        Json json { { "state", state.isDraining ? "draining" : "ready" }, { "born", state.startedUnixMs },
            { "models", Json::array() },
            { "at_hand", { { "in_memory", Json::array() }, { "on_disk", Json::array() } } } };
        if (state.remainingTime)
            json["remaining_ms"] = std::max<int64_t>(0, toMilliseconds(*state.remainingTime));
        if (!state.models)
            return json;
        for (const auto& [name, adapters] : state.models->loaded()) {
            json["models"].push_back({ { "name", name }, { "version", 1 }, { "adapters", adapters } });
            json["at_hand"]["in_memory"].push_back(name);
        }
        json["at_hand"]["on_disk"] = state.models->loadedBefore();
        return json;
    }

} // namespace

SimulatedRequest decodeSimulatedRequest(const HttpRequest& request, TimePoint now)
{
    SimulatedRequest decoded;
    decoded.id = field(request, "Cyclamenstair-Request-Id");
    std::tie(decoded.model, decoded.adapter) = split(field(request, "Cyclamenstair-Model"), '/');
    const auto [promptTokens, outputTokens] = split(field(request, "Cyclamenstair-Token-Count"), ',');
    decoded.promptTokens = parseInteger(promptTokens).value_or(0);
    decoded.outputTokens = parseInteger(outputTokens).value_or(0);
    decoded.lastEvent = parseInteger(field(request, "Last-Event-Id")).value_or(0);
    decoded.urgency = static_cast<int>(parseInteger(field(request, "Cyclamenstair-Request-Urgency")).value_or(5));
    if (const auto remaining = parseInteger(field(request, "Cyclamenstair-Deadline-Ms")))
        decoded.deadline = now + milliseconds(*remaining);
    return decoded;
}

std::optional<SimulatedOrder> decodeSimulatedOrder(const std::string& body)
{
    try {
        const auto json = Json::parse(body);
        const auto operation = enumFromName<SimulatedOperation>(json.at("operation").get<std::string>());
        if (!operation)
            return std::nullopt;
        SimulatedOrder order { *operation, json.at("model").get<std::string>(), json.value("adapter", ""),
            json.at("holder").get<std::string>(), json.at("fence").get<int64_t>(), std::nullopt };
        if (json.contains("expected"))
            order.expectedCount = json["expected"].get<int64_t>();
        return order;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

uint32_t statusOf(SimulatedOrderOutcome outcome)
{
    switch (outcome) {
    case SimulatedOrderOutcome::Accepted:
        return 202;
    case SimulatedOrderOutcome::Done:
        return 200;
    case SimulatedOrderOutcome::Unknown:
        return 400;
    case SimulatedOrderOutcome::Conflict:
        return 409;
    case SimulatedOrderOutcome::StaleFencingToken:
        return 412;
    case SimulatedOrderOutcome::Crash:
        break;
    }
    return 500;
}

std::string encodeSimulatedEntry(
    const SimulatedTargetSettings& settings, const SimulatedTargetState& state, int64_t sequenceNumber)
{
    auto json = encodeState(state);
    json.update({ { "service", settings.service }, { "address", state.address }, { "zone", settings.failureDomain },
        { "version", settings.softwareVersion }, { "slots", settings.slots }, { "cold_left_ms", 0 },
        { "seq", sequenceNumber } });
    return json.dump();
}

std::string encodeSimulatedReport(const SimulatedTargetState& state, const SimulatedBatch& batch)
{
    auto json = encodeState(state);
    json.update({ { "stage", "colocated" }, { "busy", state.models && state.models->isBusy() },
        { "seq", state.models ? state.models->acceptedCount() : 0 }, { "queued", batch.waitingCount() },
        { "running", batch.runningCount() }, { "kv_used", batch.usedMemoryTokens() },
        { "kv_total", batch.totalMemoryTokens() }, { "handles", 0 }, { "incoming", Json::array() } });
    if (state.models) {
        for (const auto& adapter : state.models->incomingAdapters())
            json["incoming"].push_back(adapter + "@1");
    }
    return json.dump();
}

} // namespace cyclamenstair
