#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>

namespace cyclamenstair {

/// State partitioned into a fixed number of shards, each under its own lock.
///
/// A key always maps to the same shard. Functions passed to the methods run with the shard's lock held and must not
/// call methods of the same object.
template <typename Key, typename State, size_t shardCountValue = 16, typename Hash = std::hash<Key>> class Sharded {
public:
    static constexpr size_t shardCount = shardCountValue;

    /// Calls `function(State&)` with the shard of `key` and returns its result.
    template <typename Function> decltype(auto) withShard(const Key& key, Function&& function)
    {
        auto& shard = m_shards[Hash {}(key) % shardCount];
        std::lock_guard lock(shard.mutex);
        return std::forward<Function>(function)(shard.state);
    }

    template <typename Function> decltype(auto) withShard(const Key& key, Function&& function) const
    {
        const auto& shard = m_shards[Hash {}(key) % shardCount];
        std::lock_guard lock(shard.mutex);
        return std::forward<Function>(function)(shard.state);
    }

    /// Calls `function(State&)` for each shard in turn. Each shard is locked separately, so the calls do not see a
    /// consistent snapshot.
    template <typename Function> void forEachShard(Function&& function)
    {
        for (auto& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            function(shard.state);
        }
    }

    template <typename Function> void forEachShard(Function&& function) const
    {
        for (const auto& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            function(shard.state);
        }
    }

private:
    struct Shard {
        mutable std::mutex mutex;
        State state;
    };

    std::array<Shard, shardCount> m_shards;
};

} // namespace cyclamenstair
