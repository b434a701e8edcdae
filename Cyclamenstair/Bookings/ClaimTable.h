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

/// Progress of the node's own calls, by claim key and token. Callable from many threads.
///
/// A token is given up or sent, never both: markSending() and abandon() decide under the lock of the key's shard.
class ClaimTable {
public:
    /// Limits of each of the 16 shards; the oldest ended calls are dropped first.
    struct Limits {
        size_t endedCalls { 512 };
        size_t answerBytes { 512 << 10 };
        size_t abandonedTokens { 1024 };
    };

    /// State of a call with the same key that this node already handles or has handled.
    struct Existing {
        uint64_t bodyHash { 0 };
        ClaimProgress progress { ClaimProgress::Running }; ///< Running, Finished, or NotKnown for an unknown result.
        BookingAnswer answer; ///< Set if the progress is Finished.
        std::shared_future<void> ended; ///< Becomes ready when a running call ends.
    };

    ClaimTable() = default;
    explicit ClaimTable(Limits limits)
        : m_limits(limits)
    {
    }

    /// Registers a call before its claim is written, or returns the one that is there.
    std::optional<Existing> begin(const std::string& key, const std::string& token, uint64_t bodyHash);

    /// Allows the call to be sent; returns false if the token was given up.
    bool markSending(const std::string& key, const std::string& token);

    /// Gives the token up for ever; returns false if the call was sent.
    bool abandon(const std::string& key, const std::string& token);

    /// States that the call was sent and certainly did not run, so that the claim may be taken over.
    void markNotRun(const std::string& key, const std::string& token);
    void finish(const std::string& key, const std::string& token, const BookingAnswer& answer);
    void markUnknown(const std::string& key, const std::string& token);

    /// Removes a call whose claim belongs to another node.
    void forget(const std::string& key, const std::string& token);

    /// Answers another node's question about a claim of this node.
    std::pair<ClaimProgress, BookingAnswer> query(const std::string& key, const std::string& token) const;

private:
    enum class Phase : uint8_t { Claiming, Sent, Finished, Unknown };

    struct Entry {
        std::string token;
        uint64_t bodyHash { 0 };
        Phase phase { Phase::Claiming };
        BookingAnswer answer;
        std::promise<void> end;
        std::shared_future<void> ended;
    };

    struct Shard {
        std::unordered_map<std::string, Entry> entries;
        std::deque<std::pair<std::string, std::string>> endedCalls; ///< Key and token, oldest first.
        size_t answerBytes { 0 };
        std::unordered_set<std::string> abandoned;
        std::deque<std::string> abandonedOrder;
    };

    static Entry* find(Shard& shard, const std::string& key, const std::string& token);
    static void erase(Shard& shard, const std::string& key);
    void addAbandoned(Shard& shard, const std::string& token) const;
    void endCall(const std::string& key, const std::string& token, Phase phase, const BookingAnswer& answer);

    Limits m_limits;
    Sharded<std::string, Shard> m_shards;
};

} // namespace cyclamenstair
