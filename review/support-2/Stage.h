#pragma once

// Stand-ins and helpers shared by the scripts of review/6 and later: an HTTP server, the platform's store, a runner, a
// proxy that can silence its open channels, a caller, and the processes under test.

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stage {

using Json = nlohmann::json;

/// Seconds since the start of the script.
inline double now()
{
    static const auto s_start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - s_start).count();
}

inline void sleepUntil(double time)
{
    const double left = time - now();
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

inline void sleepFor(double seconds) { sleepUntil(now() + seconds); }

/// Writes record.txt. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", now());
        m_file << time << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline bool isTroubled()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

[[noreturn]] inline void cannotRun(const std::string& reason)
{
    std::cerr << "the case could not run: " << reason << std::endl;
    std::_Exit(2);
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

/// Returns a listening socket on a free loopback port, or the given one.
inline std::pair<int, int> listenOn(int port = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0)
        cannotRun("no free port");
    socklen_t length = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    return { fd, ntohs(address.sin_port) };
}

/// Returns a port that is free now, below those that the system gives to outgoing connections.
inline int freePort()
{
    static std::mutex s_mutex;
    std::lock_guard lock(s_mutex);
    static int s_next = 20000 + static_cast<int>(getpid() % 500) * 20;
    for (int tries = 0; tries < 5000; ++tries) {
        const int port = s_next++;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (isFree)
            return port;
    }
    cannotRun("no free port");
}

inline std::string addressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int connectTo(int port, double timeout = 1.0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    pollfd poller { fd, POLLOUT, 0 };
    int error = 0;
    socklen_t length = sizeof(error);
    if (poll(&poller, 1, static_cast<int>(timeout * 1000)) != 1
        || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool writeAll(int fd, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// One HTTP message: the first line, the fields with lowercase names, and the body.
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> fields;
    std::string body;
    bool isComplete { false };

    std::string field(const std::string& name) const
    {
        const auto entry = fields.find(lower(name));
        return entry == fields.end() ? std::string() : entry->second;
    }
    /// Of a request: "GET /path?query HTTP/1.1".
    std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    std::string target() const
    {
        const auto start = firstLine.find(' ') + 1;
        return firstLine.substr(start, firstLine.find(' ', start) - start);
    }
    int status() const { return firstLine.size() < 12 ? 0 : std::atoi(firstLine.c_str() + 9); }
};

/// Reads HTTP messages from a socket.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /// Reads one message; returns false at the end of the channel, at the deadline, or for bytes that are no message.
    bool read(Message& message, double deadline)
    {
        message = {};
        size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        std::istringstream head(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::string line;
        std::getline(head, message.firstLine);
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        if (lower(message.field("transfer-encoding")) == "chunked")
            return readChunks(message, deadline);
        const auto length = static_cast<size_t>(std::atoll(message.field("content-length").c_str()));
        while (m_bytes.size() < length) {
            if (!fill(deadline)) {
                message.body = m_bytes;
                return false;
            }
        }
        message.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        message.isComplete = true;
        return true;
    }

    bool isAtEnd() const { return m_isAtEnd; }

private:
    bool fill(double deadline)
    {
        pollfd poller { m_fd, POLLIN, 0 };
        const int wait = static_cast<int>(std::max(0.0, deadline - now()) * 1000);
        if (poll(&poller, 1, wait) != 1)
            return false;
        char buffer[16384];
        const auto count = recv(m_fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            m_isAtEnd = true;
            return false;
        }
        m_bytes.append(buffer, static_cast<size_t>(count));
        return true;
    }

    bool readChunks(Message& message, double deadline)
    {
        while (true) {
            size_t end = 0;
            while ((end = m_bytes.find("\r\n")) == std::string::npos) {
                if (!fill(deadline))
                    return false;
            }
            const auto size = static_cast<size_t>(std::strtoull(m_bytes.c_str(), nullptr, 16));
            m_bytes.erase(0, end + 2);
            while (m_bytes.size() < size + 2) {
                if (!fill(deadline))
                    return false;
            }
            message.body += m_bytes.substr(0, size);
            m_bytes.erase(0, size + 2);
            if (size == 0) {
                message.isComplete = true;
                return true;
            }
        }
    }

    int m_fd;
    std::string m_bytes;
    bool m_isAtEnd { false };
};

inline std::string encodeResponse(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// HTTP server with a thread for each channel. Ends with the process.
class Server {
public:
    /// Returns the bytes to send; none closes the channel.
    using Handler = std::function<std::string(const Message&, int fd)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        std::tie(m_fd, m_port) = listenOn();
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return m_port; }
    std::string address() const { return addressOf(m_port); }

    /// Ends the server as the exit of its process would: no new channels, and the open ones are closed.
    void end()
    {
        std::lock_guard lock(m_mutex);
        m_isEnded = true;
        shutdown(m_fd, SHUT_RDWR);
        for (const int fd : m_channels)
            shutdown(fd, SHUT_RDWR);
    }

private:
    void accept()
    {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard lock(m_mutex);
            if (m_isEnded) {
                if (fd >= 0)
                    close(fd);
                close(m_fd);
                return;
            }
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            m_channels.insert(fd);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, now() + 600)) {
            const auto response = m_handler(request, fd);
            if (response.empty() || !writeAll(fd, response))
                break;
        }
        std::lock_guard lock(m_mutex);
        m_channels.erase(fd);
        close(fd);
    }

    Handler m_handler;
    int m_fd { -1 };
    int m_port { 0 };
    std::mutex m_mutex;
    std::set<int> m_channels;
    bool m_isEnded { false };
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* s_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : s_digits[group >> (18 - 6 * k) & 63U];
    }
    return text;
}

