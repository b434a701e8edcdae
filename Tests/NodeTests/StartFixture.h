#pragma once

#include <Tests/Support/ProcessFleet.h>

#include <StandIns/LoopbackPort.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <httplib.h>
#include <iterator>
#include <sstream>
#include <thread>
#include <toml++/toml.h>

namespace cyclamenstair::testing {

/// Settings of a node in mode Registered, and its processes.
class StartFixture : public ::testing::Test {
protected:
    static constexpr int waitTimeoutMs = 20000;

    StartFixture()
    {
        char name[] = "/tmp/cyclamenstair-start-XXXXXX";
        m_folder = ::mkdtemp(name);
        writeSettings(m_callerPort);
    }
    ~StartFixture() override { std::filesystem::remove_all(m_folder); }

    void writeSettings(int callerPort) const { writeSettings(settings(callerPort)); }

    /// Replaces the settings file by one with this text.
    void writeSettings(const std::string& text) const
    {
        std::ofstream(settingsPath() + ".new") << text;
        std::filesystem::rename(settingsPath() + ".new", settingsPath());
    }

    std::string settings() const { return settings(m_callerPort); }
    std::string settings(int callerPort) const
    {
        const std::string host = "127.0.0.1:";
        std::ostringstream text;
        text << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = " << host << callerPort
             << "\nready_listen = " << host << m_probePort << "\npeer_listen = " << host << m_peerPort
             << "\ngrace_s = 4\n[control]\nstore = " << host << m_storePort << "\n";
        return text.str();
    }

    std::string settingsPath() const { return m_folder + "/settings.ini"; }

    std::unique_ptr<ChildProcess> startNode(
        const std::string& name = "node", const std::vector<std::string>& arguments = {}) const
    {
        std::vector<std::string> all { "--config", settingsPath() };
        all.insert(all.end(), arguments.begin(), arguments.end());
        return std::make_unique<ChildProcess>("Programs/cyclamenstaird", all, m_folder + "/" + name);
    }

    /// Starts a node with the arguments of the deploy file, and the path of the settings in the environment.
    std::unique_ptr<ChildProcess> startDeployedNode() const
    {
        const auto deployment = toml::parse_file(CYCLAMENSTAIR_SOURCE_DIR "/deploy/system.toml");
        std::istringstream words(deployment.at_path("roles.node.run").value<std::string>().value());
        std::vector<std::string> arguments(std::istream_iterator<std::string>(words), {});
        arguments.erase(arguments.begin());
        return std::make_unique<ChildProcess>("Programs/cyclamenstaird", arguments, m_folder + "/node",
            std::map<std::string, std::string> { { "CYCLAMENSTAIR_SETTINGS", settingsPath() } });
    }

    /// Returns the exit status of the daemon's check of the settings; its output is the log "check".
    std::optional<int> checkSettings() const { return startNode("check", { "--check" })->wait(waitTimeoutMs); }

    std::string log(const std::string& name = "node") const
    {
        std::ostringstream text;
        text << std::ifstream(m_folder + "/" + name).rdbuf();
        return text.str();
    }

    size_t lineCount(const std::string& event) const
    {
        const auto text = log();
        size_t count = 0;
        for (auto at = text.find("event=" + event); at != std::string::npos; at = text.find("event=" + event, at + 1))
            ++count;
        return count;
    }

    static bool eventually(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitTimeoutMs);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    static bool isServing(int port)
    {
        httplib::Client client("127.0.0.1", port);
        return static_cast<bool>(client.Get("/cyclamenstair/readiness"));
    }

    int m_callerPort { allocateLoopbackPort() };
    int m_probePort { allocateLoopbackPort() };
    int m_peerPort { allocateLoopbackPort() };
    int m_storePort { allocateLoopbackPort() };
    std::string m_folder;
};

} // namespace cyclamenstair::testing
