#include <Tests/Support/ProcessFleet.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <StandIns/LoopbackPort.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace cyclamenstair::testing {

namespace {

    using Json = nlohmann::json;

    constexpr auto pollInterval = std::chrono::milliseconds(20);
    constexpr int startTimeoutMs = 10000;

    /// Maximum size of the log excerpt in an error message.
    constexpr size_t maxQuotedLogBytes = 2000;

    /// Returns the last `maxQuotedLogBytes` of the log, for the error message of a failed start.
    std::string readLogTail(const std::string& path)
    {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        auto log = text.str();
        return log.size() > maxQuotedLogBytes ? log.substr(log.size() - maxQuotedLogBytes) : log;
    }

    bool respondsToRequests(int port)
    {
        httplib::Client client("127.0.0.1", port);
        client.set_connection_timeout(std::chrono::milliseconds(200));
        return static_cast<bool>(client.Get("/health"));
    }

    Json serviceVm(const std::string& id, const std::string& address, int index)
    {
        return { { "id", id }, { "kind", "service" }, { "state", "live" }, { "address", address },
            { "region", "region-1" }, { "failure_domain", "domain-" + std::to_string(index % 3) },
            { "pool", "booking" }, { "services", { "bookings", "roster" } } };
    }

    /// Returns the environment of this process with the variables added or replaced, as NAME=VALUE.
    std::vector<std::string> formatEnvironment(const std::map<std::string, std::string>& variables)
    {
        std::vector<std::string> environment;
        for (char** entry = environ; *entry; ++entry) {
            const std::string variable = *entry;
            if (!variables.contains(variable.substr(0, variable.find('='))))
                environment.push_back(variable);
        }
        for (const auto& [name, value] : variables)
            environment.emplace_back(name).append("=").append(value);
        return environment;
    }

} // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
    const std::string& logPath, const std::map<std::string, std::string>& variables)
{
    const auto path = (std::filesystem::path(CYCLAMENSTAIR_BINARY_DIR) / program).string();
    std::vector<char*> argv { const_cast<char*>(path.c_str()) };
    for (const auto& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A process that inherits the sockets of stand-ins keeps them open after the stand-ins have closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto environment = formatEnvironment(variables);
    std::vector<char*> variablePointers;
    for (const auto& variable : environment)
        variablePointers.push_back(const_cast<char*>(variable.c_str()));
    variablePointers.push_back(nullptr);
    const int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), variablePointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start process " + path);
}

