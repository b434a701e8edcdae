#include <Tests/HttpTests/HttpTestServers.h>
#include <Tests/Support/ResponseHeads.h>

#include <cctype>
#include <cstring>

using namespace cyclamenstair;

namespace {

constexpr int lowestFinalStatus = 200;
constexpr int highestStatus = 599;

const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

std::string threeDigits(int status)
{
    auto text = std::to_string(status);
    return std::string(3 - text.size(), '0') + text;
}

/// Characters of a token, RFC 9110, section 5.6.2.
bool isTokenCharacter(int character)
{
    return std::isalnum(character) != 0 || (character != 0 && std::strchr("!#$%&'*+-.^_`|~", character) != nullptr);
}

/// Receives each response on a connection of its own and returns the outcomes.
std::vector<HttpOutcome> receive(const std::vector<std::string>& responses)
{
    ScriptedServer server(responses);
    std::vector<HttpOutcome> outcomes;
    for (size_t i = 0; i < responses.size(); ++i) {
        // Another client would use a connection again while the server closes it.
        BlockingClient client;
        outcomes.push_back(client.call(server.address));
    }
    return outcomes;
}

void expectFailed(const HttpOutcome& outcome, const std::string& response)
{
    const auto* failure = std::get_if<CallFailed>(&outcome);
    ASSERT_TRUE(failure) << response << " was taken as status " << std::get<HttpResponse>(outcome).head.status;
    EXPECT_TRUE(failure->wasSent) << response;
    EXPECT_EQ(failure->error.step, "http.parse") << response;
}

} // namespace

// Guards against a status that RFC 9110, section 15, does not allow and that is passed on, and against a valid one that
// is rejected.
TEST(ResponseHead, StatusesOutsideTheRangeFail)
{
    std::vector<std::string> responses;
    for (int status = 0; status <= 999; ++status) {
        if (status < 100 || status >= lowestFinalStatus)
            responses.push_back("HTTP/1.1 " + threeDigits(status) + " \r\nContent-Length: 4\r\n\r\nbody");
    }
    const auto outcomes = receive(responses);
    for (size_t i = 0; i < responses.size(); ++i) {
        const auto status = std::stoi(responses[i].substr(9, 3));
        if (status < lowestFinalStatus || status > highestStatus)
            expectFailed(outcomes[i], responses[i]);
        else
            EXPECT_EQ(bodyOf(outcomes[i]), status == 204 || status == 304 ? "" : "body") << status;
    }
}

// Guards against an interim response that is taken for the answer because its code is not a registered one.
TEST(ResponseHead, InterimResponsesOfAnyCodeAreSkipped)
{
    std::vector<std::string> responses;
    for (int status = 100; status < lowestFinalStatus; ++status)
        responses.push_back("HTTP/1.1 " + threeDigits(status) + " \r\nX-Field: 1\r\n\r\n" + sound);
    responses.push_back(interimResponses.front() + interimResponses.back() + sound);
    const auto outcomes = receive(responses);
    for (size_t i = 0; i < responses.size(); ++i)
        EXPECT_EQ(bodyOf(outcomes[i]), "body") << responses[i];
}

// Guards against a malformed head that passes for a response, also in an interim one.
TEST(ResponseHead, InvalidLinesFail)
{
    std::vector<std::string> responses;
    for (const auto& line : invalidStatusLines) {
        responses.push_back(makeResponse(line, {}, "body"));
        responses.push_back(interimResponses.front() + makeResponse(line, {}, "body"));
    }
    for (const auto& line : invalidFieldLines) {
        responses.push_back(makeResponse("HTTP/1.1 200 OK", { line }, "body"));
        responses.push_back(std::string("HTTP/1.1 103 Early Hints\r\n").append(line).append("\r\n\r\n").append(sound));
    }
    responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Bad: 1\r\n\r\n");
    const auto outcomes = receive(responses);
    for (size_t i = 0; i < responses.size(); ++i)
        expectFailed(outcomes[i], responses[i]);
}

// Guards against a field name with any byte that is not allowed there, and against the rejection of an allowed one.
TEST(ResponseHead, FieldNamesAreTokens)
{
    std::vector<std::string> responses;
    for (int byte = 0; byte < 256; ++byte) {
        std::string field = "X?Name: 1";
        field[1] = static_cast<char>(byte);
        responses.push_back(makeResponse("HTTP/1.1 200 OK", { "X-Sound: 1", field }, "body"));
    }
    const auto outcomes = receive(responses);
    for (int byte = 0; byte < 256; ++byte) {
        const auto index = static_cast<size_t>(byte);
        // A colon ends the name.
        if (isTokenCharacter(byte) || byte == ':')
            EXPECT_EQ(bodyOf(outcomes[index]), "body") << byte;
        else
            expectFailed(outcomes[index], responses[index]);
    }
}

