#include <Cyclamenstair/Node/PlanExchange.h>

#include <Cyclamenstair/Codec/RecordCodec.h>

namespace cyclamenstair {

namespace {

    constexpr size_t maxCachedDeltas = 256;
    constexpr size_t maxCachedDeltaBytes = 4 << 20;
    constexpr size_t maxPlanBytes = 64 << 20;

    /// A fetch restarts if the peer's plan changes meanwhile. After this number of restarts it is abandoned until the
    /// next announcement or gossip exchange.
    constexpr int maxFetchRestarts = 3;

} // namespace

PlanExchange::PlanExchange(ActivePlan& activePlan, AuditTrail& audit)
    : m_activePlan(&activePlan)
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
    const auto previousRevision = m_activePlan->revision();
    if (m_activePlan->activateIfNewer(std::move(plan))) {
        AuditEntry entry;
        entry.kind = AuditKind::Plan;
        entry.actor = source;
        entry.action = "plan put in force";
        entry.fromRevision = previousRevision;
        entry.toRevision = revision;
        m_audit->record(std::move(entry));
    }
    return true;
}

bool PlanExchange::stage(const std::shared_ptr<const Plan>& plan, std::vector<std::string> encodedDeltas)
{
    const auto encoded = std::make_shared<const std::string>(encodePlan(*plan));
    std::lock_guard lock(m_mutex);
    if (m_staged && plan->revision <= m_staged->revision)
        return false;
    if (m_staged && plan->revision == m_staged->revision + 1 && encodedDeltas.empty())
        encodedDeltas.push_back(encodePlanDelta(PlanDelta::between(*m_staged, *plan)));
    // If intermediate deltas are missing, peers with an older plan fetch the whole plan.
    if (!m_staged || encodedDeltas.size() != plan->revision - m_staged->revision) {
        m_deltas.clear();
        m_deltaBytes = 0;
        encodedDeltas.clear();
    }
    auto revision = plan->revision - encodedDeltas.size();
    for (auto& delta : encodedDeltas) {
        m_deltaBytes += delta.size();
        m_deltas.push_back({ ++revision, std::move(delta) });
    }
    while (m_deltas.size() > maxCachedDeltas || m_deltaBytes > maxCachedDeltaBytes) {
        m_deltaBytes -= m_deltas.front().encoded.size();
        m_deltas.pop_front();
    }
    m_staged = plan;
    m_encodedStaged = encoded;
    return true;
}

std::shared_ptr<const Plan> PlanExchange::stagedPlan() const
{
    std::lock_guard lock(m_mutex);
    return m_staged;
}

uint64_t PlanExchange::stagedRevision() const
{
    std::lock_guard lock(m_mutex);
    return m_staged ? m_staged->revision : 0;
}

PlanFetchResponseMessage PlanExchange::handleFetch(const PlanFetchRequestMessage& request) const
{
    std::lock_guard lock(m_mutex);
    PlanFetchResponseMessage response;
    if (!m_staged)
        return response;
    response.revision = m_staged->revision;
    if (m_staged->revision <= request.baseRevision)
        return response;
    const bool isContinuation
        = request.offset > 0 && request.revision == m_staged->revision && request.offset < m_encodedStaged->size();
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
    response.offset = isContinuation ? request.offset : 0;
    response.totalBytes = m_encodedStaged->size();
    response.part = m_encodedStaged->substr(response.offset, maxPartBytes);
    return response;
}

bool PlanExchange::fetchFrom(FrameSocket& socket)
{
    const auto throwInvalid = [&](const char* message) -> bool {
        throw Exception({ ErrorKind::InvalidInput, "plan.fetch", socket.peerNode(), message });
    };
    PlanFetchRequestMessage request { stagedRevision(), 0, 0 };
    std::string encoded;
    for (int restarts = 0; restarts <= maxFetchRestarts;) {
        socket.send(request);
        const auto received = socket.receive();
        const auto* response = std::get_if<PlanFetchResponseMessage>(&received);
        if (!response)
            return throwInvalid("expected a plan fetch response, got another message");
        if (response->revision <= request.baseRevision)
            return false;
        if (!response->deltas.empty())
            return installDeltas(*response, socket.peerNode());
        if (response->part.empty() || response->totalBytes > maxPlanBytes)
            return throwInvalid("the part of the plan is empty, or the plan is larger than 64 MiB");
        if (response->offset != encoded.size() || (response->offset > 0 && response->revision != request.revision)) {
            encoded.clear();
            ++restarts;
            if (response->offset != 0)
                return throwInvalid("the part of the plan does not start at the requested offset or at 0");
        }
        encoded += response->part;
        if (encoded.size() >= response->totalBytes) {
            auto plan = decodePlan(encoded);
            if (plan.revision != response->revision)
                return throwInvalid("the revision of the decoded plan differs from that of the response");
            return install(std::move(plan), socket.peerNode());
        }
        request.revision = response->revision;
        request.offset = encoded.size();
    }
    return false;
}

bool PlanExchange::installDeltas(const PlanFetchResponseMessage& response, const std::string& peer)
{
    // Another thread may have installed some of these revisions meanwhile.
    const auto base = stagedPlan();
    if (!base)
        return false;
    Plan plan = *base;
    std::vector<std::string> appliedDeltas;
    for (const auto& encoded : response.deltas) {
        const auto delta = decodePlanDelta(encoded);
        if (delta.revision <= plan.revision)
            continue;
        auto next = delta.appliedTo(plan);
        if (!next)
            throw Exception(
                { ErrorKind::InvalidInput, "plan.fetch", peer, "the deltas of the plan are not consecutive" });
        plan = std::move(*next);
        appliedDeltas.push_back(encoded);
    }
    return !appliedDeltas.empty() && install(std::move(plan), peer, std::move(appliedDeltas));
}

} // namespace cyclamenstair