inline std::string decodeBase64(const std::string& text)
{
    std::string bytes;
    uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = 0;
        if (c >= 'A' && c <= 'Z')
            digit = c - 'A';
        else if (c >= 'a' && c <= 'z')
            digit = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            digit = c - '0' + 52;
        else if (c == '+')
            digit = 62;
        else if (c == '/')
            digit = 63;
        else
            break;
        group = group << 6 | static_cast<uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

/// The platform's store: items, leases, transactions, watches with the whole history.
class Store {
public:
    Store()
        : m_server([this](const Message& request, int) { return handle(request); })
    {
        std::thread([this] { expireLeases(); }).detach();
    }
    int port() const { return m_server.port(); }

    /// Writes an item as the operator or a runner does. Returns when it was written, which acknowledges it.
    double put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        write(key, value, 0);
        return now();
    }
    void remove(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        erase(key);
    }
    std::optional<std::string> value(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        const auto item = m_items.find(key);
        return item == m_items.end() ? std::nullopt : std::optional(item->second.value);
    }
    /// While the store is down, each call gets 503.
    void setDown(bool isDown)
    {
        std::lock_guard lock(m_mutex);
        m_isDown = isDown;
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        int64_t revision { 0 };
        int64_t created { 0 };
        int64_t lease { 0 };
    };
    struct Change {
        std::string key;
        Item item;
        bool isDeleted { false };
    };
    struct Lease {
        double timeToLive { 0 };
        double expiry { 0 };
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto start = target.find(name + "=");
        if (start == std::string::npos)
            return {};
        const auto begin = start + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    static std::string json(int status, const Json& body)
    {
        return encodeResponse(status, "Content-Type: application/json\r\n", body.dump());
    }
    static Json itemJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", encodeBase64(item.value) }, { "revision", item.revision },
            { "created_rev", item.created }, { "lease", item.lease } };
    }

    std::string handle(const Message& request)
    {
        const auto target = request.target();
        std::unique_lock lock(m_mutex);
        if (m_isDown)
            return json(503, Json::object());
        if (target.starts_with("/cyclamenstair/kv-range")) {
            Json items = Json::array();
            const auto prefix = parameter(target, "path_prefix");
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(prefix))
                    items.push_back(itemJson(key, item));
            }
            return json(200, { { "items", items }, { "has_more", false }, { "store_revision", m_revision } });
        }
        if (target.starts_with("/cyclamenstair/kv-watch")) {
            const auto prefix = parameter(target, "path_prefix");
            const auto after = std::atoll(parameter(target, "after").c_str());
            const double deadline = now() + std::atof(parameter(target, "wait_ms").c_str()) / 1000;
            while (true) {
                if (m_isDown)
                    return {};
                Json events = Json::array();
                for (const auto& change : m_changes) {
                    if (change.item.revision <= after || !change.key.starts_with(prefix))
                        continue;
                    if (change.isDeleted)
                        events.push_back(
                            { { "key", change.key }, { "revision", change.item.revision }, { "deleted", true } });
                    else
                        events.push_back(itemJson(change.key, change.item));
                }
                if (!events.empty() || now() >= deadline)
                    return json(200, { { "events", events }, { "store_revision", m_revision } });
                m_changed.wait_for(lock, std::chrono::duration<double>(deadline - now()));
            }
        }
        if (target == "/cyclamenstair/kv-txn")
            return transact(request.body);
        if (target == "/cyclamenstair/kv-lease") {
            const double ttl = Json::parse(request.body).at("ttl_ms").get<double>();
            const auto lease = m_nextLease++;
            m_leases[lease] = { ttl / 1000, now() + ttl / 1000 };
            return json(200, { { "lease", lease }, { "ttl_ms", ttl } });
        }
        const std::string keep = "/cyclamenstair/kv-keep/";
        if (target.starts_with(keep)) {
            const auto lease = m_leases.find(std::atoll(target.c_str() + keep.size()));
            if (lease == m_leases.end())
                return json(404, Json::object());
            lease->second.expiry = now() + lease->second.timeToLive;
            return json(200, { { "ttl_ms", lease->second.timeToLive * 1000 } });
        }
        const std::string end = "/cyclamenstair/kv-lease-end/";
        if (target.starts_with(end)) {
            endLease(std::atoll(target.c_str() + end.size()));
            return json(200, Json::object());
        }
        return json(404, Json::object());
    }

    std::string transact(const std::string& body)
    {
        const auto transaction = Json::parse(body);
        for (const auto& row : transaction.value("expected", Json::array())) {
            const auto item = m_items.find(row.at("key").get<std::string>());
            if ((item == m_items.end() ? 0 : item->second.revision) != row.at("revision").get<int64_t>())
                return json(412, { { "items", Json::array() } });
        }
        for (const auto& row : transaction.value("set_keys", Json::array())) {
            const auto lease = row.value("lease", int64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease))
                return json(404, Json::object());
        }
        for (const auto& row : transaction.value("set_keys", Json::array()))
            write(row.at("key"), decodeBase64(row.at("value").get<std::string>()), row.value("lease", int64_t { 0 }));
        for (const auto& key : transaction.value("remove", Json::array()))
            erase(key);
        return json(200, { { "revision", m_revision } });
    }

    void write(const std::string& key, const std::string& value, int64_t lease)
    {
        auto& item = m_items[key];
        ++m_revision;
        item = { value, m_revision, item.created == 0 ? m_revision : item.created, lease };
        m_changes.push_back({ key, item, false });
        m_changed.notify_all();
    }
    void erase(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        m_changes.push_back({ key, { {}, m_revision, 0, 0 }, true });
        m_changed.notify_all();
    }
    void endLease(int64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
    }
    void expireLeases()
    {
        while (true) {
            sleepFor(0.01);
            std::lock_guard lock(m_mutex);
            std::vector<int64_t> ended;
            for (const auto& [id, lease] : m_leases) {
                if (lease.expiry <= now())
                    ended.push_back(id);
            }
            for (const auto id : ended)
                endLease(id);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::map<int64_t, Lease> m_leases;
    int64_t m_revision { 1 };
    int64_t m_nextLease { 1000 };
    bool m_isDown { false };
    Server m_server;
};

/// Passes channels on to a port. silence() makes all open channels swallow what either side sends from then on; new
/// channels work.
class Proxy {
public:
    explicit Proxy(int upstream)
        : m_upstream(upstream)
    {
        std::tie(m_fd, m_port) = listenOn();
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return m_port; }

    int silence()
    {
        std::lock_guard lock(m_mutex);
        int count = 0;
        for (const auto& channel : m_channels) {
            if (const auto open = channel.lock(); open && !open->isSilent.exchange(true))
                ++count;
        }
        return count;
    }

private:
    struct Channel {
        int client { -1 };
        int server { -1 };
        std::atomic<bool> isSilent { false };
        ~Channel()
        {
            close(client);
            close(server);
        }
    };

    void accept()
    {
        while (true) {
            auto channel = std::make_shared<Channel>();
            channel->client = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (channel->client < 0)
                continue;
            channel->server = connectTo(m_upstream);
            if (channel->server < 0)
                continue;
            {
                std::lock_guard lock(m_mutex);
                m_channels.push_back(channel);
            }
            std::thread([channel] { pump(*channel, channel->client, channel->server); }).detach();
            std::thread([channel] { pump(*channel, channel->server, channel->client); }).detach();
        }
    }
    static void pump(Channel& channel, int from, int to)
    {
        char buffer[16384];
        while (true) {
            const auto count = recv(from, buffer, sizeof(buffer), 0);
            if (count <= 0)
                break;
            if (!channel.isSilent && !writeAll(to, std::string(buffer, static_cast<size_t>(count))))
                break;
        }
        // The end of a silent channel is not passed on either.
        if (!channel.isSilent)
            shutdown(to, SHUT_RDWR);
    }

    int m_upstream;
    int m_fd { -1 };
    int m_port { 0 };
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Channel>> m_channels;
};

/// A process under test, started with the command of the deploy file.
class Node {
public:
    /// `values` fills the placeholders of the template that the deploy file names.
    Node(const std::string& folder, const std::map<std::string, std::string>& values)
        : m_folder(folder)
        , m_values(values)
    {
        start();
    }
    ~Node() { end(); }

    void start()
    {
        std::ifstream file("deploy/cyclamenstair.ini");
        std::stringstream text;
        text << file.rdbuf();
        auto settings = text.str();
        for (const auto& [name, value] : m_values) {
            const auto placeholder = "{{" + name + "}}";
            for (size_t at = 0; (at = settings.find(placeholder)) != std::string::npos;)
                settings.replace(at, placeholder.size(), value);
        }
        const auto name = m_values.at("node_name");
        const auto path = m_folder + "/" + name + ".conf";
        std::ofstream(path) << settings;
        const auto log = m_folder + "/" + name + ".log";
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl(
                "target/Programs/cyclamenstaird", "target/Programs/cyclamenstaird", "--config", path.c_str(), nullptr);
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            kill(m_pid, number);
    }
    /// Returns the status of the process if it has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return status;
        }
        return std::nullopt;
    }
    void end()
    {
        if (m_pid <= 0)
            return;
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    pid_t pid() const { return m_pid; }
    int port() const { return portOf("listen.front"); }
    int readyPort() const { return portOf("listen.ready_addr"); }
    const std::string& name() const { return m_values.at("node_name"); }

private:
    int portOf(const std::string& field) const
    {
        const auto& address = m_values.at(field);
        return std::atoi(address.c_str() + address.find(':') + 1);
    }

    std::string m_folder;
    std::map<std::string, std::string> m_values;
    pid_t m_pid { -1 };
};

