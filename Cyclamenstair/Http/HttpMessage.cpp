#include <Cyclamenstair/Http/HttpMessage.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>

namespace cyclamenstair {

namespace {

    using boost::beast::iequals;

    /// Hop-by-hop and framing fields, which are not forwarded.
    constexpr auto hopByHopFields
        = std::to_array<std::string_view>({ "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
            "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" });

    boost::beast::string_view toBeastView(std::string_view text) { return { text.data(), text.size() }; }

    bool isListedInConnectionField(const boost::beast::http::fields& fields, boost::beast::string_view name)
    {
        const auto range = fields.equal_range(boost::beast::http::field::connection);
        for (auto field = range.first; field != range.second; ++field) {
            const boost::beast::http::token_list tokens(field->value());
            if (std::any_of(tokens.begin(), tokens.end(), [&](const auto& token) { return iequals(token, name); }))
                return true;
        }
        return false;
    }

    /// Control characters become spaces. A value may come from the platform's JSON texts, where they are escaped; a
    /// line break would begin another field, or the next request.
    void appendFields(std::string& text, const HeaderFields& fields)
    {
        for (const auto& [name, value] : fields) {
            text.append(name).append(": ");
            std::transform(value.begin(), value.end(), std::back_inserter(text), [](char c) {
                const auto byte = static_cast<unsigned char>(c);
                return (byte < 0x20 && c != '\t') || byte == 0x7f ? ' ' : c;
            });
            text.append("\r\n");
        }
    }

} // namespace

std::optional<std::string> fieldValue(const HeaderFields& fields, std::string_view name)
{
    const auto match = std::find_if(
        fields.begin(), fields.end(), [&](const auto& field) { return iequals(field.first, toBeastView(name)); });
    return match == fields.end() ? std::nullopt : std::optional(match->second);
}

void eraseField(HeaderFields& fields, std::string_view name)
{
    std::erase_if(fields, [&](const auto& field) { return iequals(field.first, toBeastView(name)); });
}

HeaderFields endToEndFields(const boost::beast::http::fields& fields)
{
    HeaderFields endToEnd;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const bool isHopByHop = std::any_of(hopByHopFields.begin(), hopByHopFields.end(),
            [&](std::string_view hopByHopField) { return iequals(name, toBeastView(hopByHopField)); });
        if (!isHopByHop && !isListedInConnectionField(fields, name))
            endToEnd.emplace_back(std::string(name), std::string(field.value()));
    }
    return endToEnd;
}

std::string escapeTarget(std::string_view target)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : target) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte > 0x20 && byte < 0x7f)
            escaped += character;
        else
            escaped.append("%").append(1, digits[byte >> 4U]).append(1, digits[byte & 0x0fU]);
    }
    return escaped;
}

std::string encodeRequest(const HttpRequest& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    appendFields(text, request.fields);
    if (request.hasBody)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

std::string encodeResponseHead(const HttpResponseHead& head, std::optional<uint64_t> bodyBytes, bool closesConnection)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    if (head.reason.empty()) {
        const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(head.status));
        text.append(reason.data(), reason.size());
    } else {
        text += head.reason;
    }
    text += "\r\n";
    appendFields(text, head.fields);
    if (bodyBytes)
        text += "Content-Length: " + std::to_string(*bodyBytes) + "\r\n";
    else
        text += "Transfer-Encoding: chunked\r\n";
    if (closesConnection)
        text += "Connection: close\r\n";
    return text + "\r\n";
}

std::string encodeChunk(std::string_view data)
{
    std::array<char, 24> size {};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string text(size.data(), static_cast<size_t>(length));
    text.append(data).append("\r\n");
    return text;
}

} // namespace cyclamenstair
