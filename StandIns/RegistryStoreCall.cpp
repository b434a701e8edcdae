#include <StandIns/RegistryStoreCall.h>

#include <Cyclamenstair/Core/Base64.h>
#include <Cyclamenstair/Core/Error.h>

#include <nlohmann/json.hpp>
#include <uriparser/Uri.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;
    using Parameters = std::map<std::string, std::string, std::less<>>;

    struct Route {
        RegistryStoreCallKind kind;
        std::string_view method;
        std::string_view path;
        bool endsWithId { false };
    };

    constexpr auto routes = std::to_array<Route>({
        { RegistryStoreCallKind::Key, "GET", "/cyclamenstair/kv-key" },
        { RegistryStoreCallKind::Range, "GET", "/cyclamenstair/kv-range" },
        { RegistryStoreCallKind::Watch, "GET", "/cyclamenstair/kv-watch" },
        { RegistryStoreCallKind::Transaction, "POST", "/cyclamenstair/kv-txn" },
        { RegistryStoreCallKind::LeaseGrant, "POST", "/cyclamenstair/kv-lease" },
        { RegistryStoreCallKind::LeaseRenewal, "POST", "/cyclamenstair/kv-keep/", true },
        { RegistryStoreCallKind::LeaseEnd, "DELETE", "/cyclamenstair/kv-lease-end/", true },
    });

    [[noreturn]] void fail(const std::string& reason)
    {
        throw Exception({ ErrorKind::InvalidInput, "store_stand_in.decode", {}, reason });
    }

    int64_t parseNumber(std::string_view text)
    {
        int64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || number < 0)
            fail("a number is malformed, negative or out of range");
        return number;
    }

    /// Decodes `%XX` and `+`. Unlike uriDissectQueryMallocA, this keeps zero bytes.
    std::string decodeComponent(std::string_view encoded)
    {
        const auto isHexDigit = [&](size_t index) {
            return index < encoded.size() && std::isxdigit(static_cast<unsigned char>(encoded[index])) != 0;
        };
        for (auto at = encoded.find('%'); at != std::string_view::npos; at = encoded.find('%', at + 1)) {
            if (!isHexDigit(at + 1) || !isHexDigit(at + 2))
                fail("a percent sign in the query is not followed by two hexadecimal digits");
        }
        std::string text(encoded);
        const char* end = uriUnescapeInPlaceExA(text.data(), URI_TRUE, URI_BR_DONT_TOUCH);
        text.resize(static_cast<size_t>(end - text.data()));
        return text;
    }

    Parameters decodeQuery(std::string_view query)
    {
        Parameters parameters;
        while (!query.empty()) {
            const auto pair = query.substr(0, query.find('&'));
            query.remove_prefix(std::min(pair.size() + 1, query.size()));
            const auto separator = std::min(pair.find('='), pair.size());
            if (!pair.empty())
                parameters.emplace(decodeComponent(pair.substr(0, separator)),
                    decodeComponent(pair.substr(std::min(separator + 1, pair.size()))));
        }
        return parameters;
    }

    const std::string& parameter(const Parameters& parameters, std::string_view name)
    {
        const auto found = parameters.find(name);
        if (found == parameters.end())
            fail("the parameter " + std::string(name) + " is missing");
        return found->second;
    }

    int64_t integerField(const Json& json, const char* name)
    {
        const auto& field = json.at(name);
        if (!field.is_number_integer())
            fail(std::string(name) + " is not an integer");
        return field.get<int64_t>();
    }

    /// The comparison with the encoded form rejects what the decoder tolerates: surrounding white space, misplaced
    /// padding, and unused bits that are set.
    std::string decodeStrictBase64(const std::string& text)
    {
        auto bytes = decodeBase64(text);
        if (encodeBase64(bytes) != text)
            fail("a value is not standard base64 with padding");
        return bytes;
    }

    StoreTransactionCall decodeTransaction(const Json& json)
    {
        const auto list = [&](const char* name) -> const Json& {
            const auto& field = json.at(name);
            if (!field.is_array())
                fail(std::string(name) + " is not a list");
            return field;
        };
        StoreTransactionCall transaction;
        for (const auto& condition : list("expected"))
            transaction.conditions.push_back(
                { condition.at("key").get<std::string>(), integerField(condition, "revision") });
        for (const auto& write : list("set_keys"))
            transaction.writes.push_back({ write.at("key").get<std::string>(),
                decodeStrictBase64(write.at("value").get_ref<const std::string&>()),
                write.contains("lease") ? integerField(write, "lease") : 0 });
        for (const auto& key : list("remove"))
            transaction.removals.push_back(key.get<std::string>());
        return transaction;
    }

    /// Throws a std::exception if the request is malformed.
    RegistryStoreCall decodeCall(const Route& route, const Parameters& parameters, const HttpRequest& request)
    {
        switch (route.kind) {
        case RegistryStoreCallKind::Key:
            return StoreKeyRead { parameter(parameters, "key") };
        case RegistryStoreCallKind::Range: {
            const auto after = parameters.find("after");
            return StoreRangeRead { parameter(parameters, "path_prefix"),
                after == parameters.end() ? std::string() : after->second };
        }
        case RegistryStoreCallKind::Watch:
            return StoreWatchRead { parameter(parameters, "path_prefix"), parseNumber(parameter(parameters, "after")),
                parseNumber(parameter(parameters, "wait_ms")) };
        case RegistryStoreCallKind::Transaction:
            return decodeTransaction(Json::parse(request.body));
        case RegistryStoreCallKind::LeaseGrant:
            return StoreLeaseGrant { integerField(Json::parse(request.body), "ttl_ms") };
        case RegistryStoreCallKind::LeaseRenewal:
            return StoreLeaseRenewal { parseNumber(std::string_view(request.target).substr(route.path.size())) };
        case RegistryStoreCallKind::LeaseEnd:
            return StoreLeaseEnd { parseNumber(std::string_view(request.target).substr(route.path.size())) };
        case RegistryStoreCallKind::StaleRange:
        case RegistryStoreCallKind::Unknown:
            break;
        }
        fail("the kind of call has no route");
    }

} // namespace

DecodedStoreCall decodeStoreCall(const HttpRequest& request)
{
    const auto target = std::string_view(request.target).substr(0, request.target.find('#'));
    const auto path = target.substr(0, target.find('?'));
    const auto* route = std::ranges::find_if(routes, [&](const Route& candidate) {
        return request.method == candidate.method
            && (candidate.endsWithId ? path.starts_with(candidate.path) : path == candidate.path);
    });
    if (route == routes.end())
        return { RegistryStoreCallKind::Unknown,
            Error { ErrorKind::InvalidInput, "store_stand_in.decode", {}, "the store has no such call" } };
    auto kind = route->kind;
    try {
        const auto parameters = decodeQuery(target.substr(std::min(path.size() + 1, target.size())));
        const auto stale = parameters.find("allow_stale");
        if (kind == RegistryStoreCallKind::Range && stale != parameters.end() && stale->second == "1")
            kind = RegistryStoreCallKind::StaleRange;
        return { kind, decodeCall(*route, parameters, request) };
    } catch (const std::exception& exception) {
        return { kind, Error { ErrorKind::InvalidInput, "store_stand_in.decode", {}, exception.what() } };
    }
}

} // namespace cyclamenstair
