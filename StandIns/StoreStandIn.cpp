#include <StandIns/StoreStandIn.h>

#include <Cyclamenstair/Core/Base64.h>
#include <Cyclamenstair/Core/Overloaded.h>

#include <thread>

namespace cyclamenstair::standin {

namespace {

    using Json = nlohmann::json;

    constexpr size_t storeThreads = 256;
    constexpr Duration watchCheckInterval = milliseconds(200);

    int64_t parseInteger(const Json& object, const char* key)
    {
        const auto entry = object.find(key);
        if (entry == object.end())
            return 0;
        return entry->is_string() ? std::stoll(entry->get<std::string>()) : entry->get<int64_t>();
    }

    Json makeHeader(int64_t revision) { return { { "revision", std::to_string(revision) } }; }

    std::string parseKey(const Json& object) { return decodeBase64(object.value("key", "")); }

    StoreMutation parseMutation(const Json& operation)
    {
        if (operation.contains("request_put")) {
            const auto& put = operation["request_put"];
            return StorePut { parseKey(put), decodeBase64(put.value("value", "")), parseInteger(put, "lease") };
        }
        return StoreDelete { parseKey(operation.at("request_delete_range")) };
    }

} // namespace

StoreStandIn::StoreStandIn(int port)
    : m_server(port, storeThreads)
{
    auto& http = m_server.http();
    const auto bind = [this](auto method) {
        return [this, method](const httplib::Request& request, httplib::Response& response) {
            ++m_calls;
            m_store.expireLeases(monotonicNow());
            (this->*method)(request, response);
        };
    };
    http.Post("/v3/kv/range", bind(&StoreStandIn::handleRange));
    http.Post("/v3/kv/txn", bind(&StoreStandIn::handleTransaction));
    http.Post("/v3/lease/(grant|keepalive|revoke)", bind(&StoreStandIn::handleLease));
    http.Post("/v3/watch", bind(&StoreStandIn::handleWatch));
    http.Get("/calls", [this](const httplib::Request&, httplib::Response& response) {
        writeJson(response, { { "calls", m_calls.load() } });
    });
}

StoreStandIn::~StoreStandIn()
{
    m_isStopping = true;
    m_server.stop();
}

void StoreStandIn::handleRange(const httplib::Request& request, httplib::Response& response)
{
    const auto body = parseBody(request);
    const auto range = m_store.range(parseKey(body), body.contains("range_end"));
    Json records = Json::array();
    for (const auto& record : range.records) {
        records.push_back({ { "key", encodeBase64(record.key) }, { "value", encodeBase64(record.value) },
            { "mod_revision", std::to_string(record.modRevision) }, { "lease", std::to_string(record.leaseId) } });
    }
    writeJson(response,
        { { "header", makeHeader(range.revision) }, { "kvs", records },
            { "count", std::to_string(range.records.size()) } });
}

void StoreStandIn::handleTransaction(const httplib::Request& request, httplib::Response& response)
{
    const auto body = parseBody(request);
    StoreTransaction transaction;
    for (const auto& compare : body.value("compare", Json::array()))
        transaction.compares.push_back({ parseKey(compare), parseInteger(compare, "mod_revision") });
    for (const auto& operation : body.value("success", Json::array()))
        transaction.mutations.push_back(parseMutation(operation));
    const auto outcome = m_store.transact(transaction);
    if (m_server.faults().consume("lose_write_answers")) {
        sendTruncatedResponse(response);
        return;
    }
    std::visit(Overloaded {
                   [&](const StoreApplied& applied) {
                       writeJson(response, { { "header", makeHeader(applied.revision) }, { "succeeded", true } });
                   },
                   [&](const StoreNotApplied& notApplied) {
                       if (notApplied.refusal == StoreRefusal::Conflict)
                           writeJson(response, { { "header", makeHeader(0) }, { "succeeded", false } });
                       else
                           writeJson(response, { { "message", notApplied.message } }, 400);
                   },
                   [&](const StoreOutcomeUnknown&) { sendTruncatedResponse(response); },
               },
        outcome);
}

void StoreStandIn::handleLease(const httplib::Request& request, httplib::Response& response)
{
    const auto body = parseBody(request);
    const auto operation = request.matches[1].str();
    if (operation == "grant") {
        const auto ttlSeconds = parseInteger(body, "TTL");
        const auto lease = m_store.grantLease(std::chrono::seconds(ttlSeconds), monotonicNow());
        writeJson(response, { { "ID", std::to_string(lease) }, { "TTL", std::to_string(ttlSeconds) } });
    } else if (operation == "keepalive") {
        const bool isAlive = m_store.keepLeaseAlive(parseInteger(body, "ID"), monotonicNow());
        writeJson(response, { { "result", { { "ID", body.value("ID", "0") }, { "TTL", isAlive ? "1" : "0" } } } });
    } else if (m_store.revokeLease(parseInteger(body, "ID")))
        writeJson(response, { { "header", makeHeader(0) } });
    else
        writeJson(response, { { "message", "requested lease not found" } }, 404);
}

void StoreStandIn::handleWatch(const httplib::Request& request, httplib::Response& response)
{
    const auto watchRequest = parseBody(request).value("create_request", Json::object());
    const auto prefix = parseKey(watchRequest);
    auto revision = parseInteger(watchRequest, "start_revision") - 1;
    response.set_chunked_content_provider(
        "application/json", [this, prefix, revision](size_t offset, httplib::DataSink& sink) mutable {
            if (offset == 0) {
                const auto created = Json { { "result", { { "created", true } } } }.dump() + "\n";
                return sink.write(created.data(), created.size());
            }
            // Waits in short intervals, so that the thread is released soon after the client has disconnected.
            while (!m_isStopping && sink.is_writable() && m_server.faults().value("down") == 0) {
                if (m_server.faults().value("mute_watches") > 0) {
                    std::this_thread::sleep_for(watchCheckInterval);
                    continue;
                }
                const auto changed = m_store.waitForChange(prefix, revision, watchCheckInterval);
                if (!changed)
                    continue;
                revision = *changed;
                const Json event { { "result",
                    { { "header", makeHeader(revision) }, { "events", Json::array({ Json::object() }) } } } };
                const auto line = event.dump() + "\n";
                return sink.write(line.data(), line.size());
            }
            return false;
        });
}

} // namespace cyclamenstair::standin
