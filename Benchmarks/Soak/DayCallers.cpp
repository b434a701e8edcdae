#include <Benchmarks/Soak/DayCallers.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cyclamenstair {

namespace {

    constexpr size_t loopCount = 2;
    constexpr uint32_t badRequest = 400;
    constexpr uint32_t unauthorized = 401;
    constexpr uint32_t notFound = 404;
    constexpr uint32_t requestTimeout = 408;
    constexpr uint32_t tooLarge = 413;
    constexpr uint32_t misdirected = 421;
    constexpr uint32_t tooManyRequests = 429;
    constexpr uint32_t fieldsTooLarge = 431;
    constexpr uint32_t unavailable = 503;
    constexpr auto retryDelay = milliseconds(50);
    constexpr auto connectTimeout = milliseconds(1000);
    /// Four fifths of the catalog's idle timeout.
    constexpr auto maxIdleTime = milliseconds(12000);
    /// Bounds of the time without an event after which a stream is abandoned.
    constexpr auto minStreamGap = milliseconds(2000);
    constexpr int objectivesPerGap = 4;
    constexpr int eventGapsPerGap = 8;

    bool isSuccess(uint32_t status) { return status >= 200 && status < 300; }

    /// Returns whether the status says that the request has not run and never will.
    bool isPromise(uint32_t status)
    {
        return status == tooManyRequests || status == unavailable || status == requestTimeout || status == misdirected;
    }

    bool isFinal(uint32_t status)
    {
        return isSuccess(status) || status == badRequest || status == unauthorized || status == notFound
            || status == tooLarge || status == fieldsTooLarge;
    }

} // namespace

/// Callers of some failure domains on one event loop. All members are used on its thread after start().
class DayCallers::Shard {
public:
    Shard(DayCallers& callers, uint64_t seed, size_t number)
        : m_callers(&callers)
        , m_random(seed * loopCount + number)
        , m_idPrefix("d" + std::to_string(seed) + "-" + std::to_string(number) + "-")
    {
        m_connectionSettings.connectTimeout = connectTimeout;
        m_connectionSettings.maxIdleTime = maxIdleTime;
    }

    void add(const SiteTraffic& traffic)
    {
        auto& source = *m_sources.emplace_back(std::make_unique<Source>(traffic, m_loop.context()));
        for (size_t i = 0; i < std::max<size_t>(traffic.callers, 1); ++i)
            source.callers.push_back({ m_random(), std::nullopt, {} });
    }

    void start()
    {
        for (const auto& source : m_sources)
            m_loop.post([this, source = source.get()] { scheduleArrival(*source); });
        m_loop.start();
    }

    void stop() { m_loop.stop(); }

private:
    struct Caller {
        uint64_t hash { 0 };
        std::optional<size_t> node; ///< Of its kept connections.
        std::vector<std::shared_ptr<ClientConnection>> idle;
    };
    /// The callers of a failure domain and their arrivals.
    struct Source {
        Source(const SiteTraffic& sourceTraffic, boost::asio::io_context& context)
            : traffic(&sourceTraffic)
            , timer(context)
        {
        }

        const SiteTraffic* traffic;
        std::vector<Caller> callers;
        boost::asio::steady_timer timer;
    };
    /// A request and the try that runs. Shared with the handlers of its connection and timers.
    struct Call {
        explicit Call(boost::asio::io_context& context)
            : timer(context)
        {
        }

        DayRequest request;
        const SiteRequestKind* kind { nullptr };
        Source* source { nullptr };
        Caller* caller { nullptr };
        TimePoint deadline;
        int retriesLeft { 0 };
        size_t lastEvent { 0 };
        DayTry current;
        std::shared_ptr<ClientConnection> connection;
        std::optional<EventReader> events;
        std::string body;
        bool isEnded { false }; ///< The current try has ended.
        boost::asio::steady_timer timer;
    };
    using CallPointer = std::shared_ptr<Call>;

    double rate(const Source& source, const CallerBehaviour& behaviour) const
    {
        const auto& traffic = *source.traffic;
        const double time = toSeconds(monotonicNow() - m_callers->m_startedAt);
        const double period = std::max(toSeconds(traffic.period), 1.0);
        const double wave = 1 + traffic.swing * std::sin(2 * std::numbers::pi * (time / period + traffic.phase));
        return traffic.requestsPerSecond * wave * factorOf(behaviour, {});
    }

    static double factorOf(const CallerBehaviour& behaviour, const std::string& kind)
    {
        const auto factor = behaviour.rateFactors.find(kind);
        return factor == behaviour.rateFactors.end() ? 1 : factor->second;
    }

