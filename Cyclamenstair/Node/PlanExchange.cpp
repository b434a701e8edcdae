#include <Cyclamenstair/Node/PlanExchange.h>

#include <Cyclamenstair/Codec/RecordCodec.h>

namespace cyclamenstair {

namespace {

    constexpr size_t maxDeltas = 256;
    constexpr size_t maxDeltaBytes = 4 << 20;
    constexpr size_t maxPlanBytes = 64 << 20;

    /// A peer whose plan changes during the fetch starts over; after a few times the fetch is given up until the next
    /// announcement.
    constexpr int maxRestarts = 3;

} // namespace

PlanExchange::PlanExchange(PlanRegister& plans, AuditTrail& audit)
    : m_plans(&plans)
    , m_audit(&audit)
{
}

void PlanExchange::setAnnouncer(Announcer announcer)
{
    std::lock_guard lock(m_mutex);
    m_announcer = std::move(announcer);
}

bool PlanExchange::install(Plan plan, const std::string& source, std::vector<std::string> encodedDeltas)
{
    const auto revision = plan.revision;
    if (!stage(std::make_shared<const Plan>(plan), std::move(encodedDeltas)))
        return false;
    const auto announcer = [this] {
        std::lock_guard lock(m_mutex);
        return m_announcer;
    }();
    if (announcer)
        announcer(revision);
    const auto previous = m_plans->revision();
    if (m_plans->offer(std::move(plan))) {
        AuditEntry entry;
        entry.kind = AuditKind::Plan;
        entry.actor = source;
        entry.action = "plan put in force";
        entry.fromRevision = previous;
        entry.toRevision = revision;
        m_audit->record(std::move(entry));
    }
    return true;
}

bool PlanExchange::stage(const std::shared_ptr<const Plan>& plan, std::vector<std::string> encodedDeltas)
{
    const auto encoded = std::make_shared<const std::string>(encodePlan(*plan));
    std::lock_guard lock(m_mutex);
    if (m_latest && plan->revision <= m_latest->revision)
        return false;
    if (m_latest && plan->revision == m_latest->revision + 1 && encodedDeltas.empty())
        encodedDeltas.push_back(encodePlanDelta(PlanDelta::between(*m_latest, *plan)));
    // Without the deltas in between, peers with an older plan get the whole one.
    if (!m_latest || encodedDeltas.size() != plan->revision - m_latest->revision) {
        m_deltas.clear();
        m_deltaBytes = 0;
        encodedDeltas.clear();
    }
    auto revision = plan->revision - encodedDeltas.size();
    for (auto& delta : encodedDeltas) {
        m_deltaBytes += delta.size();
        m_deltas.push_back({ ++revision, std::move(delta) });
    }
    while (m_deltas.size() > maxDeltas || m_deltaBytes > maxDeltaBytes) {
        m_deltaBytes -= m_deltas.front().encoded.size();
        m_deltas.pop_front();
    }
    m_latest = plan;
    m_encoded = encoded;
    return true;
}

std::shared_ptr<const Plan> PlanExchange::latest() const
{
    std::lock_guard lock(m_mutex);
    return m_latest;
}

uint64_t PlanExchange::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_latest ? m_latest->revision : 0;
}

PlanFetchResponseMessage PlanExchange::answer(const PlanFetchRequestMessage& request) const
{
    std::lock_guard lock(m_mutex);
    PlanFetchResponseMessage response;
    if (!m_latest)
        return response;
    response.revision = m_latest->revision;
    if (m_latest->revision <= request.baseRevision)
        return response;
    const bool isContinued
        = request.offset > 0 && request.revision == m_latest->revision && request.offset < m_encoded->size();
    if (request.offset == 0 && !m_deltas.empty() && m_deltas.front().revision <= request.baseRevision + 1) {
        size_t bytes = 0;
        for (const auto& delta : m_deltas) {
            if (delta.revision <= request.baseRevision)
                continue;
            bytes += delta.encoded.size();
            response.deltas.push_back(delta.encoded);
        }
        if (bytes <= maxPartBytes)
            return response;
        response.deltas.clear();
    }
    response.offset = isContinued ? request.offset : 0;
    response.totalBytes = m_encoded->size();
    response.part = m_encoded->substr(response.offset, maxPartBytes);
    return response;
}

bool PlanExchange::fetchFrom(FrameSocket& socket)
{
    const auto fail = [&](const char* message) -> bool {
        throw Exception({ ErrorKind::InvalidInput, "plan.fetch", socket.peerNode(), message });
    };
    PlanFetchRequestMessage request { revision(), 0, 0 };
    std::string encoded;
    for (int restarts = 0; restarts <= maxRestarts;) {
        socket.send(request);
        const auto received = socket.receive();
        const auto* response = std::get_if<PlanFetchResponseMessage>(&received);
        if (!response)
            return fail("the answer is not a plan");
        if (response->revision <= request.baseRevision)
            return false;
        if (!response->deltas.empty())
            return installDeltas(*response, socket.peerNode());
        if (response->part.empty() || response->totalBytes > maxPlanBytes)
            return fail("the plan's part is empty or the plan is too large");
        if (response->offset != encoded.size() || (response->offset > 0 && response->revision != request.revision)) {
            encoded.clear();
            ++restarts;
            if (response->offset != 0)
                return fail("the plan's parts do not fit together");
        }
        encoded += response->part;
        if (encoded.size() >= response->totalBytes) {
            auto plan = decodePlan(encoded);
            if (plan.revision != response->revision)
                return fail("the plan has another revision than its message");
            return install(std::move(plan), socket.peerNode());
        }
        request.revision = response->revision;
        request.offset = encoded.size();
    }
    return false;
}

bool PlanExchange::installDeltas(const PlanFetchResponseMessage& response, const std::string& peer)
{
    // Another thread may have installed some of the revisions meanwhile.
    const auto base = latest();
    if (!base)
        return false;
    Plan plan = *base;
    std::vector<std::string> used;
    for (const auto& encoded : response.deltas) {
        const auto delta = decodePlanDelta(encoded);
        if (delta.revision <= plan.revision)
            continue;
        auto next = delta.appliedTo(plan);
        if (!next)
            throw Exception({ ErrorKind::InvalidInput, "plan.fetch", peer, "a delta is missing in between" });
        plan = std::move(*next);
        used.push_back(encoded);
    }
    return !used.empty() && install(std::move(plan), peer, std::move(used));
}

} // namespace cyclamenstair
