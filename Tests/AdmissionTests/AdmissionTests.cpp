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

    AdmissionRequest requestOf(const std::string& caller, Duration window = milliseconds(10000),
        Priority priority = Priority::Normal, WorkClass workClass = WorkClass::Short)
    {
        return { caller, "m", priority, workClass, 1, 10, start + window };
    }

    DeadlinePolicySettings settingsOf(size_t inFlight, size_t maxQueued = 512, size_t maxBytes = 1 << 20)
    {
        return { inFlight, maxQueued, maxBytes };
    }

    template <typename Decision> bool isDecision(const AdmissionDecision& decision)
    {
        return std::holds_alternative<Decision>(decision);
    }

    /// Submits requests to one policy and keeps the tickets by caller.
    class Desk {
    public:
        explicit Desk(const DeadlinePolicySettings& settings)
            : policy(settings)
        {
        }

        AdmissionDecision submit(const AdmissionRequest& request, TimePoint now = start)
        {
            const auto ticket = m_tickets++;
            requests[ticket] = request;
            const auto result = policy.submit(ticket, request, oneTarget, now);
            take(result.verdicts);
            if (isDecision<AdmissionGranted>(result.decision))
                running.push_back(ticket);
            return result.decision;
        }

        /// Ends the request that was granted first; returns the requests granted because of it.
        std::vector<AdmissionRequest> endFirst(TimePoint now, Duration serviceTime = milliseconds(10))
        {
            const auto ticket = running.front();
            running.erase(running.begin());
            const auto& request = requests[ticket];
            return take(policy.release({ "m", request.workClass, request.work, serviceTime, true }, now));
        }

        std::vector<AdmissionRequest> take(const std::vector<AdmissionVerdict>& verdicts)
        {
            std::vector<AdmissionRequest> granted;
            for (const auto& verdict : verdicts) {
                if (isDecision<AdmissionGranted>(verdict.decision)) {
                    running.push_back(verdict.ticket);
                    granted.push_back(requests[verdict.ticket]);
                } else
                    refused.push_back(verdict.ticket);
            }
            return granted;
        }

        DeadlinePolicy policy;
        std::map<AdmissionTicket, AdmissionRequest> requests;
        std::vector<AdmissionTicket> running;
        std::vector<AdmissionTicket> refused;

    private:
        AdmissionTicket m_tickets { 1 };
    };

    // Guards against queues beyond their bounds, a request that is granted after its deadline, two decisions on one
    // request, a request without a decision, long work beyond its half, and queue room that is never given back.
    RC_GTEST_PROP(DeadlinePolicy, boundsAndDeadlinesHold, ())
    {
        constexpr size_t inFlight = 4;
        constexpr size_t maxQueued = 6;
        constexpr size_t maxBytes = 50;
        DeadlinePolicy policy(settingsOf(inFlight, maxQueued, maxBytes));
        std::map<AdmissionTicket, AdmissionRequest> queued;
        std::map<AdmissionTicket, AdmissionRequest> running;
        std::set<AdmissionTicket> decided;
        AdmissionTicket tickets = 0;
        auto now = start;
        const auto take = [&](const std::vector<AdmissionVerdict>& verdicts) {
            for (const auto& verdict : verdicts) {
                RC_ASSERT(queued.contains(verdict.ticket));
                RC_ASSERT(decided.insert(verdict.ticket).second);
                if (isDecision<AdmissionGranted>(verdict.decision)) {
                    RC_ASSERT(now < queued[verdict.ticket].deadline);
                    running[verdict.ticket] = queued[verdict.ticket];
                }
                queued.erase(verdict.ticket);
            }
        };
        const auto end = [&](size_t index) {
            const auto ended = std::next(running.begin(), static_cast<long>(index % running.size()));
            const auto request = ended->second;
            running.erase(ended);
            take(policy.release({ "m", request.workClass, request.work, milliseconds(20), index % 3 != 0 }, now));
        };
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            300, rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 3)));
        for (const auto& [kind, choice, level] : steps) {
            now += milliseconds(choice % 20);
            if (kind < 6) {
                const AdmissionRequest request { std::string(1, static_cast<char>('a' + choice % 3)), "m",
                    static_cast<Priority>(level), choice % 5 ? WorkClass::Short : WorkClass::Long,
                    static_cast<double>(1 + choice % 4), static_cast<size_t>(choice % 30), now + milliseconds(choice) };
                const auto ticket = ++tickets;
                const auto result = policy.submit(ticket, request, oneTarget, now);
                take(result.verdicts);
                if (isDecision<AdmissionQueued>(result.decision)) {
                    queued[ticket] = request;
                } else {
                    RC_ASSERT(decided.insert(ticket).second);
                    if (isDecision<AdmissionGranted>(result.decision)) {
                        RC_ASSERT(now < request.deadline);
                        running[ticket] = request;
                    }
                }
            } else if (kind < 9) {
                if (!running.empty())
                    end(static_cast<size_t>(choice));
            } else if (!queued.empty()) {
                const auto waiting
                    = std::next(queued.begin(), static_cast<long>(static_cast<size_t>(choice) % queued.size()));
                const auto ticket = waiting->first;
                RC_ASSERT(policy.withdraw("m", ticket).has_value());
                RC_ASSERT(!policy.withdraw("m", ticket).has_value());
                RC_ASSERT(decided.insert(ticket).second);
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
        // Every queued request gets its decision once the running ones end.
        while (!running.empty())
            end(0);
        RC_ASSERT(queued.empty());
        RC_ASSERT(decided.size() == tickets);
    }

    // Guards against a queue that keeps requests until their window is over.
    TEST(DeadlinePolicy, RefusesAtOnceWhatCannotBeAnsweredInTime)
    {
        Desk desk(settingsOf(2));
        desk.submit(requestOf("a"));
        desk.submit(requestOf("a"));
        desk.endFirst(start, milliseconds(1000));
        desk.submit(requestOf("a"));
        // Two run for a second each, so that a third takes two seconds.
        const auto refused = desk.submit(requestOf("a", milliseconds(1200)));
        ASSERT_TRUE(isDecision<AdmissionRefused>(refused));
        EXPECT_EQ(std::get<AdmissionRefused>(refused).refusal, AdmissionRefusal::WindowTooShort);
        EXPECT_GT(std::get<AdmissionRefused>(refused).retryAfter.count(), 0);
        EXPECT_TRUE(isDecision<AdmissionQueued>(desk.submit(requestOf("a", milliseconds(2500)))));
    }

    // Guards against queued requests that are refused only at the end of their window: high-priority arrivals after
    // them take their places.
    TEST(DeadlinePolicy, RefusesQueuedRequestsEarly)
    {
        Desk desk(settingsOf(2));
        for (int i = 0; i < 2; ++i)
            desk.submit(requestOf("a"));
        desk.endFirst(start, milliseconds(1000));
        desk.submit(requestOf("a"));
        ASSERT_TRUE(isDecision<AdmissionQueued>(desk.submit(requestOf("low", milliseconds(3000), Priority::Low))));
        for (int i = 0; i < 8; ++i)
            desk.submit(requestOf("high", milliseconds(60000), Priority::High));
        desk.endFirst(start + milliseconds(100), milliseconds(1000));
        ASSERT_EQ(desk.refused.size(), 1U);
        EXPECT_EQ(desk.requests[desk.refused.front()].caller, "low");
    }

    // Guards against an estimate that refuses all requests and is therefore never corrected.
    TEST(DeadlinePolicy, LetsOneRequestProbeAnEstimateBeyondItsWindow)
    {
        Desk desk(settingsOf(2));
        desk.submit(requestOf("a"));
        desk.endFirst(start, std::chrono::minutes(1));
        EXPECT_TRUE(isDecision<AdmissionGranted>(desk.submit(requestOf("a", milliseconds(100)))));
        EXPECT_TRUE(isDecision<AdmissionRefused>(desk.submit(requestOf("a", milliseconds(100)))));
    }

    TEST(DeadlinePolicy, HigherPriorityGoesFirst)
    {
        Desk desk(settingsOf(2));
        for (int i = 0; i < 2; ++i)
            desk.submit(requestOf("first"));
        for (const auto& row : EnumNames<Priority>::table)
            desk.submit(requestOf("a", milliseconds(10000), row.value));
        std::vector<Priority> order;
        while (!desk.running.empty()) {
            for (const auto& request : desk.endFirst(start))
                order.push_back(request.priority);
        }
        EXPECT_EQ(order, (std::vector<Priority> { Priority::High, Priority::Normal, Priority::Low }));
    }

    // Guards against a burst of one caller that delays another caller's few requests to the end of the queue.
    RC_GTEST_PROP(DeadlinePolicy, aBurstDoesNotStarveOtherCallers, ())
    {
        Desk desk(settingsOf(2, 4096));
        const auto burst = *rc::gen::inRange(20, 200);
        const auto few = *rc::gen::inRange(1, 8);
        for (int i = 0; i < burst; ++i)
            desk.submit(requestOf("burst"));
        for (int i = 0; i < few; ++i)
            desk.submit(requestOf("few"));
        int grants = 0;
        int served = 0;
        while (served < few && !desk.running.empty()) {
            for (const auto& request : desk.endFirst(start)) {
                ++grants;
                served += request.caller == "few";
            }
        }
        // Turns alternate, but for the head start of the requests that the burst was served before.
        RC_ASSERT(served == few);
        RC_ASSERT(grants <= 2 * few + 4);
    }

    // Guards against a full queue that one caller's burst holds alone.
    TEST(DeadlinePolicy, AFullQueueMakesRoomForOtherCallersAndHigherPriorities)
    {
        Desk desk(settingsOf(2, 8));
        for (int i = 0; i < 12; ++i)
            desk.submit(requestOf("burst"));
        EXPECT_EQ(desk.policy.queuedRequests(), 4U) << "one artifact may take half of the queue";
        const auto full = desk.submit(requestOf("burst"));
        ASSERT_TRUE(isDecision<AdmissionRefused>(full));
        EXPECT_EQ(std::get<AdmissionRefused>(full).refusal, AdmissionRefusal::QueueFull);
        EXPECT_TRUE(isDecision<AdmissionQueued>(desk.submit(requestOf("few"))));
        EXPECT_TRUE(isDecision<AdmissionQueued>(desk.submit(requestOf("burst", milliseconds(10000), Priority::High))));
        ASSERT_EQ(desk.refused.size(), 2U);
        EXPECT_EQ(desk.requests[desk.refused.front()].caller, "burst");
        EXPECT_EQ(desk.policy.queuedRequests(), 4U);
    }

    // Guards against short work that waits behind long work, and against long work that never ends under short work.
    TEST(DeadlinePolicy, LongWorkHasItsOwnBound)
    {
        Desk desk(settingsOf(8));
        for (int i = 0; i < 20; ++i)
            desk.submit(requestOf("a", std::chrono::hours(1), Priority::High, WorkClass::Long));
        EXPECT_EQ(desk.running.size(), 4U);
        for (int i = 0; i < 4; ++i)
            EXPECT_TRUE(isDecision<AdmissionGranted>(desk.submit(requestOf("a"))));
        for (int i = 0; i < 40; ++i)
            desk.submit(requestOf("a"));
        int longGranted = 0;
        for (int i = 0; i < 30; ++i) {
            for (const auto& request : desk.endFirst(start))
                longGranted += request.workClass == WorkClass::Long;
        }
        EXPECT_GT(longGranted, 0);
    }

    /// Nodes with a controller each before one target that runs `slots` requests at a time, first come, first served.
    class Simulation {
    public:
        Simulation(size_t nodes, size_t slots, Duration serviceTime, Duration window)
            : m_slots(slots)
            , m_serviceTime(serviceTime)
            , m_window(window)
        {
            for (size_t i = 0; i < nodes; ++i)
                m_nodes.push_back(std::make_unique<AdmissionController>(settingsOf(64)));
        }

        /// Returns the requests a second that were answered within their windows, of `rate` a second.
        double goodput(double rate, Duration length, uint64_t seed)
        {
            Random random(seed);
            std::exponential_distribution<double> gap(rate);
            const auto end = start + length;
            m_end = end;
            for (auto arrival = start; arrival < end;) {
                arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
                const auto node = randomIndex(random, m_nodes.size());
                m_events.emplace(arrival, [this, node](TimePoint now) { arrive(node, now); });
            }
            while (!m_events.empty()) {
                const auto next = m_events.begin();
                const auto event = std::move(next->second);
                const auto now = next->first;
                m_events.erase(next);
                event(now);
            }
            return static_cast<double>(m_inTime) / toSeconds(length);
        }

    private:
        struct Job {
            size_t node;
            TimePoint deadline;
            TimePoint granted;
            bool isWaiting { false };
        };

        void arrive(size_t node, TimePoint now)
        {
            const auto ticket = m_nodes[node]->nextTicket() * m_nodes.size() + node;
            auto& job = m_jobs[ticket] = { node, now + m_window, now, false };
            const auto result = m_nodes[node]->submit(ticket,
                { "c", "m", Priority::Normal, WorkClass::Short, 1, 10, job.deadline }, { 1, m_nodes.size() }, now);
            take(result.verdicts, now);
            if (isDecision<AdmissionGranted>(result.decision)) {
                grant(ticket, now);
            } else if (const auto* queued = std::get_if<AdmissionQueued>(&result.decision)) {
                job.isWaiting = true;
                m_events.emplace(queued->latestStart, [this, ticket](TimePoint) {
                    if (const auto found = m_jobs.find(ticket); found != m_jobs.end() && found->second.isWaiting) {
                        m_nodes[found->second.node]->withdraw("m", ticket);
                        m_jobs.erase(found);
                    }
                });
            } else
                m_jobs.erase(ticket);
        }

        void take(const std::vector<AdmissionVerdict>& verdicts, TimePoint now)
        {
            for (const auto& verdict : verdicts) {
                if (isDecision<AdmissionGranted>(verdict.decision))
                    grant(verdict.ticket, now);
                else
                    m_jobs.erase(verdict.ticket);
            }
        }

        void grant(AdmissionTicket ticket, TimePoint now)
        {
            auto& job = m_jobs[ticket];
            job.isWaiting = false;
            job.granted = now;
            m_waiting.push_back(ticket);
            startJobs(now);
        }

        void startJobs(TimePoint now)
        {
            while (m_running < m_slots && !m_waiting.empty()) {
                ++m_running;
                const auto ticket = m_waiting.front();
                m_waiting.erase(m_waiting.begin());
                m_events.emplace(now + m_serviceTime, [this, ticket](TimePoint end) { finish(ticket, end); });
            }
        }

        void finish(AdmissionTicket ticket, TimePoint now)
        {
            --m_running;
            startJobs(now);
            const auto job = m_jobs[ticket];
            m_jobs.erase(ticket);
            m_inTime += now <= job.deadline && now <= m_end;
            take(m_nodes[job.node]->release({ "m", WorkClass::Short, 1, now - job.granted, true }, now), now);
        }

        size_t m_slots;
        Duration m_serviceTime;
        Duration m_window;
        std::vector<std::unique_ptr<AdmissionController>> m_nodes;
        std::multimap<TimePoint, std::function<void(TimePoint)>> m_events;
        std::map<AdmissionTicket, Job> m_jobs;
        std::vector<AdmissionTicket> m_waiting;
        size_t m_running { 0 };
        TimePoint m_end;
        int m_inTime { 0 };
    };

    // Guards against a collapse under overload. The bound is that of section 1.7: goodput at three times the capacity
    // is at least 90% of the goodput at capacity.
    TEST(AdmissionController, GoodputHoldsAtThreeTimesTheCapacity)
    {
        constexpr double capacity = 8 / 0.05;
        for (const size_t nodes : { 1, 3, 9 }) {
            for (const auto window : { milliseconds(200), milliseconds(1000), milliseconds(5000) }) {
                const auto length = std::chrono::seconds(60);
                const double atCapacity = Simulation(nodes, 8, milliseconds(50), window).goodput(capacity, length, 1);
                const double overloaded
                    = Simulation(nodes, 8, milliseconds(50), window).goodput(3 * capacity, length, 2);
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
