#include <Cyclamenstair/Store/EtcdBackend.h>

#include <Cyclamenstair/Core/Base64.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Http/HttpExchange.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr uint32_t httpOk = 200;

    /// A longer line of a watch ends it; events with the largest values are shorter.
    constexpr size_t maxWatchLineBytes = size_t { 16 } << 20U;

    /// Response to one HTTP call, or the reason why there is none.
    struct CallResult {
        bool mayHaveReachedStore { false }; ///< False only if the connection failed.
        uint32_t status { 0 }; ///< HTTP status; 0 if there was no valid response.
        Json body;
        std::string message;
    };

    HttpRequest createJsonPost(const char* path, const Json& request)
    {
        return makeHttpRequest("POST", path, request.dump(), "application/json");
    }

    std::string messageOf(const Json& body, uint32_t status)
    {
        const auto message = body.find("message");
        return message != body.end() && message->is_string() ? message->get<std::string>()
                                                             : "status " + std::to_string(status);
    }

    CallResult postJson(const std::string& endpoint, const char* path, const Json& request, Duration timeout)
    {
        HttpExchange exchange(endpoint, { .connectTimeout = timeout, .idleTimeout = timeout });
        const auto outcome = exchange.call(createJsonPost(path, request));
        CallResult result;
        if (const auto* failure = std::get_if<CallFailed>(&outcome)) {
            result.mayHaveReachedStore = failure->wasSent;
            result.message = failure->error.message;
            return result;
        }
        const auto& response = std::get<HttpResponse>(outcome);
        result.mayHaveReachedStore = true;
        result.status = response.head.status;
        result.body = Json::parse(response.body, nullptr, false);
        if (result.body.is_discarded() || !result.body.is_object()) {
            result.status = 0;
            result.message = "the store's response is not a JSON object";
        } else if (result.status != httpOk)
            result.message = messageOf(result.body, result.status);
        return result;
    }

    /// Returns the integer in a field, or 0 if it is absent. The gateway encodes 64-bit integers as strings.
    int64_t integerOf(const Json& object, const char* key)
    {
        const auto found = object.find(key);
        if (found == object.end())
            return 0;
        return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<int64_t>();
    }

    /// Returns what `decode` returns, or no value if it throws an exception, as for fields of another type.
    template <typename Decode> auto decodeOrNothing(const Decode& decode) -> std::optional<decltype(decode())>
    {
        try {
            return decode();
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    /// Returns the smallest key that is greater than every key with the prefix.
    std::string prefixEnd(std::string prefix)
    {
        while (!prefix.empty()) {
            if (static_cast<unsigned char>(prefix.back()) != 0xff) {
                ++prefix.back();
                return prefix;
            }
            prefix.pop_back();
        }
        return std::string(1, '\0');
    }

    Json keyRange(const std::string& key, bool isPrefix)
    {
        Json request { { "key", encodeBase64(key) } };
        if (isPrefix)
            request["range_end"] = encodeBase64(prefixEnd(key));
        return request;
    }

    StoreRange parseRange(const Json& body)
    {
        StoreRange range;
        range.revision = integerOf(body.at("header"), "revision");
        for (const auto& record : body.value("kvs", Json::array())) {
            range.records.push_back(
                { decodeBase64(record.at("key").get<std::string>()), decodeBase64(record.value("value", "")),
                    integerOf(record, "mod_revision"), integerOf(record, "lease") });
        }
        return range;
    }

    Json transactionRequest(const StoreTransaction& transaction)
    {
        Json compares = Json::array();
        for (const auto& compare : transaction.compares) {
            compares.push_back({ { "key", encodeBase64(compare.key) }, { "target", "MOD" }, { "result", "EQUAL" },
                { "mod_revision", std::to_string(compare.modRevision) } });
        }
        Json mutations = Json::array();
        for (const auto& mutation : transaction.mutations) {
            mutations.push_back(std::visit(
                Overloaded {
                    [](const StorePut& put) {
                        return Json { { "request_put",
                            { { "key", encodeBase64(put.key) }, { "value", encodeBase64(put.value) },
                                { "lease", std::to_string(put.leaseId) } } } };
                    },
                    [](const StoreDelete& deletion) {
                        return Json { { "request_delete_range", { { "key", encodeBase64(deletion.key) } } } };
                    },
                },
                mutation));
        }
        return { { "compare", compares }, { "success", mutations } };
    }

} // namespace

EtcdBackend::EtcdBackend(std::string endpoint)
    : m_endpoint(std::move(endpoint))
{
}

StoreReadOutcome EtcdBackend::range(const std::string& key, bool isPrefix, Duration timeout)
{
    const auto result = postJson(m_endpoint, "/v3/kv/range", keyRange(key, isPrefix), timeout);
    if (result.status != httpOk)
        return StoreUnavailable { result.message };
    try {
        return parseRange(result.body);
    } catch (const std::exception& error) {
        return StoreUnavailable { std::string("malformed response of the store: ") + error.what() };
    }
}

StoreWriteOutcome EtcdBackend::transact(const StoreTransaction& transaction, Duration timeout)
{
    const auto result = postJson(m_endpoint, "/v3/kv/txn", transactionRequest(transaction), timeout);
    if (!result.mayHaveReachedStore)
        return StoreNotApplied { StoreRefusal::NotSent, result.message };
    // The gateway returns 4xx only for requests that it did not apply; a 5xx may be returned for one that took effect.
    if (result.status >= 400 && result.status < 500)
        return StoreNotApplied { StoreRefusal::Rejected, result.message };
    if (result.status != httpOk)
        return StoreOutcomeUnknown { result.message };
    try {
        if (!result.body.value("succeeded", false))
            return StoreNotApplied { StoreRefusal::Conflict, "a compared key is not at the expected revision" };
        return StoreApplied { integerOf(result.body.at("header"), "revision") };
    } catch (const std::exception& error) {
        return StoreOutcomeUnknown { std::string("malformed response of the store: ") + error.what() };
    }
}

std::optional<int64_t> EtcdBackend::grantLease(Duration timeToLive, Duration timeout)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    const auto result = postJson(m_endpoint, "/v3/lease/grant", { { "TTL", std::to_string(seconds) } }, timeout);
    if (result.status != httpOk)
        return std::nullopt;
    return decodeOrNothing([&] { return integerOf(result.body, "ID"); });
}