    void scheduleArrival(Source& source)
    {
        if (m_callers->m_isEnded)
            return;
        const auto behaviour = m_callers->behaviour();
        const auto& kinds = m_callers->m_settings->site.requestKinds;
        double total = 0;
        double raised = 0;
        std::vector<double> weights;
        for (const auto& kind : kinds) {
            const auto weight = source.traffic->weights.find(kind.name);
            const double base = weight == source.traffic->weights.end() ? 0 : weight->second;
            weights.push_back(base * factorOf(behaviour, kind.name));
            total += base;
            raised += weights.back();
        }
        if (total <= 0 || raised <= 0)
            return;
        const double perSecond = std::max(rate(source, behaviour) * raised / total, 0.05);
        const double pause = std::exponential_distribution<double>(perSecond)(m_random);
        source.timer.expires_after(std::chrono::microseconds(static_cast<int64_t>(pause * 1e6)));
        source.timer.async_wait([this, &source, weights](const boost::system::error_code& ec) {
            if (ec || m_callers->m_isEnded)
                return;
            const auto kind = std::discrete_distribution<size_t>(weights.begin(), weights.end())(m_random);
            startRequest(source, kind);
            scheduleArrival(source);
        });
    }

    void startRequest(Source& source, size_t kind)
    {
        const auto behaviour = m_callers->behaviour();
        const auto& site = m_callers->m_settings->site;
        auto* origin = &source;
        if (randomUnit(m_random) < behaviour.movedShare)
            origin = m_sources[randomIndex(m_random, m_sources.size())].get();
        auto call = std::make_shared<Call>(m_loop.context());
        call->request = drawRequest(site, kind, behaviour, m_random);
        call->kind = &site.requestKinds[kind];
        call->source = origin;
        call->caller = &origin->callers[randomIndex(m_random, origin->callers.size())];
        call->deadline = monotonicNow() + call->kind->deadline;
        call->retriesLeft = call->kind->callerRetries;
        if (call->request.isInsistent)
            call->retriesLeft = static_cast<int>(std::ceil(std::max(call->retriesLeft, 1) * behaviour.retryFactor));
        send(call, std::nullopt);
    }

    /// Returns the node for the first try and a kept connection to it, or no connection.
    std::pair<size_t, std::shared_ptr<ClientConnection>> takeConnection(Caller& caller, const std::string& domain)
    {
        while (!caller.idle.empty()) {
            auto connection = std::move(caller.idle.back());
            caller.idle.pop_back();
            if (connection->isReusable(monotonicNow()))
                return { *caller.node, std::move(connection) };
            connection->close();
        }
        caller.node = m_callers->m_nodes->choose(domain, caller.hash, std::nullopt);
        return { *caller.node, nullptr };
    }

    void send(const CallPointer& call, std::optional<size_t> exceptNode)
    {
        const auto now = monotonicNow();
        const auto& site = m_callers->m_settings->site;
        const auto& domain = call->source->traffic->failureDomain;
        DayTry next;
        next.id = m_idPrefix + std::to_string(++m_tryCount);
        next.kind = call->request.kind;
        next.isFirst = !exceptNode;
        next.sentAt = now;
        if (exceptNode)
            next.node = m_callers->m_nodes->choose(domain, m_random(), exceptNode);
        else
            std::tie(next.node, call->connection) = takeConnection(*call->caller, domain);
        if (exceptNode || !call->connection)
            call->connection = std::make_shared<ClientConnection>(
                m_loop.context(), m_callers->m_nodes->node(next.node).callerEndpoint, m_connectionSettings);
        call->current = std::move(next);
        call->isEnded = false;
        call->body.clear();
        call->events.reset();
        if (call->request.eventCount > 0)
            call->events.emplace(call->lastEvent);
        const auto message = makeMessage(site, call->request, call->current.id, call->deadline - now, call->lastEvent);
        armTimer(call);
        call->connection->send(encodeRequest(message), false,
            [this, call, id = call->current.id](ClientEvent event) { onEvent(call, id, std::move(event)); });
    }

    /// Abandons the try at its deadline, after a gap of the stream, or early if the caller is impatient.
    void armTimer(const CallPointer& call)
    {
        auto at = call->deadline;
        if (call->events)
            at = std::min(at,
                monotonicNow()
                    + std::max({ Duration(minStreamGap), call->kind->latencyObjective * objectivesPerGap,
                        call->kind->eventGapObjective * eventGapsPerGap }));
        if (call->request.isImpatient)
            at = std::min(at, call->current.sentAt + m_callers->behaviour().impatientTime);
        call->timer.expires_at(at);
        call->timer.async_wait([this, call, id = call->current.id](const boost::system::error_code& ec) {
            if (ec || call->isEnded || call->current.id != id)
                return;
            call->current.isAbandoned = true;
            call->connection->close();
            finish(call);
        });
    }

