#pragma once

#include <utility>

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Http/HttpClient.h>
#include <Cyclamenstair/Http/ResponseReader.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Bounds of an HttpExchange.
struct HttpExchangeLimits {
    Duration connectTimeout { milliseconds(1000) };
    Duration idleTimeout { milliseconds(1000) }; ///< Maximum time without progress of a write or a read.
    size_t maxBodyBytes { size_t { 256 } << 20U }; ///< Of a response that call() returns.
};

/// One request and its response over a connection of its own, for threads that may block. Used once.
class HttpExchange {
public:
    /// Receives the head and the data of the response. Returns false to end the exchange.
    using PartHandler = std::function<bool(ResponsePart)>;

    /// `address` is "HOST:PORT".
    HttpExchange(std::string address, const HttpExchangeLimits& limits);
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    /// Sends the request and passes the parts of the response to the handler as they arrive. Returns no value once the
    /// response is complete, or the failure. The request needs no Host field; fields whose value contains a line end
    /// are not sent.
    std::optional<CallFailed> run(const HttpRequest& request, const PartHandler& onPart);

    /// Sends the request and returns the whole response, or the failure.
    HttpOutcome call(const HttpRequest& request);

    /// Makes run() or call() fail at once, also a later one. Callable from any thread.
    void cancel();

private:
    Result<std::vector<boost::asio::ip::tcp::endpoint>> resolve() const;
    std::optional<CallFailed> connect(const boost::asio::ip::tcp::endpoint& endpoint);
    std::optional<CallFailed> transfer(
        const std::string& requestBytes, ResponseReader reader, const PartHandler& onPart);
    /// Returns the number of bytes written, or no value if the connection takes no more.
    std::optional<size_t> writeSome(const std::string& requestBytes, size_t written);
    void close();
    bool isCancelled();
    CallFailed failure(
        ErrorKind kind, const std::string& step, const std::string& message, bool isClosedByServer = false) const;

    std::string m_address;
    HttpExchangeLimits m_limits;
    boost::asio::ip::tcp::socket m_socket;
    bool m_wasSent { false };
    std::mutex m_mutex; ///< Guards m_isCancelled, and the socket against being closed during cancel().
    bool m_isCancelled { false };
};

/// Creates a request for an HttpExchange, with a body of the type `contentType`, or without a body if that is empty.
/// Bytes of `target` that are not allowed there are percent-encoded.
HttpRequest makeHttpRequest(
    const std::string& method, const std::string& target, std::string body = {}, const std::string& contentType = {});

} // namespace cyclamenstair
