#include <StandIns/EngineCore.h>

#include <Cyclamenstair/Core/Crypto.h>

#include <algorithm>

namespace cyclamenstair::standin {

namespace {

    constexpr auto cancelCheckInterval = std::chrono::milliseconds(50);

} // namespace

EngineCore::EngineCore(EngineSettings settings)
    : m_settings(std::move(settings))
    , m_instance(randomId())
    , m_enforcesFencing(m_settings.enforcesFencing)
{
}

bool EngineCore::acceptEpoch(uint64_t epoch)
{
    std::lock_guard lock(m_memoryMutex);
    if (m_enforcesFencing && epoch < m_epoch)
        return false;
    m_epoch = std::max(m_epoch, epoch);
    return true;
}

uint64_t EngineCore::enforcedEpoch() const
{
    std::lock_guard lock(m_memoryMutex);
    return m_enforcesFencing ? m_epoch : 0;
}

void EngineCore::load(const std::string& artifact, uint64_t memoryBytes)
{
    std::lock_guard lock(m_memoryMutex);
    if (!m_artifacts.emplace(artifact, memoryBytes).second)
        return;
    uint64_t usedBytes = 0;
    for (const auto& [name, bytes] : m_artifacts)
        usedBytes += bytes;
    m_peakBytes = std::max(m_peakBytes, usedBytes);
    if (usedBytes > m_settings.memoryBytes)
        ++m_overcommits;
}

void EngineCore::unload(const std::string& artifact)
{
    std::lock_guard lock(m_memoryMutex);
    m_artifacts.erase(artifact);
}

std::vector<std::string> EngineCore::artifacts() const
{
    std::lock_guard lock(m_memoryMutex);
    std::vector<std::string> names;
    for (const auto& [name, bytes] : m_artifacts)
        names.push_back(name);
    return names;
}

bool EngineCore::isLoaded(const std::string& artifact) const
{
    std::lock_guard lock(m_memoryMutex);
    return m_artifacts.contains(artifact);
}

uint64_t EngineCore::overcommits() const
{
    std::lock_guard lock(m_memoryMutex);
    return m_overcommits;
}

uint64_t EngineCore::peakBytes() const
{
    std::lock_guard lock(m_memoryMutex);
    return m_peakBytes;
}

bool EngineCore::acquireSlot(int priority, const std::string& requestId, const std::string& attempt)
{
    std::unique_lock lock(m_slotMutex);
    const Waiter self { -priority, m_nextArrival++ };
    m_waiters.insert(self);
    while (m_usedSlots >= m_settings.slots || *m_waiters.begin() != self) {
        m_slotFreed.wait_for(lock, cancelCheckInterval);
        if (isCancelled(requestId, attempt)) {
            m_waiters.erase(self);
            m_slotFreed.notify_all();
            return false;
        }
    }
    m_waiters.erase(self);
    ++m_usedSlots;
    m_slotFreed.notify_all();
    return true;
}

void EngineCore::releaseSlot()
{
    std::lock_guard lock(m_slotMutex);
    --m_usedSlots;
    m_slotFreed.notify_all();
}

uint32_t EngineCore::load() const
{
    std::lock_guard lock(m_slotMutex);
    return m_usedSlots + static_cast<uint32_t>(m_waiters.size());
}

size_t EngineCore::startRun(const std::string& requestId, const std::string& attempt)
{
    std::lock_guard lock(m_runMutex);
    m_runs.push_back({ requestId, attempt, 0, false, false });
    return m_runs.size() - 1;
}

void EngineCore::recordToken(size_t run)
{
    std::lock_guard lock(m_runMutex);
    ++m_runs[run].tokens;
}

void EngineCore::endRun(size_t run, bool isFinished)
{
    std::lock_guard lock(m_runMutex);
    m_runs[run].isFinished = isFinished;
    m_runs[run].isCancelled = !isFinished;
}

std::vector<EngineRunRecord> EngineCore::runs() const
{
    std::lock_guard lock(m_runMutex);
    return m_runs;
}

void EngineCore::cancel(const std::string& requestId, const std::string& attempt)
{
    std::lock_guard lock(m_runMutex);
    m_cancelled.emplace(requestId, attempt);
}

bool EngineCore::isCancelled(const std::string& requestId, const std::string& attempt) const
{
    std::lock_guard lock(m_runMutex);
    return m_cancelled.contains({ requestId, attempt }) || m_cancelled.contains({ requestId, "" });
}

} // namespace cyclamenstair::standin
