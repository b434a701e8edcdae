#pragma once

#include "Wire.h"

namespace review {

/// Passes connections on to a port. Open connections can be silenced: nothing passes any more in either direction, and
/// nothing is closed. New ones work.
class Proxy {
public:
    explicit Proxy(uint16_t target)
        : m_target(target)
        , m_port(freePort())
        , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = loopback(m_port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen");
        m_thread = std::thread([this] { accept(); });
    }
    ~Proxy()
    {
        m_isStopping = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        while (m_active > 0)
            sleepMs(5);
    }
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void silenceOpenConnections() { ++m_generation; }
    /// Returns when bytes that contain the text last passed from a caller, in ms since `start`, or -1.
    int64_t lastSeenMs() const { return m_lastSeenMs; }
    void watchFor(const std::string& text, Clock::time_point start)
    {
        m_text = text;
        m_start = start;
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
                pass(fd);
                --m_active;
            }).detach();
        }
    }

    void pass(int fd)
    {
        Channel caller(fd);
        const auto server = Channel::connect(m_target);
        const int generation = m_generation;
        char bytes[16384];
        while (server && !m_isStopping) {
            if (generation != m_generation) {
                sleepMs(20);
                continue;
            }
            pollfd entries[] = { { caller.fd(), POLLIN, 0 }, { server->fd(), POLLIN, 0 } };
            if (::poll(entries, 2, 10) <= 0 || generation != m_generation)
                continue;
            for (int i = 0; i < 2; ++i) {
                if (entries[i].revents == 0)
                    continue;
                const auto count = ::recv(entries[i].fd, bytes, sizeof(bytes), 0);
                if (count <= 0)
                    return;
                const std::string text(bytes, static_cast<size_t>(count));
                if (i == 0 && !m_text.empty() && text.find(m_text) != std::string::npos)
                    m_lastSeenMs = msSince(m_start);
                if (!(i == 0 ? *server : caller).write(text))
                    return;
            }
        }
    }

    uint16_t m_target;
    uint16_t m_port;
    int m_fd;
    std::string m_text;
    Clock::time_point m_start;
    std::atomic<int64_t> m_lastSeenMs { -1 };
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_generation { 0 };
    std::atomic<int> m_active { 0 };
    std::thread m_thread;
};

} // namespace review
