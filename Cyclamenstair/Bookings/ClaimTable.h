#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>
#include <Cyclamenstair/Core/Sharded.h>

#include <deque>
#include <future>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace cyclamenstair {

/// Progress of the requests that this node claims, by claim key and token. Thread-safe.
///
/// A token is either abandoned or sent, never both: tryMarkSent() and abandon() decide under the lock of the key's
/// shard.
class ClaimTable {
public:
    /// Limits of each of the 16 shards; the oldest completed requests are removed first.
    struct Limits {
        size_t maxCompletedRequests { 512 };
        size_t maxResponseBytes { 512 << 10 };
        size_t maxAbandonedTokens { 1024 };
    };

    /// State of a request with the same key that this node is handling or has handled.
    struct ExistingRequest {
        uint64_t bodyHash { 0 };
        ClaimProgress progress { ClaimProgress::Running }; ///< Running, Finished, or NotKnown for an unknown outcome.
        BookingResponse response; ///< Set if the progress is Finished.
        std::shared_future<void> ended; ///< Becomes ready when a running request ends.
    };

    ClaimTable() = default;
    explicit ClaimTable(Limits limits)
        : m_limits(limits)
    {
    }

    /// Registers a request before its claim is written, unless one with the key is registered; returns that one then.
    std::optional<ExistingRequest> tryRegister(const std::string& key, const std::string& token, uint64_t bodyHash);

    /// Marks the request as sent, which must be done before sending it; returns false if the token was abandoned.
    bool tryMarkSent(const std::string& key, const std::string& token);

    /// Abandons the token permanently; returns false if the request was sent.
    bool abandon(const std::string& key, const std::string& token);

    /// Records that a sent request certainly did not run, so that the claim may be taken over.
    void markNotRun(const std::string& key, const std::string& token);
    /// Records the response of the request.
    void finish(const std::string& key, const std::string& token, const BookingResponse& response);
    /// Records that the request may have run but its response is unknown.
    void markUnknown(const std::string& key, const std::string& token);

    /// Removes a request whose claim belongs to another node.
    void removeClaim(const std::string& key, const std::string& token);

    /// Returns the progress of a claim of this node and, if it is finished, the response.
    std::pair<ClaimProgress, BookingResponse> query(const std::string& key, const std::string& token) const;

private:
    enum class Phase : uint8_t { Claiming, Sent, Finished, Unknown };

    struct Entry {
        std::string token;
        uint64_t bodyHash { 0 };
        Phase phase { Phase::Claiming };
        BookingResponse response;
        std::promise<void> endPromise;
        std::shared_future<void> ended;
    };

    struct Shard {
        std::unordered_map<std::string, Entry> entries;
        std::deque<std::pair<std::string, std::string>> completedRequests; ///< Key and token, oldest first.
        size_t responseBytes { 0 };
        std::unordered_set<std::string> abandonedTokens;
        std::deque<std::string> abandonedOrder; ///< Abandoned tokens, oldest first.
    };

    static Entry* find(Shard& shard, const std::string& key, const std::string& token);
    static void erase(Shard& shard, const std::string& key);
    void addAbandonedToken(Shard& shard, const std::string& token) const;
    void completeRequest(
        const std::string& key, const std::string& token, Phase phase, const BookingResponse& response);

    Limits m_limits;
    Sharded<std::string, Shard> m_shards;
};

} // namespace cyclamenstair