/// Settings of a small deployment, as the platform's pages state them.
inline std::map<std::string, std::string> smallDeployment(
    const std::string& name, const std::string& zone, int storePort, const std::string& seeds, int controlPort)
{
    return { { "node_name", name }, { "region", "alx" }, { "zone", zone }, { "ip", "127.0.0.1" },
        { "listen.front", addressOf(freePort()) }, { "listen.ready_addr", addressOf(freePort()) },
        { "listen.control", addressOf(controlPort) }, { "seeds", seeds },
        { "inner_port_range.0", std::to_string(freePort()) }, { "limits.cpu_share", "0.25" }, { "bounds.grace_s", "8" },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_slack", "54" }, { "bounds.budget_window_s", "10" },
        { "bounds.lease_ms", "3000" }, { "provider.address", addressOf(storePort) },
        { "provider.ttl_min_ms", "1000" } };
}

/// Starts nodes that know each other by their seeds; each reaches the store at the port given for it.
inline std::vector<std::unique_ptr<Node>> startNodes(const std::string& folder, const std::vector<int>& storePorts)
{
    std::vector<int> controlPorts;
    std::string seeds;
    for (size_t i = 0; i < storePorts.size(); ++i) {
        controlPorts.push_back(freePort());
        if (i < 3)
            seeds += (i == 0 ? "" : ",") + addressOf(controlPorts.back());
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (size_t i = 0; i < storePorts.size(); ++i)
        nodes.push_back(std::make_unique<Node>(folder,
            smallDeployment("front-" + std::to_string(i + 1), "zone-" + std::to_string(i % 3 + 1), storePorts[i], seeds,
                controlPorts[i])));
    return nodes;
}

inline bool isReady(int port)
{
    const int fd = connectTo(port);
    if (fd < 0)
        return false;
    writeAll(fd, "GET /cyclamenstair/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    Message response;
    Reader(fd).read(response, now() + 1);
    close(fd);
    return response.status() == 200;
}

inline void waitUntilReady(const std::vector<std::unique_ptr<Node>>& nodes, double timeout)
{
    const double deadline = now() + timeout;
    for (const auto& node : nodes) {
        while (!isReady(node->readyPort())) {
            if (now() > deadline)
                cannotRun(node->name() + " is not ready");
            sleepFor(0.05);
        }
    }
}

/// Makes a temporary folder, which is removed at the end of the script by run.sh.
inline std::string scratchFolder()
{
    const char* folder = std::getenv("CASE_SCRATCH");
    return folder ? folder : "/tmp";
}

inline std::string requestId()
{
    static std::atomic<uint64_t> s_next { (static_cast<uint64_t>(getpid()) << 32U) + 1 };
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(s_next++ * 2654435761U));
    return text;
}

} // namespace stage
