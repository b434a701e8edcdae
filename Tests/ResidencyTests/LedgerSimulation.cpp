#include <Tests/ResidencyTests/LedgerSimulation.h>

#include <algorithm>

namespace cyclamenstair::testing {

namespace {

    constexpr uint32_t commandCount = 24;

    std::string instanceName(uint64_t instance) { return "i" + std::to_string(instance); }

} // namespace

LedgerSimulation::LedgerSimulation(bool isFenced, BrokenRule brokenRule)
    : m_isFenced(isFenced)
    , m_brokenRule(brokenRule)
{
    for (auto& owner : m_owners)
        owner.incarnation = "owner/" + std::to_string(m_nextId++);
}

void LedgerSimulation::step(uint32_t choice)
{
    static const std::array<Artifact, 4> s_artifacts { { { "m1", "", 60 }, { "m2", "", 55 }, { "m3", "", 30 },
        { "a1", "m1", 10 } } };
    const auto take = [&](uint32_t count) {
        const uint32_t value = choice % count;
        choice /= count;
        return value;
    };
    const auto command = take(commandCount);
    auto& owner = m_owners[take(3)];
    auto& other = m_owners[take(3)];
    const auto& artifact = s_artifacts[take(4)];
    const bool isAnswerLost = take(8) == 0;
    switch (command) {
    case 0:
        return takeOver(owner, isAnswerLost);
    case 1:
    case 2:
        return readReport(owner);
    case 3:
    case 4:
        return applyReport(owner);
    case 5:
    case 6:
    case 7:
        return recordLoad(owner, artifact, isAnswerLost);
    case 8:
    case 9:
        return recordUnload(owner, artifact.name, isAnswerLost);
    case 10:
    case 11:
    case 12:
    case 13:
        return send(owner);
    case 14:
    case 15:
    case 16:
        return deliver(choice);
    case 17:
    case 18:
    case 19:
        return receiveAnswer(owner);
    case 20:
        return timeOut(owner);
    case 21:
        return isAnswerLost ? restartEngine() : deliver(choice);
    case 22:
        return queryFormerOwner(owner, other);
    default:
        if (isAnswerLost)
            replaceOwner(owner, artifact.name != "m1");
    }
}

std::string LedgerSimulation::violation() const
{
    uint64_t used = 0;
    for (const auto& [artifact, bytes] : m_resident)
        used += bytes;
    if (used > capacityBytes)
        return "the engine's memory is overcommitted: " + std::to_string(used);
    // A ledger that has not seen the engine's restart yet is allowed to lag.
    if (m_stored.instance() != instanceName(m_instance))
        return "";
    for (const auto& entry : m_stored.entries()) {
        if (m_stored.isReachable(entry.artifact) && !m_resident.contains(entry.artifact))
            return "artifact " + entry.artifact + " is called reachable and is not resident";
    }
    return "";
}

bool LedgerSimulation::write(Owner& owner, const TargetLedger& ledger, bool isAnswerLost)
{
    if (owner.revision != m_revision) {
        owner.isOwner = false;
        return false;
    }
    m_stored = ledger;
    owner.ledger = ledger;
    owner.revision = ++m_revision;
    // An owner that does not hear of its write reads the record again before it orders, by a new takeover.
    owner.isOwner = !isAnswerLost;
    return !isAnswerLost;
}

void LedgerSimulation::takeOver(Owner& owner, bool isAnswerLost)
{
    if (owner.awaited || owner.recorded)
        return;
    owner.revision = m_revision;
    owner.report.reset();
    auto ledger = m_stored;
    ledger.takeOver(owner.incarnation);
    if (m_brokenRule != BrokenRule::None) {
        auto entries = ledger.entries();
        for (auto& entry : entries) {
            std::erase_if(entry.orders, [&](const auto& order) {
                return order.kind
                    == (m_brokenRule == BrokenRule::TakeoverFreesMemory ? OrderKind::Load : OrderKind::Unload);
            });
        }
        ledger = TargetLedger::create("t", owner.incarnation, ledger.epoch(), ledger.instance(), entries).value();
    }
    write(owner, ledger, isAnswerLost);
}

TargetReport LedgerSimulation::reportNow() const
{
    TargetReport report;
    report.instance = instanceName(m_instance);
    report.acknowledgedEpoch = m_isFenced ? m_engineEpoch : 0;
    for (const auto& [artifact, bytes] : m_resident)
        report.artifacts.push_back(artifact);
    return report;
}

void LedgerSimulation::readReport(Owner& owner)
{
    if (!owner.isIdle())
        return;
    if (m_isFenced)
        m_engineEpoch = std::max(m_engineEpoch, owner.ledger.epoch());
    owner.report = reportNow();
}

void LedgerSimulation::applyReport(Owner& owner)
{
    if (!owner.isIdle() || !owner.report)
        return;
    auto ledger = owner.ledger;
    for (const auto& sender : m_goneSenders)
        ledger.closeSender(sender);
    ledger.reconcile(*owner.report, capacityBytes);
    owner.report.reset();
    write(owner, ledger);
}

void LedgerSimulation::recordLoad(Owner& owner, const Artifact& artifact, bool isAnswerLost)
{
    if (!owner.isIdle())
        return;
    auto ledger = owner.ledger;
    if (!ledger.beginLoad(artifact.name, artifact.memoryBytes, capacityBytes, artifact.baseModel))
        return;
    owner.report.reset();
    if (write(owner, ledger, isAnswerLost))
        owner.recorded = Attempt { 0, OrderKind::Load, artifact.name, artifact.memoryBytes, 0, 0, false, false };
}

void LedgerSimulation::recordUnload(Owner& owner, const std::string& artifact, bool isAnswerLost)
{
    if (!owner.isIdle())
        return;
    auto ledger = owner.ledger;
    if (!ledger.beginUnload(artifact))
        return;
    owner.report.reset();
    if (write(owner, ledger, isAnswerLost))
        owner.recorded = Attempt { 0, OrderKind::Unload, artifact, 0, 0, 0, false, false };
}

void LedgerSimulation::send(Owner& owner)
{
    if (!owner.recorded)
        return;
    auto attempt = *owner.recorded;
    owner.recorded.reset();
    if (!owner.book->begin("t", owner.ledger.epoch()))
        return;
    attempt.id = m_nextId++;
    attempt.epoch = owner.ledger.epoch();
    attempt.instance = m_instance;
    owner.awaited = attempt.id;
    m_attempts.push_back(attempt);
}

void LedgerSimulation::deliver(size_t index)
{
    if (m_attempts.empty())
        return;
    auto& attempt = m_attempts[index % m_attempts.size()];
    if (attempt.isDelivered)
        return;
    attempt.isDelivered = true;
    if (m_isFenced && attempt.epoch < m_engineEpoch)
        return;
    m_engineEpoch = std::max(m_engineEpoch, attempt.epoch);
    m_lateEffects += attempt.epoch < m_stored.epoch() ? 1 : 0;
    attempt.isDone = true;
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

void LedgerSimulation::receiveAnswer(Owner& owner)
{
    const auto* attempt = owner.awaited ? findAttempt(*owner.awaited) : nullptr;
    if (!attempt || !attempt->isDelivered)
        return;
    owner.awaited.reset();
    owner.book->end("t", attempt->artifact, true);
    auto ledger = owner.ledger;
    if (attempt->kind == OrderKind::Load)
        ledger.finishLoad(attempt->artifact, attempt->isDone);
    else
        ledger.finishUnload(attempt->artifact, attempt->isDone);
    m_finishedLoads += attempt->kind == OrderKind::Load && attempt->isDone ? 1 : 0;
    if (owner.isOwner)
        write(owner, ledger);
}

void LedgerSimulation::timeOut(Owner& owner)
{
    if (!owner.awaited)
        return;
    // The log of the engine's connections forgets the attempt only when the engine restarts.
    const auto* attempt = findAttempt(*owner.awaited);
    const auto artifact = attempt ? attempt->artifact : owner.ledger.unansweredEntry()->artifact;
    owner.awaited.reset();
    owner.book->end("t", artifact, false);
    auto ledger = owner.ledger;
    ledger.loseAnswer(artifact);
    if (owner.isOwner)
        write(owner, ledger);
}

void LedgerSimulation::restartEngine()
{
    ++m_instance;
    m_resident.clear();
    m_attempts.clear();
}

void LedgerSimulation::queryFormerOwner(Owner& owner, Owner& former)
{
    if (!owner.isIdle())
        return;
    const auto state = former.book->close("t", owner.ledger.epoch());
    if (state.closure != OrderClosure::Closed)
        return;
    auto ledger = owner.ledger;
    ledger.settleSender(former.incarnation, reportNow(), capacityBytes, state.unanswered);
    write(owner, ledger);
}

void LedgerSimulation::replaceOwner(Owner& owner, bool isVmGone)
{
    if (isVmGone)
        m_goneSenders.push_back(owner.incarnation);
    owner = Owner();
    owner.incarnation = "owner/" + std::to_string(m_nextId++);
}

} // namespace cyclamenstair::testing
