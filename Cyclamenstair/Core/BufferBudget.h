#pragma once

#include <atomic>
#include <cstddef>

namespace cyclamenstair {

/// Bound on the bytes that several owners buffer together. Thread-safe.
class BufferBudget {
public:
    explicit BufferBudget(size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    size_t usedBytes() const { return m_usedBytes; }

    /// Returns whether less than half of the bytes are left, so that owners should empty their buffers first.
    bool isScarce() const { return m_usedBytes > m_maxBytes / 2; }

private:
    friend class BufferShare;

    const size_t m_maxBytes;
    std::atomic<size_t> m_usedBytes { 0 };
};

/// Bytes that one owner buffers, counted in a budget until the owner ends. Without a budget nothing is bounded. Not
/// thread-safe.
class BufferShare {
public:
    explicit BufferShare(BufferBudget* budget)
        : m_budget(budget)
    {
    }
    ~BufferShare() { (void)resize(0); }
    BufferShare(const BufferShare&) = delete;
    BufferShare& operator=(const BufferShare&) = delete;

    /// Sets the number of bytes. Returns false if the owner has grown and the budget is exceeded; the bytes count until
    /// the owner has freed them and calls resize() again.
    bool resize(size_t bytes)
    {
        const bool hasGrown = bytes > m_bytes;
        size_t usedBytes = 0;
        if (m_budget) {
            // Unsigned arithmetic wraps, so that a negative difference is added correctly.
            usedBytes = m_budget->m_usedBytes += bytes - m_bytes;
        }
        m_bytes = bytes;
        return !m_budget || !hasGrown || usedBytes <= m_budget->m_maxBytes;
    }

private:
    BufferBudget* m_budget;
    size_t m_bytes { 0 };
};

} // namespace cyclamenstair