StoreLeaseOutcome EtcdBackend::keepLeaseAlive(int64_t leaseId, Duration timeout)
{
    const auto result = postJson(m_endpoint, "/v3/lease/keepalive", { { "ID", std::to_string(leaseId) } }, timeout);
    if (result.status != httpOk)
        return StoreLeaseOutcome::Unavailable;
    // For an expired lease, the response contains a TTL of 0 or none.
    const auto timeToLive
        = decodeOrNothing([&] { return integerOf(result.body.value("result", Json::object()), "TTL"); });
    if (!timeToLive)
        return StoreLeaseOutcome::Unavailable;
    return *timeToLive > 0 ? StoreLeaseOutcome::Alive : StoreLeaseOutcome::Expired;
}

StoreLeaseOutcome EtcdBackend::revokeLease(int64_t leaseId, Duration timeout)
{
    const auto result = postJson(m_endpoint, "/v3/lease/revoke", { { "ID", std::to_string(leaseId) } }, timeout);
    if (result.status == httpOk)
        return StoreLeaseOutcome::Alive;
    return result.status >= 400 && result.status < 500 ? StoreLeaseOutcome::Expired : StoreLeaseOutcome::Unavailable;
}

std::optional<int64_t> EtcdBackend::waitForChange(
    const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop)
{
    auto create = keyRange(prefix, true);
    create["start_revision"] = std::to_string(revision + 1);
    const Json request { { "create_request", create } };
    HttpExchange exchange(m_endpoint, { .connectTimeout = timeout, .idleTimeout = timeout });

    // The response is a stream of JSON objects, one per line, which is read until the first object with events.
    std::optional<int64_t> changedAt;
    std::string line;
    const auto consume = [&](const std::string& data) {
        for (const char character : data) {
            if (character != '\n') {
                line += character;
                continue;
            }
            const auto message = Json::parse(line, nullptr, false);
            line.clear();
            if (!message.is_object() || !message.contains("result") || !message["result"].contains("events"))
                continue;
            changedAt = decodeOrNothing(
                [&] { return integerOf(message["result"].value("header", Json::object()), "revision"); });
            return false;
        }
        return line.size() <= maxWatchLineBytes;
    };
    const std::stop_callback closeConnection(stop, [&] { exchange.cancel(); });
    // The exchange fails when consume() ends it and at the timeout, which is no change.
    (void)exchange.run(createJsonPost("/v3/watch", request), [&](const ResponsePart& part) {
        const auto* data = std::get_if<ResponseDataPart>(&part);
        return !data || consume(data->data);
    });
    return changedAt;
}

} // namespace cyclamenstair
