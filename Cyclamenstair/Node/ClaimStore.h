#pragma once

#include <Cyclamenstair/Bookings/BookingClaim.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Store/StoreClient.h>

#include <deque>

namespace cyclamenstair {

/// Reads and writes booking claims in the store. Callable from many threads.
///
/// Claims are bound to a lease that the node's claims of one hour share, so that they expire after the retention
/// without further calls.
class ClaimStore {
public:
    explicit ClaimStore(StoreClient& store);

    /// Writes `claim` if no record exists (`revision` 0) or the record is still at `revision`. Returns one of the write
    /// events.
    BookingEvent claim(const std::string& key, const ClaimRecord& claim, int64_t revision);

    /// Returns one of the read events.
    BookingEvent read(const std::string& key);

    /// Stores the end of a claim that was written at `revision`: one attempt now, further ones in the background.
    void settle(const std::string& key, const ClaimRecord& end, int64_t revision);

    /// Releases a claim whose write at `revision` has an unknown result, in the background.
    void release(const std::string& key, ClaimRecord claim, int64_t revision);

    void stop() { m_thread.stop(); }

private:
    struct Pending {
        std::string key;
        ClaimRecord record;
        int64_t revision { 0 };
    };

    /// Returns the lease for claims made now, or no value if the store gave none.
    std::optional<int64_t> lease();
    void forgetLease();
    StoreWriteOutcome write(const Pending& pending, bool isSettled);
    void enqueue(Pending pending);
    Duration settleQueued();

    /// Writes the record wherever its claim stands now; returns false if the store gave no clear answer.
    bool trySettle(Pending& pending);

    StoreClient* m_store;
    std::mutex m_leaseMutex;
    int64_t m_leaseId { 0 };
    TimePoint m_leaseTime;
    TimePoint m_leaseFailure;
    std::mutex m_queueMutex;
    std::deque<Pending> m_queue;
    PeriodicThread m_thread;
};

} // namespace cyclamenstair
