#include <Cyclamenstair/Node/TargetDirectory.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// A leaving target may get no new work 3 s after the notice; the VM list and gossip take up to 2 s of that.
    constexpr Duration leavingGrace = milliseconds(1000);

} // namespace

void TargetDirectory::update(const TargetStatus& status)
{
    auto latest = status;
    // A status that was published before the VM list showed the target as leaving does not bring it back.
    latest.isLeaving |= m_listedAsLeaving.withShard(
        status.target, [&](const auto& listed) { return listed.contains(status.target); });
    const auto previous = m_statuses.withShard(status.target, [&](Statuses& statuses) {
        auto& slot = statuses[status.target];
        return std::exchange(slot, latest);
    });
    removeFromIndex(previous);
    const auto now = monotonicNow();
    for (const auto& artifact : latest.artifacts) {
        const RouteCandidate candidate { latest.target, latest.address, latest.failureDomain };
        if (latest.isLeaving) {
            m_leavingIndex.withShard(artifact, [&](LeavingIndex& index) {
                // The time of the first notice stays.
                index[artifact].try_emplace(latest.target, Leaving { candidate, now });
            });
        } else {
            m_leavingIndex.withShard(artifact, [&](LeavingIndex& index) { index[artifact].erase(latest.target); });
            m_index.withShard(artifact, [&](Index& index) { index[artifact][latest.target] = candidate; });
        }
    }
}

void TargetDirectory::markLeaving(const std::vector<std::string>& targets)
{
    const std::set<std::string> leaving(targets.begin(), targets.end());
    m_listedAsLeaving.forEachShard(
        [&](auto& listed) { std::erase_if(listed, [&](const auto& target) { return !leaving.contains(target); }); });
    for (const auto& target : targets) {
        m_listedAsLeaving.withShard(target, [&](auto& listed) { listed.insert(target); });
        const auto status = m_statuses.withShard(target, [&](const Statuses& statuses) {
            const auto found = statuses.find(target);
            return found == statuses.end() ? TargetStatus() : found->second;
        });
        if (!status.target.empty() && !status.isLeaving)
            update(status);
    }
}

std::vector<RouteCandidate> TargetDirectory::candidates(const std::string& artifact) const
{
    auto found = m_index.withShard(artifact, [&](const Index& index) {
        std::vector<RouteCandidate> staying;
        const auto targets = index.find(artifact);
        if (targets == index.end())
            return staying;
        for (const auto& [target, candidate] : targets->second)
            staying.push_back(candidate);
        return staying;
    });
    return found.empty() ? recentlyLeaving(artifact) : found;
}

std::vector<RouteCandidate> TargetDirectory::recentlyLeaving(const std::string& artifact) const
{
    const auto earliest = monotonicNow() - leavingGrace;
    return m_leavingIndex.withShard(artifact, [&](const LeavingIndex& index) {
        std::vector<RouteCandidate> recent;
        const auto targets = index.find(artifact);
        if (targets == index.end())
            return recent;
        for (const auto& [target, leaving] : targets->second) {
            if (leaving.since >= earliest)
                recent.push_back(leaving.candidate);
        }
        return recent;
    });
}

std::vector<TargetStatus> TargetDirectory::targets() const
{
    std::vector<TargetStatus> all;
    m_statuses.forEachShard([&](const Statuses& statuses) {
        for (const auto& [target, status] : statuses)
            all.push_back(status);
    });
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.target < b.target; });
    return all;
}

void TargetDirectory::removeFromIndex(const TargetStatus& status)
{
    for (const auto& artifact : status.artifacts) {
        m_index.withShard(artifact, [&](Index& index) {
            const auto targets = index.find(artifact);
            if (targets == index.end())
                return;
            targets->second.erase(status.target);
            if (targets->second.empty())
                index.erase(targets);
        });
    }
}

} // namespace cyclamenstair
