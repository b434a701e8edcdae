#include <Tests/ResidencyTests/LedgerSimulation.h>

#include <algorithm>

namespace cyclamenstair::testing {

namespace {

    constexpr uint32_t commandCount = 24;

    std::string instanceName(uint64_t instance) { return "i" + std::to_string(instance); }

} // namespace

LedgerSimulation::LedgerSimulation(bool enforcesFencing, OmittedRule omittedRule)
    : m_enforcesFencing(enforcesFencing)
    , m_omittedRule(omittedRule)
{
    for (auto& owner : m_owners)
        owner.incarnation = "owner/" + std::to_string(m_nextId++);
}

void LedgerSimulation::executeStep(uint32_t encodedStep)
{
    static const std::array<Artifact, 4> s_artifacts { { { "m1", "", 60 }, { "m2", "", 55 }, { "m3", "", 30 },
        { "a1", "m1", 10 } } };
    const auto takeDigit = [&](uint32_t base) {
        const uint32_t digit = encodedStep % base;
        encodedStep /= base;
        return digit;
    };
    const auto command = takeDigit(commandCount);
    auto& owner = m_owners[takeDigit(3)];
    auto& otherOwner = m_owners[takeDigit(3)];
    const auto& artifact = s_artifacts[takeDigit(4)];
    const bool isResponseLost = takeDigit(8) == 0;
    switch (command) {
    case 0:
        return takeOver(owner, isResponseLost);
    case 1:
    case 2:
        return readReport(owner);
    case 3:
    case 4:
        return applyReport(owner);
    case 5:
    case 6:
    case 7:
        return recordLoad(owner, artifact, isResponseLost);
    case 8:
    case 9:
        return recordUnload(owner, artifact.name, isResponseLost);
    case 10:
    case 11:
    case 12:
    case 13:
        return send(owner);
    case 14:
    case 15:
    case 16:
        return deliverAttempt(encodedStep);
    case 17:
    case 18:
    case 19:
        return receiveResponse(owner);
    case 20:
        return timeOutAttempt(owner);
    case 21:
        return isResponseLost ? restartEngine() : deliverAttempt(encodedStep);
    case 22:
        return queryPreviousOwner(owner, otherOwner);
    default:
        if (isResponseLost)
            restartOwner(owner, artifact.name != "m1");
    }
}

std::string LedgerSimulation::findViolation() const
{
    uint64_t usedBytes = 0;
    for (const auto& [artifact, bytes] : m_resident)
        usedBytes += bytes;
    if (usedBytes > capacityBytes)
        return "the engine's memory is overcommitted, bytes in use: " + std::to_string(usedBytes);
    // The ledger may be outdated until an owner has read a report from the restarted engine.
    if (m_storedLedger.instance() != instanceName(m_engineInstance))
        return "";
    for (const auto& entry : m_storedLedger.entries()) {
        if (m_storedLedger.isReachable(entry.artifact) && !m_resident.contains(entry.artifact))
            return "artifact " + entry.artifact + " is reachable according to the ledger but not resident";
    }
    return "";
}

bool LedgerSimulation::writeRecord(Owner& owner, const TargetLedger& ledger, bool isResponseLost)
{
    if (owner.revision != m_revision) {
        owner.isOwner = false;
        return false;
    }
    m_storedLedger = ledger;
    owner.ledger = ledger;
    owner.revision = ++m_revision;
    // An owner without a response to its write takes over again, which rereads the record, before it sends orders.
    owner.isOwner = !isResponseLost;
    return !isResponseLost;
}

void LedgerSimulation::takeOver(Owner& owner, bool isResponseLost)
{
    if (owner.awaitedAttemptId || owner.recordedAttempt)
        return;
    owner.revision = m_revision;
    owner.report.reset();
    auto ledger = m_storedLedger;
    ledger.takeOver(owner.incarnation);
    if (m_omittedRule != OmittedRule::None) {
        auto entries = ledger.entries();
        for (auto& entry : entries) {
            std::erase_if(entry.orders, [&](const auto& order) {
                return order.kind
                    == (m_omittedRule == OmittedRule::KeepUnansweredLoads ? OrderKind::Load : OrderKind::Unload);
            });
        }
        ledger = TargetLedger::create("t", owner.incarnation, ledger.epoch(), ledger.instance(), entries).value();
    }
    writeRecord(owner, ledger, isResponseLost);
}

TargetReport LedgerSimulation::currentReport() const
{
    TargetReport report;
    report.instance = instanceName(m_engineInstance);
    report.acknowledgedEpoch = m_enforcesFencing ? m_engineEpoch : 0;
    for (const auto& [artifact, bytes] : m_resident)
        report.artifacts.push_back(artifact);
    return report;
}

void LedgerSimulation::readReport(Owner& owner)
{
    if (!owner.isIdleOwner())
        return;
    if (m_enforcesFencing)
        m_engineEpoch = std::max(m_engineEpoch, owner.ledger.epoch());
    owner.report = currentReport();
}

void LedgerSimulation::applyReport(Owner& owner)
{
    if (!owner.isIdleOwner() || !owner.report)
        return;
    auto ledger = owner.ledger;
    for (const auto& sender : m_sendersOnRemovedVms)
        ledger.closeOrdersFrom(sender);
    ledger.reconcile(*owner.report, capacityBytes);
    owner.report.reset();
    writeRecord(owner, ledger);
}

void LedgerSimulation::recordLoad(Owner& owner, const Artifact& artifact, bool isResponseLost)
{
    if (!owner.isIdleOwner())
        return;
    auto ledger = owner.ledger;
    if (!ledger.beginLoad(artifact.name, artifact.memoryBytes, capacityBytes, artifact.baseModel))
        return;
    owner.report.reset();
    if (writeRecord(owner, ledger, isResponseLost))
        owner.recordedAttempt = Attempt { 0, OrderKind::Load, artifact.name, artifact.memoryBytes, 0, 0, false, false };
}

void LedgerSimulation::recordUnload(Owner& owner, const std::string& artifact, bool isResponseLost)
{
    if (!owner.isIdleOwner())
        return;
    auto ledger = owner.ledger;
    if (!ledger.beginUnload(artifact))
        return;
    owner.report.reset();
    if (writeRecord(owner, ledger, isResponseLost))
        owner.recordedAttempt = Attempt { 0, OrderKind::Unload, artifact, 0, 0, 0, false, false };
}

void LedgerSimulation::send(Owner& owner)
{
    if (!owner.recordedAttempt)
        return;
    auto attempt = *owner.recordedAttempt;
    owner.recordedAttempt.reset();
    if (!owner.orderTracker->begin("t", owner.ledger.epoch()))
        return;
    attempt.id = m_nextId++;
    attempt.epoch = owner.ledger.epoch();
    attempt.instance = m_engineInstance;
    owner.awaitedAttemptId = attempt.id;
    m_attempts.push_back(attempt);
}

void LedgerSimulation::deliverAttempt(size_t index)
{
    if (m_attempts.empty())
        return;
    auto& attempt = m_attempts[index % m_attempts.size()];
    if (attempt.isDelivered)
        return;
    attempt.isDelivered = true;
    if (m_enforcesFencing && attempt.epoch < m_engineEpoch)
        return;
    m_engineEpoch = std::max(m_engineEpoch, attempt.epoch);
    m_lateEffectCount += attempt.epoch < m_storedLedger.epoch() ? 1 : 0;
    attempt.hasTakenEffect = true;
    if (attempt.kind == OrderKind::Load)
        m_resident.emplace(attempt.artifact, attempt.memoryBytes);
    else
        m_resident.erase(attempt.artifact);
}

LedgerSimulation::Attempt* LedgerSimulation::findAttempt(uint64_t id)
{
    const auto found
        = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto& attempt) { return attempt.id == id; });
    return found == m_attempts.end() ? nullptr : &*found;
}

