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

/// A child process of a test. It is ended by its id at the latest when the object goes.
class ChildProcess {
public:
    /// Starts `program` of the build's binary directory, with its output in `logPath`.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number);
    pid_t id() const { return m_pid; }

    /// Returns whether the process has ended.
    bool hasEnded();

    /// Waits for the end of the process; returns its exit status, or no value if it did not end in time.
    std::optional<int> wait(int limitMs);

private:
    pid_t m_pid { -1 };
    int m_exitStatus { 0 }; ///< Valid after the end; 128 and more for a signal.
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
    int weightLoadsAtOnce { 3 };
    std::map<std::string, std::string> nodeSettings; ///< Extra settings by "section.key".
    std::map<int, std::vector<int>> seedsOf; ///< Nodes that a node has as seeds; all nodes for those without an entry.
};

/// Stand-ins and nodes as separate processes on loopback ports.
class ProcessFleet {
public:
    explicit ProcessFleet(const FleetSettings& settings);
    ~ProcessFleet();

    /// Accepts the plan sheet through node `node`; returns the exit status of cyclamenstairctl.
    int acceptPlan(const std::string& sheet, int node = 0, const std::vector<std::string>& arguments = {});

    /// Waits until node `node` reports the condition; returns whether it did.
    bool waitUntil(const std::function<bool()>& condition, int limitMs);
    bool waitUntilReachable(const std::string& artifact, int node, int limitMs);

    /// Runs cyclamenstairctl against node `node`; returns its exit status and the text it printed.
    std::pair<int, std::string> runTool(std::vector<std::string> arguments, int node = 0);

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
    /// Replaces the value of a key in the settings file of a node, which must hold the key once.
    void changeSetting(int node, const std::string& key, const std::string& value);

    void startNode(int node);
    void killNode(int node);

    /// Starts an engine, or ends it at once; its address stays in the VM list.
    void startEngine(int engine);
    void killEngine(int engine) { m_engines[static_cast<size_t>(engine)].reset(); }

    /// Ends an engine at once and starts it again at the same address.
    void restartEngine(int engine);

    /// Sends faults to a stand-in.
    static void setFaults(const std::string& address, const nlohmann::json& faults);
    static nlohmann::json fetchJson(const std::string& address, const std::string& path);

    /// Replaces the state of a VM in the VM list.
    void setVmState(const std::string& id, const std::string& state);

    static constexpr const char* callerToken = "caller-token";
    static constexpr const char* operatorToken = "operator-token";

private:
    struct NodeSlot {
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
    std::vector<NodeSlot> m_nodes;
    nlohmann::json m_vms = nlohmann::json::array();
    std::atomic<int> m_toolRuns { 0 };
};

} // namespace cyclamenstair::testing
