#pragma once

// The platform's store, runners and node processes of a small deployment.

#include "Wire.h"

#include <nlohmann/json.hpp>

#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <optional>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

extern char** environ;

namespace review {

using Json = nlohmann::json;

inline const Clock::time_point startTime = Clock::now();

/// Writes what was sent, answered and run, with seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        m_file << msSince(startTime) / 1000 << "." << std::to_string(1000 + msSince(startTime) % 1000).substr(1) << " "
               << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string base64(const std::string& bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        const auto byte = [&](size_t k) { return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0U; };
        const uint32_t group = byte(i) << 16U | byte(i + 1) << 8U | byte(i + 2);
        for (size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

/// The platform's store: items, leases, conditional transactions, watches. Values stay in base64 as they came.
class Store {
public:
    Store()
        : m_server([this](Channel& channel, const Message& request) { return handle(channel, request); })
        , m_expiry([this] { expireLeases(); })
    {
    }
    ~Store()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        m_expiry.join();
    }

    std::string address() const { return m_server.address(); }
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        write(key, base64(value), 0);
    }
    void remove(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        erase(key);
    }
    bool has(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        return m_items.contains(key);
    }
    /// Returns the value in base64.
    std::string value(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        const auto item = m_items.find(key);
        return item == m_items.end() ? std::string() : item->second.value;
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
        int64_t ttlMs { 0 };
        Clock::time_point end;
    };

    static std::string query(const std::string& target, const std::string& name)
    {
        const auto start = target.find(name + "=");
        if (start == std::string::npos)
            return {};
        const auto begin = start + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    static Json rowOf(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision },
            { "created_rev", item.created }, { "lease", item.lease } };
    }

    bool handle(Channel& channel, const Message& request)
    {
        const auto target = request.word(1);
        const std::string base = "/cyclamenstair/";
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        std::pair<int, Json> answer { 404, Json::object() };
        if (path == base + "kv-range") {
            Json items = Json::array();
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(query(target, "path_prefix")))
                    items.push_back(rowOf(key, item));
            }
            answer = { 200, { { "items", items }, { "has_more", false }, { "store_revision", m_revision } } };
        } else if (path == base + "kv-watch") {
            const auto prefix = query(target, "path_prefix");
            const auto after = std::stoll(query(target, "after"));
            Json events = Json::array();
            const auto collect = [&] {
                for (const auto& change : m_changes) {
                    if (change.item.revision <= after || !change.key.starts_with(prefix))
                        continue;
                    if (change.isDeleted)
                        events.push_back(
                            { { "key", change.key }, { "revision", change.item.revision }, { "deleted", true } });
                    else
                        events.push_back(rowOf(change.key, change.item));
                }
                return !events.empty() || m_isStopping;
            };
            m_changed.wait_until(lock, afterMs(std::stoll(query(target, "wait_ms"))), collect);
            answer = { 200, { { "events", events }, { "store_revision", m_revision } } };
        } else if (path == base + "kv-txn") {
            answer = transact(Json::parse(request.body));
        } else if (path == base + "kv-lease") {
            const auto ttl = Json::parse(request.body).at("ttl_ms").get<int64_t>();
            m_leases[++m_lastLease] = { ttl, afterMs(ttl) };
            answer = { 200, { { "lease", m_lastLease }, { "ttl_ms", ttl } } };
        } else if (path.starts_with(base + "kv-keep/")) {
            const auto lease = m_leases.find(std::stoll(path.substr(base.size() + 8)));
            if (lease != m_leases.end()) {
                lease->second.end = afterMs(lease->second.ttlMs);
                answer = { 200, { { "ttl_ms", lease->second.ttlMs } } };
            }
        } else if (path.starts_with(base + "kv-lease-end/")) {
            endLease(std::stoll(path.substr(base.size() + 13)));
            answer = { 200, Json::object() };
        }
        lock.unlock();
        return channel.write(response(answer.first, answer.second.dump(), { { "Content-Type", "application/json" } }));
    }

    std::pair<int, Json> transact(const Json& body)
    {
        for (const auto& row : body.at("expected")) {
            const auto item = m_items.find(row.at("key").get<std::string>());
            if ((item == m_items.end() ? 0 : item->second.revision) != row.at("revision").get<int64_t>())
                return { 412, { { "items", Json::array() } } };
        }
        for (const auto& row : body.at("set_keys")) {
            const auto lease = row.value("lease", int64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease))
                return { 404, Json::object() };
        }
        for (const auto& row : body.at("set_keys"))
            write(row.at("key"), row.at("value"), row.value("lease", int64_t { 0 }));
        for (const auto& key : body.at("remove"))
            erase(key);
        return { 200, { { "revision", m_revision } } };
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
        m_changes.push_back({ key, { {}, ++m_revision, 0, 0 }, true });
        m_changed.notify_all();
    }
    void endLease(int64_t id)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
        m_leases.erase(id);
    }
    void expireLeases()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopping) {
            m_changed.wait_for(lock, std::chrono::milliseconds(10));
            std::vector<int64_t> ended;
            for (const auto& [id, lease] : m_leases) {
                if (lease.end <= Clock::now())
                    ended.push_back(id);
            }
            for (const auto id : ended)
                endLease(id);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping { false };
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    std::map<int64_t, Lease> m_leases;
    int64_t m_lastLease { 1000 };
    int64_t m_revision { 1 };
    Server m_server;
    std::thread m_expiry;
};

