#include <Benchmarks/Soak/SoakNode.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

namespace cyclamenstair {

namespace {

    constexpr uint64_t seedOfDaemons = 0x6275696c64;
    constexpr uint64_t seedOfStress = 0x737472657373;
    constexpr double unreadOutputShare = 0.25; ///< Of the processes.
    constexpr double brokenOutputShare = 0.5; ///< Of the outputs that nobody reads: their reader ends later.
    constexpr double maxBrokenOutputMs = 4000; ///< After the start.
    constexpr double earlySignalsShare = 0.5; ///< Of the starts.
    constexpr size_t maxEarlySignals = 6;
    constexpr double maxEarlySignalMs = 20; ///< After the start.

    Random randomFor(uint64_t seed, const std::string& id) { return Random(seed ^ std::hash<std::string>()(id)); }

} // namespace

SoakNode::SoakNode(
    const std::string& id, const std::string& folder, SoakSettingsSource settings, SoakStarts starts, SoakTimer& timer)
    : m_id(id)
    , m_folder(folder)
    , m_callerAddress(callerAddressOf(settings))
    , m_probeAddress(probeAddressOf(settings))
    , m_starts(std::move(starts))
    , m_timer(timer)
    , m_settings(std::move(settings))
    , m_daemonRandom(randomFor(m_starts.seed ^ seedOfDaemons, id))
    , m_stressRandom(randomFor(m_starts.seed ^ seedOfStress, id))
{
    for (size_t i = 0; i < m_starts.daemons.size(); ++i)
        std::ofstream(settingsPath(i)) << formatSettings(m_settings, m_starts.daemons[i]);
}

std::string SoakNode::settingsPath(size_t daemon) const
{
    return m_folder + "/" + m_id + "-" + std::to_string(daemon) + ".ini";
}

void SoakNode::start()
{
    std::lock_guard lock(m_mutex);
    startProcess();
}

void SoakNode::startProcess()
{
    ++m_startCount;
    m_disturbedAt = monotonicNow();
    const size_t daemon = randomIndex(m_daemonRandom, m_starts.daemons.size());
    const bool isOutputRead = !m_starts.hasUnreadOutput || randomUnit(m_stressRandom) >= unreadOutputShare;
    auto settings = referToSettings(settingsPath(daemon), m_starts.daemons[daemon]);
    settings.variables.insert(m_starts.variables.begin(), m_starts.variables.end());
    m_process = std::make_unique<SoakProcess>(m_starts.daemons[daemon].program, settings.arguments,
        m_folder + "/" + m_id + ".log", isOutputRead, m_starts.limits, settings.variables);
    std::ostringstream text;
    text << "start " << m_id << ", process " << m_process->id() << ", daemon " << daemon
         << (isOutputRead ? "" : ", output not read") << "\n";
    std::cout << text.str() << std::flush;
    if (!isOutputRead && randomUnit(m_stressRandom) < brokenOutputShare)
        scheduleBrokenOutput();
    if (m_starts.hasEarlySignals)
        scheduleEarlySignals();
}

void SoakNode::scheduleBrokenOutput()
{
    const auto delay = milliseconds(static_cast<int64_t>(maxBrokenOutputMs * randomUnit(m_stressRandom)));
    m_timer.schedule(monotonicNow() + delay, [this, id = m_process->id()] {
        std::lock_guard lock(m_mutex);
        if (m_process && m_process->id() == id)
            m_process->breakOutput();
    });
}

void SoakNode::scheduleEarlySignals()
{
    if (randomUnit(m_stressRandom) >= earlySignalsShare)
        return;
    const auto now = monotonicNow();
    const size_t count = 1 + randomIndex(m_stressRandom, maxEarlySignals);
    // Most processes end by a signal that arrives before they block it, so that half of the series wait for that.
    const bool waits = randomIndex(m_stressRandom, 2) == 0;
    for (size_t i = 0; i < count; ++i) {
        const auto delay
            = std::chrono::microseconds(static_cast<int64_t>(1000 * maxEarlySignalMs * randomUnit(m_stressRandom)));
        m_timer.schedule(now + delay, [this, id = m_process->id(), waits] { sendEarlySignal(id, waits); });
    }
}

void SoakNode::sendEarlySignal(pid_t process, bool waits)
{
    std::lock_guard lock(m_mutex);
    if (!m_process || m_process->id() != process)
        return;
    if (waits && !m_process->isPrepared(SIGHUP)) {
        m_timer.schedule(monotonicNow() + milliseconds(1), [this, process] { sendEarlySignal(process, true); });
        return;
    }
    m_process->sendSignal(SIGHUP);
}

void SoakNode::signal(int number)
{
    std::lock_guard lock(m_mutex);
    m_disturbedAt = monotonicNow();
    if (m_process)
        m_process->sendSignal(number);
    // A predecessor may have been frozen before it was replaced.
    if (number == SIGCONT) {
        for (const auto& predecessor : m_predecessors)
            predecessor->sendSignal(number);
    }
}

void SoakNode::signalStopping(int number)
{
    std::lock_guard lock(m_mutex);
    if (m_process && m_process->isToldToEnd())
        m_process->sendSignal(number);
    for (const auto& predecessor : m_predecessors)
        predecessor->sendSignal(number);
}

void SoakNode::rewriteSettings(bool isInPlace, Duration pause)
{
    std::lock_guard lock(m_rewriteMutex);
    ++m_rewriteCount;
    writeSettings("# " + std::string(static_cast<size_t>(m_rewriteCount), '#') + "\n", isInPlace, pause);
}

void SoakNode::rewriteSettings(SoakSettingsSource settings, bool isInPlace, Duration pause)
{
    std::lock_guard lock(m_rewriteMutex);
    m_settings = std::move(settings);
    writeSettings("", isInPlace, pause);
}

void SoakNode::writeSettings(const std::string& prefix, bool isInPlace, Duration pause)
{
    m_disturbedAt = monotonicNow();
    for (size_t i = 0; i < m_starts.daemons.size(); ++i) {
        const auto path = settingsPath(i);
        const auto text = prefix + formatSettings(m_settings, m_starts.daemons[i]);
        if (!isInPlace) {
            const auto temporaryPath = path + ".new";
            std::ofstream(temporaryPath) << text;
            std::filesystem::rename(temporaryPath, path);
            continue;
        }
        std::ofstream file(path);
        file << text.substr(0, text.size() / 2) << std::flush;
        std::this_thread::sleep_for(pause);
        file << text.substr(text.size() / 2);
    }
}

bool SoakNode::isStopping()
{
    std::lock_guard lock(m_mutex);
    return !m_process || m_process->isToldToEnd() || !m_predecessors.empty();
}

void SoakNode::replace()
{
    std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_process->sendSignal(SIGTERM);
    m_predecessors.push_back(std::move(m_process));
    startProcess();
}

std::vector<SoakEnd> SoakNode::restartIfEnded()
{
    std::lock_guard lock(m_mutex);
    std::vector<SoakEnd> ends;
    // The successor serves only once its predecessor has ended.
    if (!m_predecessors.empty())
        m_disturbedAt = monotonicNow();
    const auto takeEnd = [&](const auto& process) {
        m_maxResidentBytes = std::max(m_maxResidentBytes, process->maxResidentBytes());
        auto end = process->takeEnd();
        if (end)
            ends.push_back(*end);
        return end.has_value();
    };
    const bool hasPredecessor = !m_predecessors.empty();
    std::erase_if(m_predecessors, takeEnd);
    if (m_process && takeEnd(m_process)) {
        if (hasPredecessor)
            ends.back().description += ", beside a predecessor";
        m_process.reset();
        if (!m_isStopped)
            startProcess();
    }
    return ends;
}

void SoakNode::stop()
{
    std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_disturbedAt = monotonicNow();
    m_isStopped = true;
    m_process->sendSignal(SIGTERM);
}

bool SoakNode::hasStopped()
{
    std::lock_guard lock(m_mutex);
    return m_isStopped && !m_process && m_predecessors.empty();
}

std::optional<SoakNodeProcess> SoakNode::currentProcess()
{
    std::lock_guard lock(m_mutex);
    if (!m_process || m_process->hasEnded())
        return std::nullopt;
    return SoakNodeProcess { m_process->id(), m_process->startedAt() };
}

std::vector<std::string> SoakNode::takeMemoryExcesses()
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> descriptions;
    const auto take = [&](SoakProcess& process) {
        if (const auto excess = process.takeMemoryExcess())
            descriptions.push_back(m_id + ": " + *excess);
    };
    for (const auto& predecessor : m_predecessors)
        take(*predecessor);
    if (m_process)
        take(*m_process);
    return descriptions;
}

size_t SoakNode::startCount()
{
    std::lock_guard lock(m_mutex);
    return m_startCount;
}

uint64_t SoakNode::maxResidentBytes()
{
    std::lock_guard lock(m_mutex);
    return m_maxResidentBytes;
}

} // namespace cyclamenstair
