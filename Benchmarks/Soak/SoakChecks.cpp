#include <Benchmarks/Soak/SoakRun.h>

#include <algorithm>
#include <iostream>
#include <sstream>

namespace cyclamenstair {

namespace {

    constexpr auto catalogTime = milliseconds(2000); ///< Within which a change is in force.
    constexpr auto recoveryTime = milliseconds(3000); ///< After which callers of a node that was cut off are served.
    /// Bounds of first tries at such nodes: the part of the share served at the others, and how many may fail.
    constexpr double minServedRatio = 2.0 / 3;
    constexpr double maxFailedTries = 10;
    constexpr double maxFailedShare = 1.0 / 50;
    constexpr size_t maxQuotedBody = 200;
    constexpr uint32_t ok = 200;
    constexpr uint32_t unavailable = 503;

    /// Body of a whole stream of RegisteredTargetStandIn.
    std::string streamBody()
    {
        std::string body;
        for (int event = 1; event <= 5; ++event)
            body += "id: " + std::to_string(event) + "\ndata: token\n\n";
        return body;
    }

} // namespace

SoakRun::FirstTries* SoakRun::selectFirstTries(size_t node, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto isCountedFrom = [&](const auto& cutAt) { return cutAt && *cutAt + recoveryTime <= now; };
    if (m_cutAt[node])
        return isCountedFrom(m_cutAt[node]) ? &m_triesAtCutNodes : nullptr;
    return std::any_of(m_cutAt.begin(), m_cutAt.end(), isCountedFrom) ? &m_triesAtOthers : nullptr;
}

void SoakRun::countFirstTry(FirstTries& tries, size_t node, TimePoint sentAt, bool isServed)
{
    const auto isCalm = [&](size_t index) {
        return m_nodes[index]->isCalmSince(sentAt - settleTime) && !m_nodes[index]->isStopping();
    };
    std::lock_guard lock(m_mutex);
    bool isAnyLinkedCalm = false;
    for (size_t i = 0; i < m_nodes.size(); ++i)
        isAnyLinkedCalm = isAnyLinkedCalm || (!m_cutAt[i] && isCalm(i));
    if (!isAnyLinkedCalm || (&tries == &m_triesAtCutNodes && !isCalm(node)))
        return;
    ++tries.count;
    tries.served += isServed ? 1 : 0;
}

void SoakRun::checkFirstTries()
{
    const auto cut = m_triesAtCutNodes;
    const auto others = m_triesAtOthers;
    std::ostringstream text;
    text << cut.served << " of " << cut.count << " first tries served at nodes that were cut off, " << others.served
         << " of " << others.count << " at the others";
    std::cout << text.str() << "\n";
    if (cut.count == 0 || others.count == 0)
        return;
    const auto share
        = [](const FirstTries& tries) { return static_cast<double>(tries.served) / static_cast<double>(tries.count); };
    const auto count = static_cast<double>(cut.count);
    // Disturbed targets fail requests at all nodes; more than at the others may fail within these bounds only.
    const double excess = count * (share(others) - share(cut));
    if (share(cut) < minServedRatio * share(others) || excess > maxFailedTries + count * maxFailedShare)
        report(SoakRule::CutOffCallers, text.str());
}

void SoakRun::checkEnd(const SoakNode& node, const SoakEnd& end)
{
    ++m_endCounts[end.verdict];
    const auto description = node.id() + ": " + end.description;
    switch (end.verdict) {
    case SoakVerdict::Expected:
        break;
    case SoakVerdict::ByItself:
        report(SoakRule::EndedByItself, description);
        break;
    case SoakVerdict::WrongEnd:
        report(SoakRule::WrongEnd, description);
        break;
    case SoakVerdict::BeforeSign:
        std::cout << "ended before it blocked signals: " << description << std::endl;
        break;
    }
}

void SoakRun::check(size_t nodeIndex, const std::string& path, const std::string& id, TimePoint sentAt, uint32_t status,
    const std::string& body)
{
    const auto& node = *m_nodes[nodeIndex];
    {
        std::lock_guard lock(m_mutex);
        ++m_requestCounts[status];
    }
    const auto calmSince = sentAt - settleTime;
    const bool isNodeCalm = node.isCalmSince(calmSince);
    const auto description = path + " " + id + " at " + node.id() + ", status " + std::to_string(status);
    const int runs = runCount(id);
    if (path == "/once/" && runs > 1)
        report(SoakRule::RunTwice, description);
    if (status == unavailable && runs > 0 && path == "/once/")
        report(SoakRule::RunAndRefused, description);
    // A target that breaks its answer off ends the stream, and a request that crosses a close is not counted.
    if (status == 0 && runs > 0 && isNodeCalm && m_targetDisturbedAt.load() < calmSince)
        report(SoakRule::NoAnswer, description);
    if (status != ok)
        return;
    if (path == "/stream/") {
        if (body != streamBody())
            report(SoakRule::WrongAnswer, description + ", body " + body);
        return;
    }
    const auto separator = body.find(':');
    const auto target = body.substr(0, separator);
    if (separator == std::string::npos || body.substr(separator + 1) != requestBody(id))
        report(SoakRule::WrongAnswer, description + ", body " + body.substr(0, maxQuotedBody));
    const bool isOther = std::any_of(m_targets.begin() + targetsPerService, m_targets.end(),
        [&](const auto& candidate) { return candidate->id() == target; });
    // Read before the time of the change, which is written first.
    const int catalogVersion = m_catalogVersion;
    const bool isCatalogSettled
        = m_catalogChangedAt.load() + catalogTime < sentAt && m_storeDisturbedAt.load() < calmSince && isNodeCalm;
    if (path == "/safe/" && isCatalogSettled && isOther != (catalogVersion % 2 == 0))
        report(SoakRule::OldCatalog, description + ", target " + target);
}

void SoakRun::report(SoakRule rule, const std::string& description)
{
    std::lock_guard lock(m_mutex);
    m_findings[rule].push_back(description);
    std::cout << "broken: " << nameOf(rule) << ", " << description << std::endl;
}

int SoakRun::runCount(const std::string& id)
{
    int count = 0;
    for (const auto& target : m_targets)
        count += target->runCount(id);
    return count;
}

} // namespace cyclamenstair
