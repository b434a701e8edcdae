#pragma once

#include <atomic>
#include <cstddef>

namespace cyclamenstair {

/// Bounds the total number and size of the requests in the node's queues. Thread-safe.
class QueueBudget {
public:
    QueueBudget(size_t maxRequests, size_t maxBytes)
        : m_maxRequests(maxRequests)
        , m_maxBytes(maxBytes)
    {
    }

    /// Reserves space for one request; returns false if either bound would be exceeded.
    bool tryReserve(size_t bytes)
    {
        if (m_requests.fetch_add(1) + 1 > m_maxRequests) {
            m_requests.fetch_sub(1);
            return false;
        }
        if (m_bytes.fetch_add(bytes) + bytes > m_maxBytes) {
            releaseReservation(bytes);
            return false;
        }
        return true;
    }

    void releaseReservation(size_t bytes)
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