    void onEvent(const CallPointer& call, const std::string& id, ClientEvent event)
    {
        if (call->isEnded || call->current.id != id)
            return;
        std::visit(Overloaded {
                       [&](const ResponseHeadReceived& part) { call->current.status = part.head.status; },
                       [&](const ResponseDataReceived& part) { readBody(call, part.data); },
                       [&](const ResponseComplete&) { complete(call); },
                       [&](const CallFailed& failure) { fail(call, failure); },
                   },
            event);
    }

    void readBody(const CallPointer& call, const std::string& data)
    {
        if (!call->events || !isSuccess(call->current.status)) {
            call->body += data;
            return;
        }
        if (call->events->append(data) > 0)
            armTimer(call);
        call->current.brokenStream = call->events->fault();
    }

    void complete(const CallPointer& call)
    {
        if (isSuccess(call->current.status)) {
            if (!call->events) {
                call->current.wrongBody = findWrongBody(call->body, call->current.id,
                    serviceWorkload(m_callers->m_settings->site, call->kind->service).meanResponseBytes)
                                              .value_or("");
            } else if (call->events->lastEvent() != call->request.eventCount && call->current.brokenStream.empty()) {
                call->current.brokenStream = "complete after event " + std::to_string(call->events->lastEvent())
                    + " of " + std::to_string(call->request.eventCount);
            }
            call->current.isServed = call->current.wrongBody.empty() && call->current.brokenStream.empty();
        }
        auto connection = std::move(call->connection);
        const bool isKept = call->current.isFirst && call->caller->node == call->current.node
            && connection->isReusable(monotonicNow());
        if (isKept)
            call->caller->idle.push_back(connection);
        else
            connection->close();
        finish(call);
    }

    void fail(const CallPointer& call, const CallFailed& failure)
    {
        // A status whose body did not arrive is no response.
        call->current.status = 0;
        m_mayRetry = !failure.wasSent;
        finish(call);
        m_mayRetry = false;
    }

    void finish(const CallPointer& call)
    {
        if (std::exchange(call->isEnded, true))
            return;
        call->timer.cancel();
        if (call->events)
            call->lastEvent = call->events->lastEvent();
        auto& current = call->current;
        current.endedAt = monotonicNow();
        const auto policy = call->kind->retryPolicy;
        const bool mayRunAgain = policy == RetryPolicy::Safe || call->kind->isResumable;
        const bool mayRetry = call->retriesLeft > 0 && !isFinal(current.status) && !current.isAbandoned
            && (mayRunAgain || isPromise(current.status) || m_mayRetry);
        const auto node = current.node;
        const bool isAtOnce = call->request.isInsistent;
        m_callers->record(current);
        if (!mayRetry || m_callers->m_isEnded || current.endedAt + retryDelay >= call->deadline)
            return;
        --call->retriesLeft;
        call->timer.expires_after(isAtOnce ? Duration {} : Duration(retryDelay));
        call->timer.async_wait([this, call, node](const boost::system::error_code& ec) {
            if (!ec)
                send(call, node);
        });
    }

    DayCallers* m_callers;
    Random m_random;
    std::string m_idPrefix;
    size_t m_tryCount { 0 };
    bool m_mayRetry { false }; ///< The try that ends was not sent.
    ClientConnectionSettings m_connectionSettings;
    EventLoop m_loop;
    std::vector<std::unique_ptr<Source>> m_sources; ///< Destroyed before the loop that their timers use.
};

DayCallers::DayCallers(const DaySettings& settings, const DayNodes& nodes)
    : m_settings(&settings)
    , m_nodes(&nodes)
{
    for (size_t i = 0; i < loopCount; ++i)
        m_shards.push_back(std::make_unique<Shard>(*this, settings.seed, i));
    for (size_t i = 0; i < settings.day.traffic.size(); ++i)
        m_shards[i % loopCount]->add(settings.day.traffic[i]);
}

DayCallers::~DayCallers() { stop(); }

void DayCallers::start()
{
    m_startedAt = monotonicNow();
    for (const auto& shard : m_shards)
        shard->start();
}

void DayCallers::stop()
{
    m_isEnded = true;
    for (const auto& shard : m_shards)
        shard->stop();
}

void DayCallers::change(const std::function<void(CallerBehaviour&)>& function)
{
    std::lock_guard lock(m_mutex);
    function(m_behaviour);
}

CallerBehaviour DayCallers::behaviour() const
{
    std::lock_guard lock(m_mutex);
    return m_behaviour;
}

void DayCallers::record(DayTry result)
{
    std::lock_guard lock(m_mutex);
    m_tries.push_back(std::move(result));
}

std::vector<DayTry> DayCallers::tries() const
{
    std::lock_guard lock(m_mutex);
    return m_tries;
}

} // namespace cyclamenstair
