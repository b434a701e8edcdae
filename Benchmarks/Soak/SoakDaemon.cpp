#include <Benchmarks/Soak/SoakDaemon.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <Tests/Support/ProcessFleet.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cyclamenstair {

namespace {

    constexpr int checkTimeoutMs = 10000;
    constexpr auto settingsVariable = "CYCLAMENSTAIR_SETTINGS"; ///< Set by the platform.

    /// Returns whether the daemon finds the settings, which it accepts, by the environment alone.
    bool takesSettingsVariable(const std::string& program, const std::string& settingsPath, const std::string& logPath)
    {
        testing::ChildProcess check(program, { "--check" }, logPath, { { settingsVariable, settingsPath } });
        return check.wait(checkTimeoutMs) == 0;
    }

    /// Returns the key that the message of a rejected file names as unknown, or an empty string.
    std::string unknownKeyOf(const std::string& message)
    {
        const std::string prefix = "unknown key '";
        const auto begin = message.find(prefix);
        if (begin == std::string::npos)
            return {};
        const auto rest = message.substr(begin + prefix.size());
        return rest.substr(0, rest.find('\''));
    }

    std::string formatSections(const SoakNodeSettings& settings, const SoakDaemon& daemon)
    {
        // The first and the last line tell a daemon that reads the file while it is written that it is incomplete.
        std::string text = "; This file is complete only with the last line \"; end of settings\".\n";
        for (const auto& [section, values] : settings) {
            text.append("[").append(section).append("]\n");
            for (const auto& [key, value] : values) {
                if (!daemon.unknownKeys.contains(key))
                    text.append(key).append(" = ").append(value).append("\n");
            }
        }
        return text + "; end of settings\n";
    }

    std::string removeUnknownKeys(const std::string& text, const SoakDaemon& daemon)
    {
        std::istringstream lines(text);
        std::string kept;
        for (std::string line; std::getline(lines, line);) {
            const auto key = line.substr(0, line.find_first_of(" ="));
            if (!daemon.unknownKeys.contains(key))
                kept.append(line).append(lines.eof() ? "" : "\n");
        }
        return kept;
    }

} // namespace

std::string formatSettings(const SoakSettingsSource& settings, const SoakDaemon& daemon)
{
    return std::visit(Overloaded {
                          [&](const SoakNodeSettings& sections) { return formatSections(sections, daemon); },
                          [&](const SoakSettingsText& file) { return removeUnknownKeys(file.text, daemon); },
                      },
        settings);
}

std::string callerAddressOf(const SoakSettingsSource& settings)
{
    return std::visit(Overloaded {
                          [](const SoakNodeSettings& sections) { return sections.at("entry").at("listen"); },
                          [](const SoakSettingsText& file) { return file.callerAddress; },
                      },
        settings);
}

std::string probeAddressOf(const SoakSettingsSource& settings)
{
    return std::visit(Overloaded {
                          [](const SoakNodeSettings& sections) { return sections.at("entry").at("ready_listen"); },
                          [](const SoakSettingsText& file) { return file.probeAddress; },
                      },
        settings);
}

SoakSettingsReference referToSettings(const std::string& path, const SoakDaemon& daemon)
{
    if (daemon.takesSettingsVariable)
        return { {}, { { settingsVariable, path } } };
    return { { "--config", path }, {} };
}

SoakDaemon probeDaemon(const std::string& program, const SoakSettingsSource& settings, const std::string& folder)
{
    SoakDaemon daemon { .program = program, .unknownKeys = {} };
    const auto settingsPath = folder + "/check.ini";
    const auto logPath = folder + "/check.log";
    while (true) {
        std::ofstream(settingsPath) << formatSettings(settings, daemon);
        std::filesystem::remove(logPath);
        testing::ChildProcess check(program, { "--config", settingsPath, "--check" }, logPath);
        const auto status = check.wait(checkTimeoutMs);
        if (status == 0) {
            daemon.takesSettingsVariable = takesSettingsVariable(program, settingsPath, logPath);
            return daemon;
        }
        std::ostringstream message;
        message << std::ifstream(logPath).rdbuf();
        const auto key = unknownKeyOf(message.str());
        if (key.empty() || !daemon.unknownKeys.insert(key).second)
            throw std::runtime_error(program + " rejects the settings of the soak: " + message.str());
    }
}

} // namespace cyclamenstair
