#include <Cyclamenstair/Node/TargetDirectory.h>

#include <algorithm>

namespace cyclamenstair {

void TargetDirectory::update(const TargetStatus& status)
{
    const auto previous = m_statuses.withShard(status.target, [&](Statuses& statuses) {
        auto& slot = statuses[status.target];
        return std::exchange(slot, status);
    });
    removeFromIndex(previous);
    if (status.isLeaving)
        return;
    for (const auto& artifact : status.artifacts) {
        m_index.withShard(artifact, [&](Index& index) {
            index[artifact][status.target] = { status.target, status.address, status.failureDomain };
        });
    }
}

void TargetDirectory::markLeaving(const std::vector<std::string>& targets)
{
    for (const auto& target : targets) {
        auto status = m_statuses.withShard(target, [&](const Statuses& statuses) {
            const auto found = statuses.find(target);
            return found == statuses.end() ? TargetStatus() : found->second;
        });
        if (status.target.empty() || status.isLeaving)
            continue;
        status.isLeaving = true;
        update(status);
    }
}

std::vector<RouteCandidate> TargetDirectory::candidates(const std::string& artifact) const
{
    return m_index.withShard(artifact, [&](const Index& index) {
        std::vector<RouteCandidate> found;
        const auto targets = index.find(artifact);
        if (targets == index.end())
            return found;
        for (const auto& [target, candidate] : targets->second)
            found.push_back(candidate);
        return found;
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
