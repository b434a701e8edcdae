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

/// Header fields in the order in which they are sent.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// Request with its whole body. `fields` holds neither framing nor connection fields.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query as received.
    HeaderFields fields;
    std::string body;
    bool hasBody { false }; ///< The request is framed with a body, which may be empty.
};

/// Head of an answer. `fields` holds neither framing nor connection fields.
struct HttpAnswerHead {
    uint32_t status { 0 };
    std::string reason;
    HeaderFields fields;
};

/// Answer with its whole body.
struct HttpAnswer {
    HttpAnswerHead head;
    std::string body;
};

/// Returns the value of the first field with the name, without regard to case; no value if there is none.
std::optional<std::string> fieldValue(const HeaderFields& fields, std::string_view name);

/// Returns the fields that concern the message rather than the connection: without framing, connection fields, and the
/// fields that the Connection field names.
HeaderFields endToEndFields(const boost::beast::http::fields& fields);

/// Returns the bytes of a request with its framing.
std::string encodeRequest(const HttpRequest& request);

/// Returns the bytes of an answer's head. `bodyBytes` is the length of the body; without it the body is sent in chunks.
std::string encodeHead(const HttpAnswerHead& head, std::optional<uint64_t> bodyBytes, bool isLast);

/// Returns the bytes of one chunk.
std::string encodeChunk(std::string_view data);

/// Bytes that end a body in chunks.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace cyclamenstair
