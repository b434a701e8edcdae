#include <Cyclamenstair/Node/PeriodicThread.h>

#include <Cyclamenstair/Telemetry/FatalSignals.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr Duration failureRetryDelay = milliseconds(500);

} // namespace

PeriodicThread::PeriodicThread(std::string name, std::function<Duration()> step)
    : m_name(std::move(name))
    , m_step(std::move(step))
    , m_thread([this] { run(); })
{
}

PeriodicThread::~PeriodicThread() { stop(); }

void PeriodicThread::wake()
{
    std::lock_guard lock(m_mutex);
    m_isWakeRequested = true;
    m_wakeCondition.notify_all();
}

void PeriodicThread::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_wakeCondition.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void PeriodicThread::run()
{
    const AlternateSignalStack alternateStack;
    for (;;) {
        Duration delay = failureRetryDelay;
        try {
            delay = m_step();
        } catch (const Exception& exception) {
            logError(LogSeverity::Error, m_name + "_failed", exception.error());
        } catch (const std::exception& exception) {
            logEvent(LogSeverity::Error, m_name + "_failed", { { "message", exception.what() } });
        }
        std::unique_lock lock(m_mutex);
        m_wakeCondition.wait_for(lock, delay, [this] { return m_isStopping || m_isWakeRequested; });
        if (m_isStopping)
            return;
        m_isWakeRequested = false;
    }
}

} // namespace cyclamenstair
