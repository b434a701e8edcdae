#include <Cyclamenstair/Admission/AdmissionController.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Core/Random.h>

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenstair {
namespace {

    const TimePoint start { std::chrono::hours(1) };
    const AdmissionCapacity oneTarget { 1, 1 };

    AdmissionRequest makeRequest(const std::string& caller, Duration window = milliseconds(10000),
        Priority priority = Priority::Normal, WorkClass workClass = WorkClass::Short)
    {
        return { caller, "m", priority, workClass, 1, 10, start + window };
    }

    DeadlinePolicySettings policySettings(size_t inFlight, size_t maxQueued = 512, size_t maxBytes = 1 << 20)
    {
        return { inFlight, maxQueued, maxBytes };
    }

    template <typename Decision> bool isDecision(const AdmissionDecision& decision)
    {
        return std::holds_alternative<Decision>(decision);
    }

    /// Submits requests to a policy and records its decisions.
    class PolicyDriver {
    public:
        explicit PolicyDriver(const DeadlinePolicySettings& settings)
            : policy(settings)
        {
        }

        AdmissionDecision submit(const AdmissionRequest& request, TimePoint now = start)
        {
            const auto ticket = m_nextTicket++;
            requests[ticket] = request;
            const auto result = policy.submit(ticket, request, oneTarget, now);
            applyDecisions(result.deferredDecisions);
            if (isDecision<AdmissionGranted>(result.decision))
                running.push_back(ticket);
            return result.decision;
        }

        /// Completes the oldest running request; returns the requests granted as a result.
        std::vector<AdmissionRequest> completeFirst(TimePoint now, Duration serviceTime = milliseconds(10))
        {
            const auto ticket = running.front();
            running.erase(running.begin());
            const auto& request = requests[ticket];
            return applyDecisions(policy.release({ "m", request.workClass, request.work, serviceTime, true }, now));
        }

        std::vector<AdmissionRequest> applyDecisions(const std::vector<DeferredDecision>& deferredDecisions)
        {
            std::vector<AdmissionRequest> granted;
            for (const auto& deferred : deferredDecisions) {
                if (isDecision<AdmissionGranted>(deferred.decision)) {
                    running.push_back(deferred.ticket);
                    granted.push_back(requests[deferred.ticket]);
                } else
                    refused.push_back(deferred.ticket);
            }
            return granted;
        }

        DeadlinePolicy policy;
        std::map<AdmissionTicket, AdmissionRequest> requests;
        std::vector<AdmissionTicket> running;
        std::vector<AdmissionTicket> refused;

    private:
        AdmissionTicket m_nextTicket { 1 };
    };

    // Guards against queues above their bounds, requests granted after their deadline, two decisions or none on a
    // request, long work in more than half of the slots, and queue reservations that are never released.
    RC_GTEST_PROP(DeadlinePolicy, respectsBoundsAndDeadlines, ())
    {
        constexpr size_t inFlight = 4;
        constexpr size_t maxQueued = 6;
        constexpr size_t maxBytes = 50;
        DeadlinePolicy policy(policySettings(inFlight, maxQueued, maxBytes));
        std::map<AdmissionTicket, AdmissionRequest> queued;
        std::map<AdmissionTicket, AdmissionRequest> running;
        std::set<AdmissionTicket> decidedTickets;
        AdmissionTicket lastTicket = 0;
        auto now = start;
        const auto applyDecisions = [&](const std::vector<DeferredDecision>& deferredDecisions) {
            for (const auto& deferred : deferredDecisions) {
                RC_ASSERT(queued.contains(deferred.ticket));
                RC_ASSERT(decidedTickets.insert(deferred.ticket).second);
                if (isDecision<AdmissionGranted>(deferred.decision)) {
                    RC_ASSERT(now < queued[deferred.ticket].deadline);
                    running[deferred.ticket] = queued[deferred.ticket];
                }
                queued.erase(deferred.ticket);
            }
        };
        const auto completeRunning = [&](size_t index) {
            const auto ended = std::next(running.begin(), static_cast<long>(index % running.size()));
            const auto request = ended->second;
            running.erase(ended);
            applyDecisions(
                policy.release({ "m", request.workClass, request.work, milliseconds(20), index % 3 != 0 }, now));
        };
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            300, rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 3)));
        for (const auto& [kind, choice, priorityIndex] : steps) {
            now += milliseconds(choice % 20);
            if (kind < 6) {
                const AdmissionRequest request { std::string(1, static_cast<char>('a' + choice % 3)), "m",
                    static_cast<Priority>(priorityIndex), choice % 5 ? WorkClass::Short : WorkClass::Long,
                    static_cast<double>(1 + choice % 4), static_cast<size_t>(choice % 30), now + milliseconds(choice) };
                const auto ticket = ++lastTicket;
                const auto result = policy.submit(ticket, request, oneTarget, now);
                applyDecisions(result.deferredDecisions);
                if (isDecision<AdmissionQueued>(result.decision)) {
                    queued[ticket] = request;
                } else {
                    RC_ASSERT(decidedTickets.insert(ticket).second);
                    if (isDecision<AdmissionGranted>(result.decision)) {
                        RC_ASSERT(now < request.deadline);
                        running[ticket] = request;
                    }
                }
            } else if (kind < 9) {
                if (!running.empty())
                    completeRunning(static_cast<size_t>(choice));
            } else if (!queued.empty()) {
                const auto waiting
                    = std::next(queued.begin(), static_cast<long>(static_cast<size_t>(choice) % queued.size()));
                const auto ticket = waiting->first;
                RC_ASSERT(policy.cancel("m", ticket).has_value());
                RC_ASSERT(!policy.cancel("m", ticket).has_value());
                RC_ASSERT(decidedTickets.insert(ticket).second);
                queued.erase(waiting);
            }
            size_t bytes = 0;
            for (const auto& [ticket, request] : queued)
                bytes += request.bytes;
            RC_ASSERT(queued.size() <= maxQueued);
            RC_ASSERT(bytes <= maxBytes);
            RC_ASSERT(policy.queuedRequests() == queued.size());
            RC_ASSERT(policy.queuedBytes() == bytes);
            RC_ASSERT(running.size() <= inFlight);
            const auto longRunning = std::count_if(running.begin(), running.end(),
                [](const auto& entry) { return entry.second.workClass == WorkClass::Long; });
            RC_ASSERT(longRunning <= 2);
        }
        // Every queued request gets its decision once the running requests have ended.
        while (!running.empty())
            completeRunning(0);
        RC_ASSERT(queued.empty());
        RC_ASSERT(decidedTickets.size() == lastTicket);
    }

    // Guards against queueing requests that are bound to miss their deadline.
    TEST(DeadlinePolicy, RefusesRequestsThatCannotMeetTheirDeadline)
    {
        PolicyDriver driver(policySettings(2));
        driver.submit(makeRequest("a"));
        driver.submit(makeRequest("a"));
        driver.completeFirst(start, milliseconds(1000));
        driver.submit(makeRequest("a"));
        // Two requests run for one second each, so that the next response is expected after two seconds.
        const auto refused = driver.submit(makeRequest("a", milliseconds(1200)));
        ASSERT_TRUE(isDecision<AdmissionRefused>(refused));
        EXPECT_EQ(std::get<AdmissionRefused>(refused).refusal, AdmissionRefusal::WindowTooShort);
        EXPECT_GT(std::get<AdmissionRefused>(refused).retryAfter.count(), 0);
        EXPECT_TRUE(isDecision<AdmissionQueued>(driver.submit(makeRequest("a", milliseconds(2500)))));
    }

    // Guards against queued requests that are refused only at the end of their window although later arrivals of higher
    // priority are served before them.
    TEST(DeadlinePolicy, RefusesQueuedRequestsBeforeTheirDeadline)
    {
        PolicyDriver driver(policySettings(2));
        for (int i = 0; i < 2; ++i)
            driver.submit(makeRequest("a"));
        driver.completeFirst(start, milliseconds(1000));
        driver.submit(makeRequest("a"));
        ASSERT_TRUE(isDecision<AdmissionQueued>(driver.submit(makeRequest("low", milliseconds(3000), Priority::Low))));
        for (int i = 0; i < 8; ++i)
            driver.submit(makeRequest("high", milliseconds(60000), Priority::High));
        driver.completeFirst(start + milliseconds(100), milliseconds(1000));
        ASSERT_EQ(driver.refused.size(), 1U);
        EXPECT_EQ(driver.requests[driver.refused.front()].caller, "low");
    }

    // Guards against an estimate that is too long, refuses all requests and therefore is never corrected.
    TEST(DeadlinePolicy, GrantsOneProbeDespiteAnEstimateBeyondItsWindow)
    {
        PolicyDriver driver(policySettings(2));
        driver.submit(makeRequest("a"));
        driver.completeFirst(start, std::chrono::minutes(1));
        EXPECT_TRUE(isDecision<AdmissionGranted>(driver.submit(makeRequest("a", milliseconds(100)))));
        EXPECT_TRUE(isDecision<AdmissionRefused>(driver.submit(makeRequest("a", milliseconds(100)))));
    }

    // Guards against queued requests that are granted in arrival order regardless of priority.
    TEST(DeadlinePolicy, GrantsHigherPriorityFirst)
    {
        PolicyDriver driver(policySettings(2));
        for (int i = 0; i < 2; ++i)
            driver.submit(makeRequest("first"));
        for (const auto& row : EnumNames<Priority>::table)
            driver.submit(makeRequest("a", milliseconds(10000), row.value));
        std::vector<Priority> order;
        while (!driver.running.empty()) {
            for (const auto& request : driver.completeFirst(start))
                order.push_back(request.priority);
        }
        EXPECT_EQ(order, (std::vector<Priority> { Priority::High, Priority::Normal, Priority::Low }));
    }

    // Guards against a burst of one caller delaying another caller's few requests to the end of the queue.
    RC_GTEST_PROP(DeadlinePolicy, burstDoesNotStarveOtherCallers, ())
    {
        PolicyDriver driver(policySettings(2, 4096));
        const auto burstCount = *rc::gen::inRange(20, 200);
        const auto fewCount = *rc::gen::inRange(1, 8);
        for (int i = 0; i < burstCount; ++i)
            driver.submit(makeRequest("burst"));
        for (int i = 0; i < fewCount; ++i)
            driver.submit(makeRequest("few"));
        int grants = 0;
        int fewGranted = 0;
        while (fewGranted < fewCount && !driver.running.empty()) {
            for (const auto& request : driver.completeFirst(start)) {
                ++grants;
                fewGranted += request.caller == "few";
            }
        }
        // Grants alternate between the callers, except for the burst's requests that were granted first.
        RC_ASSERT(fewGranted == fewCount);
        RC_ASSERT(grants <= 2 * fewCount + 4);
    }

    // Guards against a queue that stays filled by a single caller's burst.
    TEST(DeadlinePolicy, FullQueueEvictsForOtherCallersAndHigherPriorities)
    {
        PolicyDriver driver(policySettings(2, 8));
        for (int i = 0; i < 12; ++i)
            driver.submit(makeRequest("burst"));
        EXPECT_EQ(driver.policy.queuedRequests(), 4U) << "one artifact may use half of the queue";
        const auto full = driver.submit(makeRequest("burst"));
        ASSERT_TRUE(isDecision<AdmissionRefused>(full));
        EXPECT_EQ(std::get<AdmissionRefused>(full).refusal, AdmissionRefusal::QueueFull);
        EXPECT_TRUE(isDecision<AdmissionQueued>(driver.submit(makeRequest("few"))));
        EXPECT_TRUE(
            isDecision<AdmissionQueued>(driver.submit(makeRequest("burst", milliseconds(10000), Priority::High))));
        ASSERT_EQ(driver.refused.size(), 2U);
        EXPECT_EQ(driver.requests[driver.refused.front()].caller, "burst");
        EXPECT_EQ(driver.policy.queuedRequests(), 4U);
    }

    // Guards against short work queued behind long work, and against short work starving long work.
    TEST(DeadlinePolicy, LongWorkIsBoundedButNotStarved)
    {
        PolicyDriver driver(policySettings(8));
        for (int i = 0; i < 20; ++i)
            driver.submit(makeRequest("a", std::chrono::hours(1), Priority::High, WorkClass::Long));
        EXPECT_EQ(driver.running.size(), 4U);
        for (int i = 0; i < 4; ++i)
            EXPECT_TRUE(isDecision<AdmissionGranted>(driver.submit(makeRequest("a"))));
        for (int i = 0; i < 40; ++i)
            driver.submit(makeRequest("a"));
        int longGranted = 0;
        for (int i = 0; i < 30; ++i) {
            for (const auto& request : driver.completeFirst(start))
                longGranted += request.workClass == WorkClass::Long;
        }
        EXPECT_GT(longGranted, 0);
    }

    /// Simulates nodes, each with its own controller, that share one target with `slots` concurrent requests and a FIFO
    /// queue.
    class Simulation {
    public:
        Simulation(size_t nodes, size_t slots, Duration serviceTime, Duration window)
            : m_slots(slots)
            , m_serviceTime(serviceTime)
            , m_window(window)
        {
            for (size_t i = 0; i < nodes; ++i)
                m_nodes.push_back(std::make_unique<AdmissionController>(policySettings(64)));
        }

        /// Returns the rate of requests completed within their windows at an arrival rate of `rate`, both per second.
        double goodput(double rate, Duration simulatedTime, uint64_t seed)
        {
            Random random(seed);
            std::exponential_distribution<double> interarrivalTime(rate);
            const auto lastArrival = start + simulatedTime;
            m_measurementEnd = lastArrival;
            for (auto arrival = start; arrival < lastArrival;) {
                arrival
                    += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrivalTime(random)));
                const auto node = randomIndex(random, m_nodes.size());
                m_events.emplace(arrival, [this, node](TimePoint now) { handleArrival(node, now); });
            }
            while (!m_events.empty()) {
                const auto next = m_events.begin();
                const auto event = std::move(next->second);
                const auto now = next->first;
                m_events.erase(next);
                event(now);
            }
            return static_cast<double>(m_completedInTime) / toSeconds(simulatedTime);
        }

    private:
        struct Job {
            size_t node;
            TimePoint deadline;
            TimePoint grantedAt;
            bool isQueued { false };
        };

        void handleArrival(size_t node, TimePoint now)
        {
            const auto ticket = m_nodes[node]->nextTicket() * m_nodes.size() + node;
            auto& job = m_jobs[ticket] = { node, now + m_window, now, false };
            const auto result = m_nodes[node]->submit(ticket,
                { "c", "m", Priority::Normal, WorkClass::Short, 1, 10, job.deadline }, { 1, m_nodes.size() }, now);
            applyDecisions(result.deferredDecisions, now);
            if (isDecision<AdmissionGranted>(result.decision)) {
                enqueueAtTarget(ticket, now);
            } else if (const auto* queued = std::get_if<AdmissionQueued>(&result.decision)) {
                job.isQueued = true;
                m_events.emplace(queued->latestStart, [this, ticket](TimePoint) {
                    if (const auto found = m_jobs.find(ticket); found != m_jobs.end() && found->second.isQueued) {
                        m_nodes[found->second.node]->cancel("m", ticket);
                        m_jobs.erase(found);
                    }
                });
            } else
                m_jobs.erase(ticket);
        }

        void applyDecisions(const std::vector<DeferredDecision>& deferredDecisions, TimePoint now)
        {
            for (const auto& deferred : deferredDecisions) {
                if (isDecision<AdmissionGranted>(deferred.decision))
                    enqueueAtTarget(deferred.ticket, now);
                else
                    m_jobs.erase(deferred.ticket);
            }
        }

        void enqueueAtTarget(AdmissionTicket ticket, TimePoint now)
        {
            auto& job = m_jobs[ticket];
            job.isQueued = false;
            job.grantedAt = now;
            m_targetQueue.push_back(ticket);
            startJobs(now);
        }

        void startJobs(TimePoint now)
        {
            while (m_running < m_slots && !m_targetQueue.empty()) {
                ++m_running;
                const auto ticket = m_targetQueue.front();
                m_targetQueue.erase(m_targetQueue.begin());
                m_events.emplace(
                    now + m_serviceTime, [this, ticket](TimePoint finishedAt) { finishJob(ticket, finishedAt); });
            }
        }

        void finishJob(AdmissionTicket ticket, TimePoint now)
        {
            --m_running;
            startJobs(now);
            const auto job = m_jobs[ticket];
            m_jobs.erase(ticket);
            m_completedInTime += now <= job.deadline && now <= m_measurementEnd;
            applyDecisions(
                m_nodes[job.node]->release({ "m", WorkClass::Short, 1, now - job.grantedAt, true }, now), now);
        }

        size_t m_slots;
        Duration m_serviceTime;
        Duration m_window;
        std::vector<std::unique_ptr<AdmissionController>> m_nodes;
        std::multimap<TimePoint, std::function<void(TimePoint)>> m_events;
        std::map<AdmissionTicket, Job> m_jobs;
        std::vector<AdmissionTicket> m_targetQueue;
        size_t m_running { 0 };
        TimePoint m_measurementEnd;
        int m_completedInTime { 0 };
    };

    // Guards against congestion collapse. Section 1.7 requires a goodput at three times the capacity of at least 90% of
    // the goodput at capacity.
    TEST(AdmissionController, GoodputHoldsAtThreeTimesTheCapacity)
    {
        constexpr double capacity = 8 / 0.05;
        for (const size_t nodes : { 1, 3, 9 }) {
            for (const auto window : { milliseconds(200), milliseconds(1000), milliseconds(5000) }) {
                const auto simulatedTime = std::chrono::seconds(60);
                const double atCapacity
                    = Simulation(nodes, 8, milliseconds(50), window).goodput(capacity, simulatedTime, 1);
                const double overloaded
                    = Simulation(nodes, 8, milliseconds(50), window).goodput(3 * capacity, simulatedTime, 2);
                EXPECT_GE(overloaded, 0.9 * atCapacity)
                    << nodes << " nodes, window " << toMilliseconds(window) << " ms";
                RecordProperty("ratio_" + std::to_string(nodes) + "_" + std::to_string(toMilliseconds(window)),
                    std::to_string(overloaded / atCapacity));
                std::cout << nodes << " nodes, window " << toMilliseconds(window) << " ms: goodput " << atCapacity
                          << " at capacity, " << overloaded << " at 3 x capacity\n";
            }
        }
    }

} // namespace
} // namespace cyclamenstair
