#include <Cyclamenstair/Http/ResponseReader.h>

#include <Cyclamenstair/Core/EscapedText.h>
#include <Cyclamenstair/Core/HttpStatus.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <limits>

namespace cyclamenstair {

namespace http = boost::beast::http;

namespace {

    /// Bytes of a malformed line that an error message quotes.
    constexpr size_t maxQuotedBytes = 64;

} // namespace

ResponseReader::ResponseReader(const ResponseLimits& limits, bool isHeadRequest)
    : m_limits(limits)
    , m_isHeadRequest(isHeadRequest)
{
    startResponse();
}

std::optional<ResponsePart> ResponseReader::next()
{
    while (!m_isLastPartTaken) {
        if (auto part = takeParsed())
            return part;
        auto result = parse();
        if (auto* failure = std::get_if<MalformedResponse>(&result)) {
            m_isLastPartTaken = true;
            return std::move(*failure);
        }
        if (!std::get<bool>(result))
            break;
    }
    return std::nullopt;
}

std::optional<ResponsePart> ResponseReader::takeParsed()
{
    if (!m_parser->is_header_done())
        return std::nullopt;
    auto& message = m_parser->get();
    if (!std::exchange(m_isHeadTaken, true)) {
        HttpResponseHead head { message.result_int(), std::string(message.reason()), endToEndFields(message) };
        return ResponseHeadPart { std::move(head), m_parser->keep_alive(),
            std::string(message[http::field::keep_alive]) };
    }
    if (!message.body().empty())
        return ResponseDataPart { std::exchange(message.body(), {}) };
    if (!m_parser->is_done())
        return std::nullopt;
    m_isLastPartTaken = true;
    return ResponseEndPart { !m_isEndedByClose };
}

std::variant<bool, MalformedResponse> ResponseReader::parse()
{
    if (m_input.size() >= m_minInputBytes) {
        // The head is parsed alone: the parser adds the fields of a trailer to those of the head.
        m_parser->eager(m_isHeadTaken);
        boost::system::error_code ec;
        const size_t consumed = m_parser->put(boost::asio::buffer(m_input), ec);
        m_input.erase(0, consumed);
        m_parsedBytes += consumed;
        const bool needsMore = ec == http::error::need_more;
        if (ec && !needsMore)
            return malformed(ec.message() + quoteHeadLine());
        if (const auto error = findHeadError())
            return malformed(*error);
        // Skip interim responses, which precede the final one. Beast's status classes lack codes that it does not name.
        if (m_parser->is_header_done() && !isFinalHttpStatus(m_parser->get().result_int())) {
            if (++m_interimResponses > m_limits.maxInterimResponses)
                return malformed("too many interim responses");
            startResponse();
            return true;
        }
        m_minInputBytes = 1;
        if (needsMore) {
            const bool isInsideFraming = m_parser->is_header_done() && !m_input.empty();
            m_minInputBytes = std::max(m_input.size() + 1, isInsideFraming ? minResumedFramingBytes : 1);
        }
        if (consumed > 0)
            return true;
    }
    if (m_parser->is_done())
        return false;
    // The parser consumes body bytes at once, so what it leaves is an incomplete line or field of the framing.
    if (m_input.size() > m_limits.maxFramingBytes)
        return malformed("a chunk size or the trailer is too large", true);
    if (m_isInputEnded && m_parser->got_some()) {
        boost::system::error_code ec;
        m_parser->put_eof(ec);
        m_isEndedByClose = !ec && m_parser->is_done();
    }
    return m_isEndedByClose;
}

std::optional<std::string> ResponseReader::findHeadError() const
{
    // Beast accepts any three digits. Until it has parsed the status line, the status is 200.
    const auto status = m_parser->get().result_int();
    if (!isHttpStatus(status)) {
        auto digits = std::to_string(status);
        digits.insert(0, 3 - digits.size(), '0');
        return "status " + digits + " is outside " + std::to_string(minHttpStatus) + " to "
            + std::to_string(maxHttpStatus);
    }
    // A body is passed on without its transfer coding, so that must be one that the parser decodes.
    const bool hasBody = m_parser->is_header_done() && !m_parser->is_done();
    if (hasBody) {
        const auto& fields = m_parser->get().base();
        const auto coding = fields.find(http::field::transfer_encoding);
        if (coding != fields.end() && !boost::beast::iequals(coding->value(), "chunked"))
            return "unknown transfer coding \"" + escapeText(std::string(coding->value()), maxQuotedBytes) + "\"";
    }
    return std::nullopt;
}

MalformedResponse ResponseReader::malformed(const std::string& reason, bool isLimit)
{
    return { { isLimit ? ErrorKind::LimitExceeded : ErrorKind::Unavailable, "http.parse", {},
        "malformed response: " + reason } };
}

std::string ResponseReader::quoteHeadLine() const
{
    if (m_parser->is_header_done() || m_input.empty())
        return {};
    // The parser stops before the line that it rejects. Only the name of a field is quoted: values can be confidential.
    auto line = std::string_view(m_input).substr(0, m_input.find("\r\n"));
    const bool isField = m_parsedBytes > 0;
    if (isField)
        line = line.substr(0, line.find(':'));
    return ", at \"" + escapeText(line, maxQuotedBytes) + "\"";
}

void ResponseReader::startResponse()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(m_limits.maxHeadBytes);
    m_parser->body_limit(std::numeric_limits<uint64_t>::max());
    m_parser->skip(m_isHeadRequest);
    m_parsedBytes = 0;
    m_minInputBytes = 1;
}

} // namespace cyclamenstair
