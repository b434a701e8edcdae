#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenstair {

/// Version of the targets' software that began a stream.
struct StreamOrigin {
    uint64_t request { 0 }; ///< Hash of the id of the request that got the first event.
    std::string version;

    bool operator==(const StreamOrigin&) const = default;
};

/// Origins of the streams that callers may resume, of this node and of others. State is sharded by request.
/// Thread-safe.
class StreamOrigins {
public:
    /// Upper bound of the origins that are kept. The oldest ones are discarded; their streams cannot be resumed while
    /// several versions serve.
    static constexpr size_t maxOrigins = 200000;

    /// Records that a stream of this node has begun.
    void record(const std::string& requestId, const std::string& version, TimePoint now);

    /// Adds origins of other nodes. Returns those that were not known.
    std::vector<StreamOrigin> merge(const std::vector<StreamOrigin>& origins, TimePoint now);

    /// Returns the version that began the stream, or no value if it is not known.
    std::optional<std::string> find(const std::string& requestId) const;

    /// Returns the origins of this node that were recorded since the last call.
    std::vector<StreamOrigin> takeRecorded();

    /// Sets whether streams that begin now are written to the store within a short time.
    void setWritesExpected(bool areWritesExpected) { m_areWritesExpected = areWritesExpected; }
    bool areWritesExpected() const { return m_areWritesExpected; }

    /// Records that the origins are in the store, so that the streams can be resumed after a restart of all nodes.
    void markWritten(const std::vector<StreamOrigin>& origins);
    bool isWritten(const std::string& requestId) const;

    /// Discards origins that are older than SoftwareVersions::lifetime.
    void expire(TimePoint now);

private:
    struct Entry {
        std::string version;
        bool isWritten { false };
    };
    struct Shard {
        std::unordered_map<uint64_t, Entry> entries; ///< By request.
        std::deque<std::pair<TimePoint, uint64_t>> requests; ///< In the order in which they were added.
        std::vector<StreamOrigin> recorded;
    };
    using Shards = Sharded<uint64_t, Shard>;

    static bool add(Shard& shard, const StreamOrigin& origin, TimePoint now);

    Shards m_shards;
    std::atomic<bool> m_areWritesExpected { false };
};

} // namespace cyclamenstair