// Guards against a malformed head that is accepted because it arrives in certain pieces.
TEST(ResponseHead, InvalidLinesFailInAnyPieces)
{
    for (const auto& response :
        { makeResponse("HTTP/1.1 000 Unknown", {}, ""), makeResponse("HTTP/1.1 200 OK", { "X Bad: 1" }, ""),
            makeResponse("HTTP/1.1 200 OK", { "X-Bad : 1" }, "") }) {
        for (size_t split = 0; split < response.size(); split += 3) {
            RawServer server(1, [&](tcp::socket& socket) {
                std::string input;
                (void)readTarget(socket, input);
                writeInParts(socket, response, split);
            });
            BlockingClient client;
            expectFailed(client.call(server.address), response);
        }
    }
}

// Guards against the rejection of heads that are rare but valid.
TEST(ResponseHead, RareValidLinesAreAccepted)
{
    std::vector<std::string> responses;
    for (const auto& line : rareStatusLines)
        responses.push_back(makeResponse(line, {}, "body"));
    for (const auto& line : rareFieldLines)
        responses.push_back(makeResponse("HTTP/1.1 200 OK", { line }, "body"));
    // The same length twice; obsolete line folding; a trailer.
    responses.push_back(makeResponse("HTTP/1.1 200 OK", { "Content-Length: 4" }, "body"));
    responses.push_back(makeResponse("HTTP/1.1 200 OK", { "X-Folded: a", "\t b" }, "body"));
    responses.push_back(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n");
    const auto outcomes = receive(responses);
    for (size_t i = 0; i < responses.size(); ++i)
        EXPECT_EQ(bodyOf(outcomes[i]), "body") << responses[i];
}

// Guards against a body whose transfer coding is not decoded, and that is passed on as it was transferred.
TEST(ResponseHead, UnknownTransferCodingsFail)
{
    std::vector<std::string> responses;
    for (const std::string coding :
        { "gzip", "gzip, chunked", "chunked, gzip", "xchunked", "chunked;a=b", "\"chunked\"", "" })
        responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    const auto outcomes = receive(responses);
    for (size_t i = 0; i < responses.size(); ++i)
        expectFailed(outcomes[i], responses[i]);
    // Without a body, the field only says how one would have been transferred (RFC 9112, section 6.1).
    const auto withoutBody = receive({ "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" });
    EXPECT_EQ(bodyOf(withoutBody[0]), "");
}

// Guards against a trailer that counts as part of the head if it arrives together with it. A field such as that of a
// refusal would change the meaning of the response.
TEST(ResponseHead, TrailerIsNoPartOfTheHead)
{
    const std::string response = "HTTP/1.1 200 OK\r\nX-Head: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n";
    const auto outcomes = receive({ response });
    ASSERT_TRUE(std::holds_alternative<HttpResponse>(outcomes[0]));
    EXPECT_EQ(bodyOf(outcomes[0]), "body");
    EXPECT_EQ(std::get<HttpResponse>(outcomes[0]).head.fields, (HeaderFields { { "X-Head", "1" } }));
}

// Guards against a message that blames a line which the parser did not reject: the status line is parsed before the
// rest of the head has arrived.
TEST(ResponseHead, MessageQuotesTheRejectedLineOnly)
{
    const auto messageOf = [](std::string_view bytes) {
        ResponseReader reader({}, false);
        reader.append(bytes);
        const auto part = reader.next();
        const auto* malformed = part ? std::get_if<MalformedResponse>(&*part) : nullptr;
        return malformed ? malformed->error.message : std::string("no error");
    };
    EXPECT_EQ(messageOf("HTTP/1.1 000 Unknown\r\nContent-Le"), "malformed response: status 000 is outside 100 to 599");
    EXPECT_EQ(messageOf("HTTP/1.1 200 OK\r\nX-Sound: 1\r\nX Bad: 2\r\nX-Next: 3\r\n\r\n"),
        "malformed response: bad field, at \"X Bad\"");
    EXPECT_EQ(
        messageOf("HTTP/1.1 20 OK\r\nX-Next: 3\r\n\r\n"), "malformed response: bad status, at \"HTTP/1.1 20 OK\"");
}
