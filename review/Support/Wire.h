#pragma once

// Blocking HTTP/1.1 over loopback sockets, for stand-ins and clients. Independent of the project's own HTTP code.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point afterMs(int64_t ms) { return Clock::now() + std::chrono::milliseconds(ms); }
inline int64_t msSince(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}
inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a port that was free a moment ago, below the range that the system uses for outgoing connections.
inline uint16_t freePort()
{
    constexpr int firstPort = 10000;
    constexpr int portCount = 22000;
    static std::atomic<int> s_next { static_cast<int>(::getpid()) * 61 };
    for (int i = 0; i < portCount; ++i) {
        const auto port = static_cast<uint16_t>(firstPort + s_next++ % portCount);
        const auto address = loopback(port);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(fd);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no free port");
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto entry = fields.find(name);
        return entry == fields.end() ? std::string() : entry->second;
    }
    std::string word(size_t index) const
    {
        size_t begin = 0;
        for (; index > 0 && begin != std::string::npos; --index)
            begin
                = startLine.find(' ', begin) == std::string::npos ? std::string::npos : startLine.find(' ', begin) + 1;
        return begin == std::string::npos ? std::string() : startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// How a read ended.
enum class ReadEnd { Complete, Closed, Reset, TimedOut, Malformed };

inline const char* nameOf(ReadEnd end)
{
    constexpr const char* names[] = { "complete", "closed", "reset", "timed out", "malformed" };
    return names[static_cast<int>(end)];
}

/// A connected socket with buffered reads.
class Channel {
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        if (m_fd >= 0)
            ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Channel()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    static std::unique_ptr<Channel> connect(uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
            return std::make_unique<Channel>(fd);
        if (fd >= 0)
            ::close(fd);
        return nullptr;
    }

    int fd() const { return m_fd; }
    void shutdown() { ::shutdown(m_fd, SHUT_RDWR); }
    /// Closes with a reset instead of an orderly end.
    void reset()
    {
        const linger option { 1, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        ::close(m_fd);
        m_fd = -1;
    }

    bool write(const std::string& bytes)
    {
        for (size_t sent = 0; sent < bytes.size();) {
            const auto count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    /// Reads more bytes into the buffer.
    ReadEnd fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd entry { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(std::min<int64_t>(left, 600000))) <= 0)
            return ReadEnd::TimedOut;
        char bytes[65536];
        const auto count = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (count == 0)
            return ReadEnd::Closed;
        if (count < 0)
            return ReadEnd::Reset;
        m_buffer.append(bytes, static_cast<size_t>(count));
        return ReadEnd::Complete;
    }

    ReadEnd readLine(std::string& line, Clock::time_point deadline)
    {
        size_t end;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (const auto result = fill(deadline); result != ReadEnd::Complete)
                return result;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return ReadEnd::Complete;
    }

    ReadEnd readBytes(size_t count, std::string& bytes, Clock::time_point deadline)
    {
        while (m_buffer.size() < count) {
            if (const auto result = fill(deadline); result != ReadEnd::Complete)
                return result;
        }
        bytes.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return ReadEnd::Complete;
    }

    ReadEnd readHead(Message& message, Clock::time_point deadline)
    {
        if (const auto result = readLine(message.startLine, deadline); result != ReadEnd::Complete)
            return result;
        for (std::string line;;) {
            if (const auto result = readLine(line, deadline); result != ReadEnd::Complete)
                return result;
            if (line.empty())
                return ReadEnd::Complete;
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                return ReadEnd::Malformed;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto start = line.find_first_not_of(' ', colon + 1);
            message.fields[name] = start == std::string::npos ? std::string() : line.substr(start);
        }
    }

    ReadEnd readBody(Message& message, Clock::time_point deadline)
    {
        if (message.field("transfer-encoding") == "chunked") {
            for (std::string line, end;;) {
                if (const auto result = readLine(line, deadline); result != ReadEnd::Complete)
                    return result;
                const auto size = std::stoul(line, nullptr, 16);
                if (const auto result = readBytes(size, message.body, deadline); result != ReadEnd::Complete)
                    return result;
                if (const auto result = readLine(end, deadline); result != ReadEnd::Complete)
                    return result;
                if (size == 0)
                    return ReadEnd::Complete;
            }
        }
        const auto length = message.field("content-length");
        return length.empty() ? ReadEnd::Complete : readBytes(std::stoul(length), message.body, deadline);
    }

    /// Reads a whole request or response.
    ReadEnd read(Message& message, Clock::time_point deadline)
    {
        const auto result = readHead(message, deadline);
        return result == ReadEnd::Complete ? readBody(message, deadline) : result;
    }

private:
    int m_fd;
    std::string m_buffer;
};

inline std::string response(
    int status, const std::string& body, const std::vector<std::pair<std::string, std::string>>& fields = {})
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves each connection on a thread of its own.
class Server {
public:
    /// Handles one request; returns whether the connection stays open.
    using Handler = std::function<bool(Channel&, const Message&)>;

    explicit Server(Handler handler, uint16_t port = freePort())
        : m_port(port)
        , m_handler(std::move(handler))
        , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = loopback(m_port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen");
        m_thread = std::thread([this] { accept(); });
    }
    ~Server()
    {
        m_isStopping = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        closeConnections();
        while (m_active > 0)
            sleepMs(5);
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    uint16_t port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    bool isStopping() const { return m_isStopping; }

    /// Ends all connections, as a process that dies does.
    void closeConnections()
    {
        std::lock_guard lock(m_mutex);
        for (auto* channel : m_channels)
            channel->shutdown();
    }

private:
    void accept()
    {
        while (!m_isStopping) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            ++m_active;
            std::thread([this, fd] {
                serve(fd);
                --m_active;
            }).detach();
        }
    }

    void serve(int fd)
    {
        Channel channel(fd);
        {
            std::lock_guard lock(m_mutex);
            m_channels.insert(&channel);
        }
        for (bool isOpen = true; isOpen && !m_isStopping;) {
            Message message;
            isOpen = channel.read(message, afterMs(3600000)) == ReadEnd::Complete && m_handler(channel, message);
        }
        std::lock_guard lock(m_mutex);
        m_channels.erase(&channel);
    }

    uint16_t m_port;
    Handler m_handler;
    int m_fd;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_active { 0 };
    std::mutex m_mutex;
    std::set<Channel*> m_channels;
    std::thread m_thread;
};

} // namespace review
