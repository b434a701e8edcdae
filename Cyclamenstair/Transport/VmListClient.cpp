#include <Cyclamenstair/Transport/VmListClient.h>

#include <Cyclamenstair/Http/HttpExchange.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr uint32_t httpOk = 200;

    std::optional<VmInfo> parseRow(const Json& row)
    {
        const auto kind = enumFromName<VmKind>(row.value("kind", ""));
        const auto state = enumFromName<VmState>(row.value("state", ""));
        if (!kind || !state)
            return std::nullopt;
        VmInfo vm;
        vm.id = row.at("id").get<std::string>();
        vm.kind = *kind;
        vm.state = *state;
        vm.address = row.at("address").get<std::string>();
        vm.region = row.value("region", "");
        vm.failureDomain = row.value("failure_domain", "");
        vm.pool = row.value("pool", "");
        vm.memoryBytes = row.value("memory_bytes", uint64_t(0));
        vm.services = row.value("services", std::vector<std::string>());
        return vm;
    }

} // namespace

VmListClient::VmListClient(std::string endpoint)
    : m_endpoint(std::move(endpoint))
{
}

std::optional<std::vector<VmInfo>> VmListClient::read(Duration timeout) const
{
    HttpExchange exchange(m_endpoint, { .connectTimeout = timeout, .idleTimeout = timeout });
    const auto outcome = exchange.call(makeHttpRequest("GET", "/vms"));
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response || response->head.status != httpOk)
        return std::nullopt;
    const auto body = Json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array())
        return std::nullopt;
    try {
        std::vector<VmInfo> vms;
        for (const auto& row : body["vms"]) {
            // Rows with a kind or state unknown to this version are skipped.
            if (auto vm = parseRow(row))
                vms.push_back(std::move(*vm));
        }
        return vms;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace cyclamenstair
