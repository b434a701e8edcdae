#pragma once

#include <atomic>
#include <cstddef>

namespace cyclamenstair {

/// Bounds of all queues of the node together. Callable from many threads.
class QueueBudget {
public:
    QueueBudget(size_t maxRequests, size_t maxBytes)
        : m_maxRequests(maxRequests)
        , m_maxBytes(maxBytes)
    {
    }

    /// Takes the place of one request; returns false if there is none.
    bool take(size_t bytes)
    {
        if (m_requests.fetch_add(1) + 1 > m_maxRequests) {
            m_requests.fetch_sub(1);
            return false;
        }
        if (m_bytes.fetch_add(bytes) + bytes > m_maxBytes) {
            giveBack(bytes);
            return false;
        }
        return true;
    }

    void giveBack(size_t bytes)
    {
        m_requests.fetch_sub(1);
        m_bytes.fetch_sub(bytes);
    }

    size_t requests() const { return m_requests; }
    size_t bytes() const { return m_bytes; }
    size_t maxRequests() const { return m_maxRequests; }

private:
    size_t m_maxRequests;
    size_t m_maxBytes;
    std::atomic<size_t> m_requests { 0 };
    std::atomic<size_t> m_bytes { 0 };
};

} // namespace cyclamenstair
