#include <Benchmarks/Soak/DayChecks.h>

#include <algorithm>
#include <sstream>

namespace cyclamenstair {

namespace {

    constexpr auto serviceSpan = milliseconds(5000);
    constexpr auto settleTime = milliseconds(5000); ///< After which a disturbed node counts as calm.
    constexpr size_t minTriesPerSpan = 8; ///< With fewer tries, none served is not a finding.
    constexpr auto recoveryTime = milliseconds(12000);
    constexpr double minRecoveredShare = 0.25;
    constexpr auto orderGap = milliseconds(3000);
    constexpr uint32_t requestTimeout = 408;
    constexpr uint32_t misdirected = 421;
    constexpr uint32_t tooManyRequests = 429;
    constexpr uint32_t unavailable = 503;

    bool isPromise(uint32_t status)
    {
        return status == tooManyRequests || status == unavailable || status == requestTimeout || status == misdirected;
    }

    std::map<std::string, int> countRuns(DayDeployment& deployment)
    {
        std::map<std::string, int> runs;
        for (size_t i = 0; i < deployment.targets.count(); ++i) {
            for (const auto& [id, count] : deployment.targets.target(i).runs())
                runs[id] += count;
        }
        return runs;
    }

    std::string describe(DayDeployment& deployment, const DayTry& attempt)
    {
        return deployment.settings->site.requestKinds[attempt.kind].name + " " + attempt.id + " at "
            + deployment.nodes.node(attempt.node).process->id() + ", status " + std::to_string(attempt.status);
    }

    /// Tries in a span of time.
    struct SpanCount {
        size_t sent { 0 };
        size_t served { 0 }; ///< Of those that ended in the span.
    };

    SpanCount countSpan(const std::vector<DayTry>& tries, TimePoint begin, TimePoint end, std::optional<size_t> node)
    {
        SpanCount count;
        for (const auto& attempt : tries) {
            if (node && attempt.node != *node)
                continue;
            // Impatient callers tell nothing about the node.
            if (attempt.sentAt >= begin && attempt.sentAt < end && !attempt.isAbandoned)
                ++count.sent;
            if (attempt.isServed && attempt.endedAt >= begin && attempt.endedAt < end)
                ++count.served;
        }
        return count;
    }

} // namespace

void checkTries(DayDeployment& deployment)
{
    const auto runs = countRuns(deployment);
    for (const auto& attempt : deployment.callers.tries()) {
        const auto& kind = deployment.settings->site.requestKinds[attempt.kind];
        const auto run = runs.find(attempt.id);
        const int count = run == runs.end() ? 0 : run->second;
        const bool mayRunAgain = kind.retryPolicy == RetryPolicy::Safe || kind.isResumable;
        if (count > 1 && !mayRunAgain)
            deployment.report(SoakRule::RunTwice, describe(deployment, attempt));
        if (count > 0 && isPromise(attempt.status))
            deployment.report(SoakRule::RunAndRefused, describe(deployment, attempt));
        if (!attempt.wrongBody.empty())
            deployment.report(SoakRule::WrongAnswer, describe(deployment, attempt) + ", " + attempt.wrongBody);
        if (!attempt.brokenStream.empty())
            deployment.report(SoakRule::BrokenStream, describe(deployment, attempt) + ", " + attempt.brokenStream);
    }
}

void checkService(DayDeployment& deployment, TimePoint begin, TimePoint end)
{
    const auto tries = deployment.callers.tries();
    std::vector<std::optional<size_t>> subjects { std::nullopt };
    for (size_t i = 0; i < deployment.nodes.count(); ++i)
        subjects.emplace_back(i);
    for (const auto& subject : subjects) {
        for (auto at = begin; at + serviceSpan <= end; at += serviceSpan) {
            bool isCalm = subject && deployment.isCalm(*subject, at - settleTime, at + serviceSpan);
            for (size_t i = 0; !subject && i < deployment.nodes.count(); ++i)
                isCalm = isCalm || deployment.isCalm(i, at - settleTime, at + serviceSpan);
            const auto count = countSpan(tries, at, at + serviceSpan, subject);
            if (!isCalm || count.sent < minTriesPerSpan || count.served > 0)
                continue;
            std::ostringstream text;
            text << (subject ? deployment.nodes.node(*subject).process->id() : "all nodes") << ", none of "
                 << count.sent << " tries from " << toMilliseconds(at - begin) << " ms on";
            deployment.report(SoakRule::NoService, text.str());
        }
    }
}

void checkRecovery(DayDeployment& deployment, TimePoint closingFaultAt, TimePoint end)
{
    size_t sent = 0;
    size_t served = 0;
    for (const auto& attempt : deployment.callers.tries()) {
        if (attempt.sentAt < closingFaultAt + recoveryTime || attempt.sentAt >= end || !attempt.isFirst)
            continue;
        ++sent;
        served += attempt.isServed ? 1 : 0;
    }
    if (sent >= minTriesPerSpan && static_cast<double>(served) < minRecoveredShare * static_cast<double>(sent))
        deployment.report(SoakRule::SlowRecovery,
            std::to_string(served) + " of " + std::to_string(sent) + " first tries served after the closing fault");
}

void checkOrders(DayDeployment& deployment)
{
    std::vector<AcceptedOrder> orders;
    for (size_t i = 0; i < deployment.targets.count(); ++i) {
        const auto accepted = deployment.targets.target(i).orders();
        orders.insert(orders.end(), accepted.begin(), accepted.end());
        if (const auto count = deployment.targets.target(i).excessiveOrderCount())
            deployment.report(
                SoakRule::ExcessiveOrder, deployment.targets.target(i).id() + ", " + std::to_string(count) + " orders");
    }
    std::sort(orders.begin(), orders.end(), [](const auto& a, const auto& b) { return a.arrivedAt < b.arrivedAt; });
    for (size_t i = 1; i < orders.size(); ++i) {
        const auto& previous = orders[i - 1];
        const auto& order = orders[i];
        const bool isTooSoon
            = order.fencingToken == previous.fencingToken || order.arrivedAt - previous.arrivedAt < orderGap;
        if (order.fencingToken >= previous.fencingToken && (order.holder == previous.holder || !isTooSoon))
            continue;
        std::ostringstream text;
        text << previous.holder << " with " << previous.fencingToken << ", " << order.holder << " with "
             << order.fencingToken << ", " << toMilliseconds(order.arrivedAt - previous.arrivedAt) << " ms later";
        deployment.report(SoakRule::TwoHolders, text.str());
    }
}

} // namespace cyclamenstair
