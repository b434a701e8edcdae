#include <Cyclamenstair/Node/TargetDirectory.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// A leaving target must not get new work later than 3 s after the notice, of which the VM list and gossip take up
    /// to 2 s.
    constexpr Duration leavingGracePeriod = milliseconds(1000);

} // namespace

void TargetDirectory::update(const TargetStatus& status)
{
    m_publishedStatuses.withShard(status.target, [&](Statuses& published) { published[status.target] = status; });
    apply(status);
}

void TargetDirectory::apply(const TargetStatus& status)
{
    auto effective = status;
    // A status published before the VM list showed the target as leaving must not reverse that.
    effective.isLeaving |= m_leavingInVmList.withShard(
        status.target, [&](const auto& leavingTargets) { return leavingTargets.contains(status.target); });
    const auto previous = m_effectiveStatuses.withShard(status.target, [&](Statuses& statuses) {
        auto& current = statuses[status.target];
        return std::exchange(current, effective);
    });
    removeFromIndex(previous);
    const auto now = monotonicNow();
    for (const auto& artifact : effective.artifacts) {
        const RouteCandidate candidate { effective.target, effective.address, effective.failureDomain };
        if (effective.isLeaving) {
            m_leavingIndex.withShard(artifact, [&](LeavingIndex& index) {
                // Keeps the time of the first notice.
                index[artifact].try_emplace(effective.target, LeavingTarget { candidate, now });
            });
        } else {
            m_leavingIndex.withShard(artifact, [&](LeavingIndex& index) { index[artifact].erase(effective.target); });
            m_index.withShard(artifact, [&](Index& index) { index[artifact][effective.target] = candidate; });
        }
    }
}

void TargetDirectory::setLeavingTargets(const std::vector<std::string>& targets)
{
    const std::set<std::string> leaving(targets.begin(), targets.end());
    std::vector<std::string> changed;
    m_leavingInVmList.forEachShard([&](auto& leavingTargets) {
        for (const auto& target : leavingTargets) {
            if (!leaving.contains(target))
                changed.push_back(target);
        }
        std::erase_if(leavingTargets, [&](const auto& target) { return !leaving.contains(target); });
    });
    for (const auto& target : targets) {
        if (m_leavingInVmList.withShard(
                target, [&](auto& leavingTargets) { return leavingTargets.insert(target).second; }))
            changed.push_back(target);
    }
    // A target that is no longer leaving reverts to the status that its coordinator published.
    for (const auto& target : changed) {
        const auto status = m_publishedStatuses.withShard(target, [&](const Statuses& published) {
            const auto found = published.find(target);
            return found == published.end() ? TargetStatus() : found->second;
        });
        if (!status.target.empty())
            apply(status);
    }
}

std::vector<RouteCandidate> TargetDirectory::candidates(const std::string& artifact) const
{
    auto found = m_index.withShard(artifact, [&](const Index& index) {
        std::vector<RouteCandidate> stayingCandidates;
        const auto targets = index.find(artifact);
        if (targets == index.end())
            return stayingCandidates;
        for (const auto& [target, candidate] : targets->second)
            stayingCandidates.push_back(candidate);
        return stayingCandidates;
    });
    return found.empty() ? recentlyLeaving(artifact) : found;
}

std::vector<RouteCandidate> TargetDirectory::recentlyLeaving(const std::string& artifact) const
{
    const auto earliest = monotonicNow() - leavingGracePeriod;
    return m_leavingIndex.withShard(artifact, [&](const LeavingIndex& index) {
        std::vector<RouteCandidate> recent;
        const auto targets = index.find(artifact);
        if (targets == index.end())
            return recent;
        for (const auto& [target, leaving] : targets->second) {
            if (leaving.leavingSince >= earliest)
                recent.push_back(leaving.candidate);
        }
        return recent;
    });
}

std::vector<TargetStatus> TargetDirectory::targets() const
{
    std::vector<TargetStatus> all;
    m_effectiveStatuses.forEachShard([&](const Statuses& statuses) {
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