void LedgerSimulation::receiveResponse(Owner& owner)
{
    const auto* attempt = owner.awaitedAttemptId ? findAttempt(*owner.awaitedAttemptId) : nullptr;
    if (!attempt || !attempt->isDelivered)
        return;
    owner.awaitedAttemptId.reset();
    owner.orderTracker->end("t", attempt->artifact, true);
    auto ledger = owner.ledger;
    if (attempt->kind == OrderKind::Load)
        ledger.finishLoad(attempt->artifact, attempt->hasTakenEffect);
    else
        ledger.finishUnload(attempt->artifact, attempt->hasTakenEffect);
    m_finishedLoadCount += attempt->kind == OrderKind::Load && attempt->hasTakenEffect ? 1 : 0;
    if (owner.isOwner)
        writeRecord(owner, ledger);
}

void LedgerSimulation::timeOutAttempt(Owner& owner)
{
    if (!owner.awaitedAttemptId)
        return;
    // The attempt is missing only if the engine has restarted.
    const auto* attempt = findAttempt(*owner.awaitedAttemptId);
    const auto artifact = attempt ? attempt->artifact : owner.ledger.unansweredEntry()->artifact;
    owner.awaitedAttemptId.reset();
    owner.orderTracker->end("t", artifact, false);
    auto ledger = owner.ledger;
    ledger.recordLostResponse(artifact);
    if (owner.isOwner)
        writeRecord(owner, ledger);
}

void LedgerSimulation::restartEngine()
{
    ++m_engineInstance;
    m_resident.clear();
    m_attempts.clear();
}

void LedgerSimulation::queryPreviousOwner(Owner& owner, Owner& previousOwner)
{
    if (!owner.isIdleOwner())
        return;
    const auto state = previousOwner.orderTracker->closeEpochsBefore("t", owner.ledger.epoch());
    if (state.closure != OrderClosure::Closed)
        return;
    auto ledger = owner.ledger;
    ledger.resolveOrdersFrom(previousOwner.incarnation, currentReport(), capacityBytes, state.unanswered);
    writeRecord(owner, ledger);
}

void LedgerSimulation::restartOwner(Owner& owner, bool isVmRemoved)
{
    if (isVmRemoved)
        m_sendersOnRemovedVms.push_back(owner.incarnation);
    owner = Owner();
    owner.incarnation = "owner/" + std::to_string(m_nextId++);
}

} // namespace cyclamenstair::testing