ChildProcess::~ChildProcess()
{
    if (m_pid < 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void ChildProcess::sendSignal(int number)
{
    if (m_pid >= 0)
        ::kill(m_pid, number);
}

bool ChildProcess::hasExited()
{
    int status = 0;
    if (m_pid >= 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return m_pid < 0;
}

std::optional<int> ChildProcess::wait(int timeoutMs)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    do {
        if (hasExited())
            return m_exitStatus;
        std::this_thread::sleep_for(pollInterval);
    } while (std::chrono::steady_clock::now() < deadline);
    return std::nullopt;
}

ProcessFleet::ProcessFleet(const FleetSettings& settings)
{
    char name[] = "/tmp/cyclamenstair-test-XXXXXX";
    const char* createdPath = ::mkdtemp(name);
    if (!createdPath)
        throw std::runtime_error("cannot create a temporary directory for the test");
    m_directory = createdPath;
    startStandIns(settings);
    writeNodeConfigs(settings);
    for (int node = 0; node < settings.nodes; ++node)
        startNode(node);
}

ProcessFleet::~ProcessFleet()
{
    m_nodes.clear();
    m_engines.clear();
    m_standIns.clear();
    // Keeps the logs for an investigation if requested.
    std::error_code ignored;
    if (!std::getenv("CYCLAMENSTAIR_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory, ignored);
}

std::unique_ptr<ChildProcess> ProcessFleet::startStandIn(
    const std::string& program, int port, std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), { "--port", std::to_string(port) });
    const auto logPath = m_directory + "/" + program + "-" + std::to_string(port) + ".log";
    auto process = std::make_unique<ChildProcess>("StandIns/" + program, arguments, logPath);
    if (!waitUntil([&] { return respondsToRequests(port) || process->hasExited(); }, startTimeoutMs)
        || process->hasExited())
        throw std::runtime_error(program + " did not start; end of its log: " + readLogTail(logPath));
    return process;
}

void ProcessFleet::startStandIns(const FleetSettings& settings)
{
    m_storePort = allocateLoopbackPort();
    m_standIns.push_back(startStandIn("standin-store", m_storePort, {}));
    m_platformPort = allocateLoopbackPort();
    m_standIns.push_back(startStandIn("standin-platform", m_platformPort,
        { "--load-ms", std::to_string(settings.weightLoadMs), "--full-speed-loads",
            std::to_string(settings.maxConcurrentWeightLoads) }));
    constexpr uint64_t engineMemoryBytes = 16ULL << 30;
    m_engineArguments
        = { "--token-ms", std::to_string(settings.tokenMs), "--prefill-ms", std::to_string(settings.prefillMs),
              "--slots", std::to_string(settings.slots), "--weight-store", platformAddress() };
    if (settings.ignoreFencing)
        m_engineArguments.emplace_back("--ignore-fencing");
    m_engines.resize(static_cast<size_t>(settings.engines));
    for (int i = 0; i < settings.engines; ++i) {
        m_enginePorts.push_back(allocateLoopbackPort());
        startEngine(i);
        m_vms.push_back({ { "id", "engine-" + std::to_string(i) }, { "kind", "engine" }, { "state", "live" },
            { "address", address(m_enginePorts.back()) }, { "region", "region-1" },
            { "failure_domain", "domain-" + std::to_string(i % 3) }, { "pool", "drafting" },
            { "memory_bytes", engineMemoryBytes } });
    }
    for (int i = 0; i < settings.services; ++i) {
        m_servicePorts.push_back(allocateLoopbackPort());
        m_standIns.push_back(startStandIn("standin-service", m_servicePorts.back(), {}));
        m_vms.push_back(serviceVm("service-" + std::to_string(i), address(m_servicePorts.back()), i));
    }
    publishVms();
}

void ProcessFleet::startEngine(int engine)
{
    const auto index = static_cast<size_t>(engine);
    m_engines[index] = startStandIn("standin-engine", m_enginePorts[index], m_engineArguments);
}

void ProcessFleet::writeNodeConfigs(const FleetSettings& settings)
{
    const auto keyPath = m_directory + "/fleet.key";
    // A key per fleet prevents messages between the nodes of concurrent fleets.
    std::ofstream(keyPath) << sha256Hex(m_directory).substr(0, 32);
    std::string seeds;
    for (int i = 0; i < settings.nodes; ++i) {
        m_nodes.push_back(
            { m_directory + "/node-" + std::to_string(i) + ".ini", m_directory + "/node-" + std::to_string(i) + ".log",
                allocateLoopbackPort(), allocateLoopbackPort(), allocateLoopbackPort(), nullptr });
        seeds += (i ? "," : "") + address(m_nodes.back().peerPort);
    }
    for (int i = 0; i < settings.nodes; ++i) {
        const auto& nodeProcess = m_nodes[static_cast<size_t>(i)];
        std::map<std::string, std::map<std::string, std::string>> sections;
        sections["node"]
            = { { "id", "node-" + std::to_string(i) }, { "failure_domain", "domain-" + std::to_string(i % 3) } };
        sections["caller"] = { { "port", std::to_string(nodeProcess.callerPort) } };
        sections["operator_api"]
            = { { "port", std::to_string(nodeProcess.operatorPort) }, { "token_hash", hashToken(operatorToken) } };
        std::string nodeSeeds = settings.seedsByNode.contains(i) ? "" : seeds;
        if (settings.seedsByNode.contains(i)) {
            for (const int seed : settings.seedsByNode.at(i))
                nodeSeeds += (nodeSeeds.empty() ? "" : ",") + address(m_nodes[static_cast<size_t>(seed)].peerPort);
        }
        sections["peer"] = { { "port", std::to_string(nodeProcess.peerPort) }, { "seeds", nodeSeeds },
            { "fleet_key_file", keyPath }, { "gossip_interval_ms", "100" }, { "member_timeout_ms", "2000" } };
        sections["store"] = { { "endpoint", storeAddress() } };
        sections["platform"] = { { "vm_list_endpoint", platformAddress() } };
        sections["placement"] = { { "interval_ms", "200" } };
        sections["request"] = { { "drain_notice_ms", "200" } };
        for (const auto& [name, value] : settings.nodeSettings) {
            const auto dot = name.find('.');
            sections[name.substr(0, dot)][name.substr(dot + 1)] = value;
        }
        std::ofstream file(nodeProcess.configPath);
        for (const auto& [section, keys] : sections) {
            file << "[" << section << "]\n";
            for (const auto& [key, value] : keys)
                file << key << " = " << value << "\n";
        }
    }
}

void ProcessFleet::changeSetting(int node, const std::string& key, const std::string& value)
{
    const auto& path = m_nodes[static_cast<size_t>(node)].configPath;
    std::ifstream oldFile(path);
    const auto prefix = key + " = ";
    std::string text;
    for (std::string line; std::getline(oldFile, line);)
        text.append(line.starts_with(prefix) ? prefix + value : line).append("\n");
    oldFile.close();
    std::ofstream(path) << text;
}

void ProcessFleet::startNode(int node)
{
    auto& nodeProcess = m_nodes[static_cast<size_t>(node)];
    nodeProcess.process = std::make_unique<ChildProcess>("Programs/cyclamenstaird",
        std::vector<std::string> { "--config", nodeProcess.configPath }, nodeProcess.logPath);
    if (!waitUntil([&] { return respondsToRequests(nodeProcess.callerPort) || nodeProcess.process->hasExited(); },
            startTimeoutMs)
        || nodeProcess.process->hasExited())
        throw std::runtime_error(
            "node " + std::to_string(node) + " did not start; end of its log: " + readLogTail(nodeProcess.logPath));
}

void ProcessFleet::killNode(int node) { m_nodes[static_cast<size_t>(node)].process.reset(); }

void ProcessFleet::restartEngine(int engine)
{
    killEngine(engine);
    startEngine(engine);
}

int ProcessFleet::acceptPlan(const std::string& sheet, int node, const std::vector<std::string>& arguments)
{
    const auto path = m_directory + "/sheet-" + std::to_string(++m_ctlRunCount) + ".csv";
    std::ofstream(path) << sheet;
    std::vector<std::string> ctlArguments { "plan", "accept", path };
    ctlArguments.insert(ctlArguments.end(), arguments.begin(), arguments.end());
    return runCtl(std::move(ctlArguments), node).first;
}

std::pair<int, std::string> ProcessFleet::runCtl(std::vector<std::string> arguments, int node)
{
    return runCtlAt(operatorAddress(node), std::move(arguments));
}

std::pair<int, std::string> ProcessFleet::runCtlAt(const std::string& address, std::vector<std::string> arguments)
{
    const auto logPath = m_directory + "/ctl-" + std::to_string(++m_ctlRunCount) + ".log";
    arguments.insert(arguments.end(), { "--node", address, "--token", operatorToken });
    ChildProcess ctl("Programs/cyclamenstairctl", arguments, logPath);
    const int status = ctl.wait(startTimeoutMs).value_or(-1);
    std::ostringstream text;
    text << std::ifstream(logPath).rdbuf();
    return { status, text.str() };
}

bool ProcessFleet::waitUntil(const std::function<bool()>& condition, int timeoutMs)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

bool ProcessFleet::waitUntilReachable(const std::string& artifact, int node, int timeoutMs)
{
    return waitUntil(
        [&] {
            const auto currentStatus = status(node);
            if (!currentStatus)
                return false;
            for (const auto& target : (*currentStatus)["targets"]) {
                for (const auto& loadedArtifact : target["artifacts"]) {
                    if (loadedArtifact == artifact && !target["leaving"].get<bool>())
                        return true;
                }
            }
            return false;
        },
        timeoutMs);
}

std::optional<Json> ProcessFleet::status(int node)
{
    httplib::Client client("http://" + operatorAddress(node));
    client.set_read_timeout(std::chrono::seconds(2));
    const auto response
        = client.Get("/operator/status", { { "Authorization", std::string("Bearer ") + operatorToken } });
    if (!response || response->status != 200)
        return std::nullopt;
    return Json::parse(response->body);
}

void ProcessFleet::setFaults(const std::string& address, const Json& faults)
{
    httplib::Client client("http://" + address);
    if (!client.Post("/faults", faults.dump(), "application/json"))
        throw std::runtime_error("no response from the stand-in at " + address);
}

Json ProcessFleet::fetchJson(const std::string& address, const std::string& path)
{
    httplib::Client client("http://" + address);
    const auto response = client.Get(path.c_str());
    if (!response)
        throw std::runtime_error("no response from " + address + path);
    return Json::parse(response->body);
}

void ProcessFleet::addServiceVm(const std::string& id, const std::string& address)
{
    m_vms.push_back(serviceVm(id, address, 0));
    publishVms();
}

void ProcessFleet::setVmState(const std::string& id, const std::string& state)
{
    for (auto& vm : m_vms) {
        if (vm["id"] == id)
            vm["state"] = state;
    }
    publishVms();
}

void ProcessFleet::publishVms()
{
    httplib::Client client("http://" + platformAddress());
    if (!client.Put("/vms", Json { { "vms", m_vms } }.dump(), "application/json"))
        throw std::runtime_error("no response from the platform stand-in to PUT /vms");
}

} // namespace cyclamenstair::testing