/// Processes that were started and have not been waited for. They are ended if this program is ended early.
class StartedProcesses {
public:
    static void add(pid_t pid) { replace(0, pid); }
    static void remove(pid_t pid) { replace(pid, 0); }
    static void endAllAndExit(int)
    {
        for (auto& entry : s_pids) {
            if (const pid_t pid = entry; pid > 0)
                ::kill(pid, SIGKILL);
        }
        ::_exit(2);
    }

private:
    static void replace(pid_t from, pid_t to)
    {
        for (auto& entry : s_pids) {
            pid_t expected = from;
            if (entry.compare_exchange_strong(expected, to))
                return;
        }
    }
    static inline std::array<std::atomic<pid_t>, 64> s_pids {};
};

/// Values of the settings template's placeholders, as of the site prairie-hours.
inline std::map<std::string, std::string> siteFields()
{
    return { { "region", "prairie-west" }, { "zone", "regina-a" }, { "limits.cpu_share", "0.25" },
        { "bounds.grace_s", "8" }, { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_slack", "58" },
        { "bounds.budget_window_s", "10" }, { "bounds.lease_ms", "3000" }, { "provider.ttl_min_ms", "1000" },
        { "ip", "127.0.0.1" } };
}

inline std::string readFile(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// A process of the system, started with the command and the settings template of the deploy file. The current folder
/// is the root of the repository.
class Node {
public:
    Node(std::string name, const Store& store, std::string folder)
        : m_name(std::move(name))
        , m_folder(std::move(folder))
        , m_callerPort(freePort())
        , m_readyPort(freePort())
    {
        m_fields = siteFields();
        m_fields["node_name"] = m_name;
        m_fields["listen.front"] = "127.0.0.1:" + std::to_string(m_callerPort);
        m_fields["listen.ready_addr"] = "127.0.0.1:" + std::to_string(m_readyPort);
        m_fields["listen.control"] = "127.0.0.1:" + std::to_string(freePort());
        m_fields["seeds"] = m_fields["listen.control"];
        m_fields["inner_port_range.0"] = std::to_string(freePort());
        m_fields["provider.address"] = store.address();
    }
    ~Node() { kill(SIGKILL); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void setField(const std::string& name, const std::string& value) { m_fields[name] = value; }
    std::string controlAddress() const { return m_fields.at("listen.control"); }
    const std::string& name() const { return m_name; }
    uint16_t port() const { return m_callerPort; }
    uint16_t readyPort() const { return m_readyPort; }
    pid_t pid() const { return m_pid; }
    std::string logPath() const { return m_folder + "/" + m_name + ".log"; }

    /// Starts the process. Its standard output goes to `outputFd`, or to the log file.
    void start(int outputFd = -1)
    {
        auto settings = readFile("deploy/cyclamenstair.ini");
        for (const auto& [name, value] : m_fields) {
            const auto placeholder = "{{" + name + "}}";
            for (size_t at; (at = settings.find(placeholder)) != std::string::npos;)
                settings.replace(at, placeholder.size(), value);
        }
        const auto path = m_folder + "/" + m_name + ".conf";
        std::ofstream(path) << settings;
        std::vector<std::string> words;
        std::istringstream command(deployCommand());
        for (std::string word; command >> word;)
            words.push_back(word == "/etc/cyclamenstair/settings.conf" ? path : word);
        std::vector<char*> arguments;
        for (auto& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        const int fd = outputFd >= 0 ? ::dup(outputFd)
                                     : ::open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, fd, STDOUT_FILENO);
        posix_spawn_file_actions_adddup2(&actions, fd, STDERR_FILENO);
        if (::posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ) != 0)
            throw std::runtime_error("cannot start " + words[0]);
        StartedProcesses::add(m_pid);
        posix_spawn_file_actions_destroy(&actions);
        ::close(fd);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /// Sends the signal and waits for the end of the process.
    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        StartedProcesses::remove(m_pid);
        m_pid = -1;
    }
    /// Returns the wait status if the process has ended by itself.
    std::optional<int> endedStatus()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        StartedProcesses::remove(m_pid);
        m_pid = -1;
        return status;
    }

    bool isReady() const
    {
        const auto channel = Channel::connect(m_readyPort);
        Message answer;
        return channel && channel->write("GET /cyclamenstair/readiness HTTP/1.1\r\nHost: n\r\n\r\n")
            && channel->read(answer, afterMs(1000)) == ReadEnd::Complete && answer.status() == 200;
    }
    bool waitUntilReady(int64_t ms = 15000) const
    {
        for (const auto end = afterMs(ms); Clock::now() < end; sleepMs(20)) {
            if (isReady())
                return true;
        }
        return false;
    }
    /// Returns the memory in use, in MB, without pages of files.
    double memoryMb() const
    {
        std::istringstream text(readFile("/proc/" + std::to_string(m_pid) + "/status"));
        for (std::string word; text >> word;) {
            double kb = 0;
            if (word == "RssAnon:" && text >> kb)
                return kb / 1024;
        }
        return 0;
    }

private:
    static std::string deployCommand()
    {
        const auto text = readFile("deploy/system.toml");
        const auto begin = text.find("\nrun = \"") + 8;
        return text.substr(begin, text.find('"', begin) - begin);
    }

    std::string m_name;
    std::string m_folder;
    uint16_t m_callerPort;
    uint16_t m_readyPort;
    std::map<std::string, std::string> m_fields;
    pid_t m_pid { -1 };
};

/// A runner: registers itself, answers its report, and leaves requests and orders to handlers.
class Runner {
public:
    Runner(Store& store, std::string id, std::string service, Server::Handler handler, Json models = Json::array())
        : m_store(&store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_models(std::move(models))
        , m_handler(std::move(handler))
        , m_server([this](Channel& channel, const Message& request) { return handle(channel, request); })
    {
    }

    const std::string& id() const { return m_id; }
    Server& server() { return m_server; }
    std::string address() const { return m_server.address(); }

    void registerAs(const std::string& state)
    {
        Json entry = { { "service", m_service }, { "address", address() }, { "zone", "regina-a" }, { "version", "v1" },
            { "slots", 64 }, { "state", state }, { "cold_left_ms", 0 }, { "seq", ++m_beat }, { "born", m_born } };
        if (!m_models.empty())
            entry["models"] = m_models;
        m_store->put("servers/" + m_id, entry.dump());
    }
    void unregister() { m_store->remove("servers/" + m_id); }

private:
    bool handle(Channel& channel, const Message& request)
    {
        const auto target = request.word(1);
        if (target == "/cyclamenstair/report")
            return channel.write(response(200,
                Json({ { "stage", "colocated" }, { "models", m_models }, { "busy", false }, { "seq", 0 },
                         { "queued", 0 }, { "running", 0 }, { "kv_used", 0 }, { "kv_total", 146448 }, { "handles", 0 },
                         { "born", m_born } })
                    .dump(),
                { { "Content-Type", "application/json" } }));
        const auto expected = request.field("cyclamenstair-expect-instance");
        if (!expected.empty() && expected != m_id)
            return channel.write(response(421, "", { { "Cyclamenstair-Not-Run", "1" } }));
        if (target == "/cyclamenstair/order")
            return channel.write(response(409, "{}"));
        return m_handler(channel, request);
    }

    Store* m_store;
    std::string m_id;
    std::string m_service;
    Json m_models;
    Server::Handler m_handler;
    std::atomic<int> m_beat { 0 };
    int64_t m_born { 1767225600000 };
    Server m_server;
};

/// Returns the fields of a runner's complete answer.
inline std::vector<std::pair<std::string, std::string>> receipt(const Message& request, const std::string& runner)
{
    return { { "Cyclamenstair-Request-Id", request.field("cyclamenstair-request-id") },
        { "Cyclamenstair-Response-Stamp", "stamp-" + runner } };
}

/// Returns a config like that of the site prairie-hours, with one route of each kind.
inline Json siteConfig(int version)
{
    const auto route = [](const char* name, const char* prefix, const char* kind, int timeout, int target,
                           const char* service, int attempts, int priority) {
        Json row = { { "name", name }, { "host", "ficu95.example" }, { "path_prefix", prefix }, { "kind", kind },
            { "timeout_ms", timeout }, { "target_latency_ms", target }, { "priority", priority },
            { "service", service }, { "max_attempts", attempts } };
        if (std::string(kind) == "streaming")
            row.update({ { "sticky", true }, { "resumable", true }, { "gap_target_ms", 300 } });
        return row;
    };
    const Json engine = { { "slots", 64 }, { "kv_capacity", 146448 }, { "weights_mb", 230000.0 },
        { "adapter_slots", 8 }, { "loads_per_s", 1.5 },
        { "models",
            Json::array({ { { "name", "m0" }, { "weights_mb", 65100.0 }, { "load_s", 2.2 }, { "adapters", 0 },
                { "adapter_mb", 12.0 } } }) } };
    return { { "version", version },
        { "routes",
            Json::array({ route("draft", "/draft/", "streaming", 15000, 600, "drafting", 2, 1),
                route("commit", "/commit/", "non_idempotent", 1000, 150, "ledger", 1, 2),
                route("roster", "/roster/", "safe", 1000, 150, "ledger", 2, 2) }) },
        { "services",
            Json::array(
                { { { "name", "drafting" }, { "health_path", "/health" }, { "max_conns", 370 }, { "engine", engine } },
                    { { "name", "ledger" }, { "health_path", "/health" }, { "max_conns", 110 } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

inline std::string callerRequest(const std::string& method, const std::string& path, const std::string& id,
    int deadlineMs, const std::string& body = "{}", const std::string& more = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nCyclamenstair-Request-Id: " + id
        + "\r\nCyclamenstair-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + more
        + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n"
        + (method == "GET" ? "" : body);
}

/// Runs the case: exits with 1 if `play` found the rule broken, 0 if it held, 2 if the case could not run.
inline int runCase(const std::function<bool(const std::string& folder, Record& record, bool hasTrouble)>& play,
    const std::string& recordPath)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : { SIGTERM, SIGINT, SIGABRT })
        std::signal(number, StartedProcesses::endAllAndExit);
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    char folder[] = "/tmp/cyclamenstair-review-XXXXXX";
    if (!::mkdtemp(folder))
        return 2;
    int result = 2;
    try {
        Record record(recordPath);
        const bool isBroken = play(folder, record, hasTrouble);
        record.line(isBroken ? "RULE BROKEN" : "rule held");
        std::cout << (isBroken ? "rule broken" : "rule held") << std::endl;
        result = isBroken ? 1 : 0;
    } catch (const std::exception& exception) {
        std::cerr << "the case could not run: " << exception.what() << std::endl;
    }
    if (!std::getenv("KEEP_FOLDER"))
        std::filesystem::remove_all(folder);
    return result;
}

} // namespace review
