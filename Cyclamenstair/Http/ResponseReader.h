#pragma once

#include <utility>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Http/BeastParser.h>
#include <Cyclamenstair/Http/HttpMessage.h>
#include <Cyclamenstair/Http/TextBody.h>

#include <memory>
#include <optional>
#include <variant>

namespace cyclamenstair {

/// Bounds of what a ResponseReader buffers and skips.
struct ResponseLimits {
    uint32_t maxHeadBytes { 32768 };
    uint32_t maxFramingBytes { 32768 }; ///< For one chunk size with its extensions, and for all trailer fields.
    uint32_t maxInterimResponses { 8 }; ///< Responses with status 1xx before the final one.
};

/// Head of the final response, which is valid.
struct ResponseHeadPart {
    HttpResponseHead head;
    bool keepsConnection { true }; ///< The server keeps the connection open after the response.
    std::string keepAlive; ///< Value of the Keep-Alive field; empty if there is none.
};

/// A part of the response body.
struct ResponseDataPart {
    std::string data;
};

/// The response is complete.
struct ResponseEndPart {
    bool isFramed { true }; ///< The response states where its body ends, instead of ending with the connection.
};

/// The response is malformed or exceeds a limit. Nothing more can be read from the connection.
struct MalformedResponse {
    Error error; ///< Step "http.parse", without a peer. The message quotes the malformed line, escaped and bounded.
};

using ResponsePart = std::variant<ResponseHeadPart, ResponseDataPart, ResponseEndPart, MalformedResponse>;

/// Reads one HTTP/1.1 response from the bytes of a connection, whatever pieces they arrive in. All clients read
/// responses through it, so that all accept the same ones: a status from 200 to 599 (RFC 9110, section 15) after any
/// interim ones (1xx), field names that are tokens, and unambiguous framing (RFC 9112).
class ResponseReader {
public:
    /// `isHeadRequest` means that the response has no body.
    ResponseReader(const ResponseLimits& limits, bool isHeadRequest);

    /// Adds bytes that were received.
    void append(std::string_view bytes) { m_input += bytes; }

    /// The server closed the connection: a response without a length ends here.
    void endInput() { m_isInputEnded = true; }

    /// Returns the next part that can be read from the bytes so far, or no value if there is none. The last part is a
    /// ResponseEndPart or a MalformedResponse.
    std::optional<ResponsePart> next();

    bool hasHead() const { return m_isHeadTaken; }

    /// Returns whether bytes arrived that belong to no response. Valid after the last part.
    bool hasSurplusBytes() const { return !m_input.empty(); }

private:
    using Parser = boost::beast::http::response_parser<TextBody>;

    void startResponse();
    std::optional<ResponsePart> takeParsed();
    /// Parses more input. Returns whether anything was parsed, or the reason why the response is malformed.
    std::variant<bool, MalformedResponse> parse();
    /// Returns why the head is invalid although the parser accepts it, or no value if it is valid so far.
    std::optional<std::string> findHeadError() const;
    static MalformedResponse malformed(const std::string& reason, bool isLimit = false);
    /// Returns the line at which the parser stopped inside the head, for an error message.
    std::string quoteHeadLine() const;

    ResponseLimits m_limits;
    bool m_isHeadRequest;
    std::unique_ptr<Parser> m_parser;
    std::string m_input;
    size_t m_minInputBytes { 1 }; ///< Input is parsed once so many bytes have arrived.
    size_t m_parsedBytes { 0 }; ///< Of the response that is being read.
    uint32_t m_interimResponses { 0 };
    bool m_isInputEnded { false };
    bool m_isEndedByClose { false };
    bool m_isHeadTaken { false };
    bool m_isLastPartTaken { false };
};

} // namespace cyclamenstair
