#pragma once

#include <Benchmarks/Soak/DayDeployment.h>
#include <Benchmarks/Soak/DayEvents.h>

#include <Cyclamenstair/Http/HttpClient.h>

namespace cyclamenstair {

/// Plays a day of a deployment in real time: nodes as processes before stand-ins in this process, callers, the events
/// of the day and its closing fault. Checks the rules.
class DayRun {
public:
    /// `folder` receives settings and logs of the nodes. Throws std::runtime_error if a daemon rejects the settings.
    DayRun(const DaySettings& settings, std::string folder);
    ~DayRun();
    DayRun(const DayRun&) = delete;
    DayRun& operator=(const DayRun&) = delete;

    /// Blocks until the day is over.
    void run();

    /// Prints the requests by kind and status, the ends of processes and the findings. Returns the number of findings.
    size_t printReport();

private:
    /// Plays until the time.
    void playUntil(TimePoint end);
    void tick();
    void runDueActions();
    void probe();
    void onProbe(size_t index, bool isReady);
    /// Returns whether the node's process should have become ready by now.
    bool isLate(size_t index) const;
    void onEnd(size_t node, const SoakEnd& end);
    /// Plays until the time and checks the processor time of the nodes, which have no requests.
    /// `window` describes the time in the report.
    void checkIdleProcessor(TimePoint end, const std::string& window);
    /// Lets targets and another writer change the store.
    void tickStoreWriters();
    void setWriterQuiet(bool isQuiet);
    /// Sends a node signals in a series and writes its settings again, and schedules the next series.
    void scheduleStress();
    /// Kills all nodes and starts them again after the down time.
    void playClosingFault();
    void stopNodes();
    /// Checks the range calls at the store.
    void checkReads();
    std::string nodeName(size_t index) { return m_deployment.nodes.node(index).process->id(); }
    /// Returns the last line of the node's log.
    std::string lastLogLine(size_t index);

    DaySettings m_settings;
    std::string m_folder;
    DayDeployment m_deployment;
    DayEvents m_events;
    std::map<SoakVerdict, size_t> m_endCounts;
    std::optional<TimePoint> m_closingFaultAt;
    StoreReadBound m_readBound;
    TimePoint m_probedAt;
    TimePoint m_tickedAt { monotonicNow() };
    EventLoop m_probeLoop;
    HttpClient m_probes;
    std::mutex m_probeMutex; ///< Guards m_probeResults.
    std::vector<std::pair<size_t, bool>> m_probeResults;
};

} // namespace cyclamenstair
