#pragma once

#include <string>
#include <vector>

namespace cyclamenstair {

/// Status lines that RFC 9110, section 15, and RFC 9112, section 4, do not allow.
inline const std::vector<std::string> invalidStatusLines { "HTTP/1.1 000 Unknown", "HTTP/1.1 001 ", "HTTP/1.1 099 ",
    "HTTP/1.1 600 ", "HTTP/1.1 999 Unknown", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK",
    "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K", "HTTP/2.0 200 OK", "HTTP/1.1\t200 OK",
    "http/1.1 200 OK" };

/// First field lines whose name is no token (RFC 9110, section 5.1) or that have no name.
inline const std::vector<std::string> invalidFieldLines { "X Bad: 1", "X-Bad : 1", "X-Bad\t: 1", " X-Bad: 1",
    "\tX-Bad: 1", "X\001Bad: 1", "X\x1f: 1", "X\x7f: 1", std::string("X\0Bad: 1", 8), "X\rBad: 1", "X\nBad: 1",
    "\x01: 1", ": 1", "X-Bad", "X(Bad): 1", "X/Bad: 1", "X\"Bad\": 1", "X[Bad]: 1", "X\xe9: 1", "Content-Length : 1",
    "Transfer-Encoding : chunked", "Cyclamenstair-Not-Run : 1", "X-Not-Run : true" };

/// Field lines that are rare but allowed: every character of a token, an empty value, no blank before the value, and
/// obs-text and tabs in the value.
inline const std::vector<std::string> rareFieldLines { "!#$%&'*+-.^_`|~09azAZ: 1", "X-Empty:", "X-Blank: \t ",
    "X-Close:1", "X-Text: caf\xe9 \xff", "X-Tab: a\tb", "x: 1" };

/// Status lines that are rare but allowed.
inline const std::vector<std::string> rareStatusLines { "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 All is well",
    "HTTP/1.1 200 \t caf\xe9" };

/// Interim responses, also with codes that no specification defines.
inline const std::vector<std::string> interimResponses { "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 104 \r\n\r\n",
    "HTTP/1.1 150 Other\r\n\r\n", "HTTP/1.1 199 \r\nX-Field: 1\r\n\r\n" };

/// Returns a response with a length. `fields` are whole lines without their line ends.
inline std::string makeResponse(
    const std::string& statusLine, const std::vector<std::string>& fields, const std::string& body)
{
    std::string text = statusLine + "\r\n";
    for (const auto& field : fields)
        text += field + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace cyclamenstair
