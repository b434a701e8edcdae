#pragma once

#include <Cyclamenstair/Bookings/BookingClaim.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Store/StoreClient.h>

#include <deque>

namespace cyclamenstair {

/// Reads and writes booking claims in the store. Callable from many threads.
///
/// Claims are bound to a lease that all claims of the node share for one hour, so that they expire after the retention
/// time without further store calls.
class ClaimStore {
public:
    explicit ClaimStore(StoreClient& store);

    /// Writes `claim` if the record is still at `revision`; 0 means that no record exists. Returns one of the write
    /// events.
    BookingEvent writeClaim(const std::string& key, const ClaimRecord& claim, int64_t revision);

    /// Returns one of the read events.
    BookingEvent read(const std::string& key);

    /// Stores the final record of a claim that was written at `revision`. Makes one attempt immediately and further
    /// ones in the background.
    void storeFinalRecord(const std::string& key, const ClaimRecord& finalRecord, int64_t revision);

    /// Releases a claim in the background after its write at `revision` had an unknown result.
    void releaseClaim(const std::string& key, ClaimRecord claim, int64_t revision);

    void stop() { m_thread.stop(); }

private:
    struct PendingWrite {
        std::string key;
        ClaimRecord record;
        int64_t revision { 0 };
    };

    /// Returns the lease for new claims, or no value if the store granted none.
    std::optional<int64_t> currentLease();
    void resetLease();

    /// Writes the record under the current lease. With `isVerified`, an unknown outcome is resolved by reading the
    /// record back.
    StoreWriteOutcome write(const PendingWrite& pending, bool isVerified);

    /// Queues a background write; drops the oldest one if the queue is full.
    void enqueue(PendingWrite pending);

    /// Writes the queued records in order. Returns the time until the next attempt.
    Duration writeQueued();

    /// Writes the record at the current revision of its claim. Returns false if it must be retried because the store
    /// did not confirm the result.
    bool tryWriteQueued(PendingWrite& pending);

    StoreClient* m_store;
    std::mutex m_leaseMutex;
    int64_t m_leaseId { 0 };
    TimePoint m_leaseGrantedAt;
    TimePoint m_leaseFailedAt;
    std::mutex m_queueMutex;
    std::deque<PendingWrite> m_queue;
    PeriodicThread m_thread;
};

} // namespace cyclamenstair
