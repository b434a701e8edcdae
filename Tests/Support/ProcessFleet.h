#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cyclamenstair::testing {

/// Child process of a test. The destructor kills it if it is still running.
class ChildProcess {
public:
    /// Starts `program`, an absolute path or a path in the build's binary directory, and appends its output to
    /// `logPath`. `variables` are added to the environment of this process or replace those there. Throws
    /// std::runtime_error if it cannot be started.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath,
        const std::map<std::string, std::string>& variables = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void sendSignal(int number);
    pid_t id() const { return m_pid; }

    /// Returns whether the process has exited.
    bool hasExited();

    /// Waits until the process exits and returns its exit status, or no value after the timeout.
    std::optional<int> wait(int timeoutMs);

private:
    pid_t m_pid { -1 };
    int m_exitStatus { 0 }; ///< Valid after the exit; 128 + N if signal N terminated the process.
};

/// Settings of a ProcessFleet.
struct FleetSettings {
    int nodes { 3 };
    int engines { 3 };
    int services { 1 };
    bool ignoreFencing { false };
    double tokenMs { 2 };
    double prefillMs { 4 };
    uint32_t slots { 8 };
    double weightLoadMs { 100 };
    int maxConcurrentWeightLoads { 3 };
    std::map<std::string, std::string> nodeSettings; ///< Additional node settings by "section.key".
    std::map<int, std::vector<int>> seedsByNode; ///< Seeds of a node; all nodes if it has no entry.
};

/// Fleet of stand-ins and nodes, each a separate process on loopback ports.
class ProcessFleet {
public:
    explicit ProcessFleet(const FleetSettings& settings);
    ~ProcessFleet();

    /// Runs `cyclamenstairctl plan accept` for the sheet against node `node`; returns the exit status.
    int acceptPlan(const std::string& sheet, int node = 0, const std::vector<std::string>& arguments = {});

    /// Polls the condition until it holds; returns false after the timeout.
    bool waitUntil(const std::function<bool()>& condition, int timeoutMs);

    /// Waits until node `node` reports a target that is not leaving and has loaded the artifact; returns false after
    /// the timeout.
    bool waitUntilReachable(const std::string& artifact, int node, int timeoutMs);

    /// Runs cyclamenstairctl against node `node`; returns its exit status and output.
    std::pair<int, std::string> runCtl(std::vector<std::string> arguments, int node = 0);

    /// Runs cyclamenstairctl against any address of an operator API; returns its exit status and output.
    std::pair<int, std::string> runCtlAt(const std::string& address, std::vector<std::string> arguments);

    /// Returns the node's response to GET /operator/status, or no value if the request failed.
    std::optional<nlohmann::json> status(int node);
    std::string callerAddress(int node) const { return address(m_nodes[static_cast<size_t>(node)].callerPort); }
    std::string operatorAddress(int node) const { return address(m_nodes[static_cast<size_t>(node)].operatorPort); }
    std::string engineAddress(int engine) const { return address(m_enginePorts[static_cast<size_t>(engine)]); }
    std::string serviceAddress(int service) const { return address(m_servicePorts[static_cast<size_t>(service)]); }
    std::string storeAddress() const { return address(m_storePort); }
    std::string platformAddress() const { return address(m_platformPort); }
    size_t engineCount() const { return m_enginePorts.size(); }
    size_t nodeCount() const { return m_nodes.size(); }

    ChildProcess& node(int node) { return *m_nodes[static_cast<size_t>(node)].process; }
    ChildProcess& engine(int engine) { return *m_engines[static_cast<size_t>(engine)]; }

    /// Replaces the value of a key in a node's settings file, which must contain the key exactly once.
    void changeSetting(int node, const std::string& key, const std::string& value);

    void startNode(int node);
    void killNode(int node);

    /// Starts or kills an engine. Its address stays in the VM list.
    void startEngine(int engine);
    void killEngine(int engine) { m_engines[static_cast<size_t>(engine)].reset(); }

    /// Kills an engine and restarts it at the same address.
    void restartEngine(int engine);

    /// Sets faults of a stand-in. Throws std::runtime_error if the stand-in does not respond.
    static void setFaults(const std::string& address, const nlohmann::json& faults);

    /// Returns the JSON response to GET `path`. Throws std::runtime_error if there is no response.
    static nlohmann::json fetchJson(const std::string& address, const std::string& path);

    /// Adds a VM with the services "bookings" and "roster" at the address and publishes the VM list.
    void addServiceVm(const std::string& id, const std::string& address);

    /// Changes the state of a VM and publishes the VM list.
    void setVmState(const std::string& id, const std::string& state);

    static constexpr const char* callerToken = "caller-token";
    static constexpr const char* operatorToken = "operator-token";

private:
    struct NodeProcess {
        std::string configPath;
        std::string logPath;
        int callerPort;
        int operatorPort;
        int peerPort;
        std::unique_ptr<ChildProcess> process;
    };

    static std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }
    std::unique_ptr<ChildProcess> startStandIn(
        const std::string& program, int port, std::vector<std::string> arguments);
    void startStandIns(const FleetSettings& settings);
    void writeNodeConfigs(const FleetSettings& settings);
    void publishVms();

    std::string m_directory;
    int m_storePort;
    int m_platformPort;
    std::vector<int> m_enginePorts;
    std::vector<int> m_servicePorts;
    std::vector<std::unique_ptr<ChildProcess>> m_standIns;
    std::vector<std::unique_ptr<ChildProcess>> m_engines;
    std::vector<std::string> m_engineArguments;
    std::vector<NodeProcess> m_nodes;
    nlohmann::json m_vms = nlohmann::json::array();
    std::atomic<int> m_ctlRunCount { 0 };
};

} // namespace cyclamenstair::testing
