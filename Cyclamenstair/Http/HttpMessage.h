#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenstair {

/// Header fields in wire order.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// Request with its whole body. `fields` excludes framing and hop-by-hop fields.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query as received.
    HeaderFields fields;
    std::string body;
    bool hasBody { false }; ///< The request's framing declares a body, which may be empty.
};

/// Head of a response. `fields` excludes framing and hop-by-hop fields.
struct HttpResponseHead {
    uint32_t status { 0 };
    std::string reason;
    HeaderFields fields;
};

/// Response with its whole body.
struct HttpResponse {
    HttpResponseHead head;
    std::string body;
};

/// Returns the value of the first field with the name, compared case-insensitively; no value if there is none.
std::optional<std::string> fieldValue(const HeaderFields& fields, std::string_view name);

/// Removes all fields with the name, compared case-insensitively.
void eraseField(HeaderFields& fields, std::string_view name);

/// Returns the end-to-end fields: all except framing fields, hop-by-hop fields, and fields listed in the Connection
/// field.
HeaderFields endToEndFields(const boost::beast::http::fields& fields);

/// Returns the request target with blanks, control characters and bytes outside ASCII percent-encoded, so that they end
/// neither the target nor the start line.
std::string escapeTarget(std::string_view target);

/// Encodes a request with its framing. Control characters in values of header fields become spaces.
std::string encodeRequest(const HttpRequest& request);

/// Encodes the head of a response. `bodyBytes` is the length of the body; without it the body is sent in chunks.
/// `closesConnection` adds "Connection: close". Control characters in values of header fields become spaces.
std::string encodeResponseHead(const HttpResponseHead& head, std::optional<uint64_t> bodyBytes, bool closesConnection);

/// Encodes one chunk of a chunked body.
std::string encodeChunk(std::string_view data);

/// Bytes that Beast's parser must be given after it asked for more of a chunk's framing. Given fewer after the last
/// chunk size, it ends the process by an assertion.
inline constexpr size_t minResumedFramingBytes = 5;

/// Terminates a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace cyclamenstair
