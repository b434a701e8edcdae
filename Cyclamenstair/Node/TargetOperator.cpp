#include <Cyclamenstair/Node/TargetOperator.h>

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr Duration reportTimeout = milliseconds(1000);
    constexpr Duration queryInterval = milliseconds(1000);
    /// While two nodes take each other for dead, each loses the targets to the other; the pause keeps them from
    /// writing at every step.
    constexpr Duration takeoverPause = milliseconds(2000);

    std::string ledgerKey(const std::string& target) { return "ledger/" + target; }

} // namespace

TargetOperator::TargetOperator(StoreClient& store, const OrderEvidence& evidence, VmInfo vm, Duration orderTimeout)
    : m_store(&store)
    , m_evidence(&evidence)
    , m_vm(std::move(vm))
    , m_orderTimeout(orderTimeout)
    , m_engine(m_vm.address)
    , m_ledger(m_vm.id)
{
}

bool TargetOperator::prepare()
{
    if (!m_isOwner && !takeOwnership())
        return false;
    auto report = readReport();
    if (!report)
        return false;
    auto changed = m_ledger;
    bool hasChanged = changed.reconcile(*report, m_vm.memoryBytes);
    hasChanged |= settleFormerOwners(changed, *report);
    if (!hasChanged)
        m_ledger = changed; // Takes over what the report shows beside the record.
    return !hasChanged || writeLedger(changed);
}

std::optional<TargetReport> TargetOperator::readReport()
{
    auto report = m_engine.report(reportTimeout);
    if (!report)
        return std::nullopt;
    if (report->acknowledgedEpoch > m_ledger.epoch()) {
        m_isOwner = false;
        return std::nullopt;
    }
    if (report->acknowledgedEpoch == m_ledger.epoch() || report->instance == m_unfencedInstance)
        return report;
    const auto acknowledged = m_engine.raiseFencingToken(m_ledger.epoch(), reportTimeout);
    if (!acknowledged)
        return std::nullopt;
    if (*acknowledged == 0) {
        m_unfencedInstance = report->instance;
        return report;
    }
    // Only a report after the acknowledgement shows the effects of all earlier orders.
    report = m_engine.report(reportTimeout);
    return report && report->acknowledgedEpoch == m_ledger.epoch() ? report : std::nullopt;
}

bool TargetOperator::settleFormerOwners(TargetLedger& changed, TargetReport& report)
{
    const auto now = monotonicNow();
    if (!changed.ignoresFencing() || !changed.hasUnsettledOrder() || now < m_nextQuery)
        return false;
    m_nextQuery = now + queryInterval;
    const auto before = changed.entries();
    for (const auto& sender : changed.unsettledSenders()) {
        std::visit(Overloaded {
                       [&](const OrderClosureState& state) {
                           if (state.closure != OrderClosure::Closed)
                               return;
                           // The report must follow the sender's confirmation.
                           const auto later = m_engine.report(reportTimeout);
                           if (!later)
                               return;
                           report = *later;
                           changed.settleSender(sender, report, m_vm.memoryBytes, state.unanswered);
                       },
                       [&](const SenderGone&) { changed.closeSender(sender); },
                       [](const NoEvidence&) {},
                   },
            m_evidence->ask(sender, m_vm.id, changed.epoch()));
    }
    return before != changed.entries();
}

Result<ResidencyEntry> TargetOperator::begin(TargetLedger& ledger, const PlacementOrder& order) const
{
    return order.kind == OrderKind::Load
        ? ledger.beginLoad(order.artifact, order.memoryBytes, m_vm.memoryBytes, order.baseModel)
        : ledger.beginUnload(order.artifact);
}

bool TargetOperator::carryOut(const PlacementOrder& order)
{
    if (!m_isOwner)
        return false;
    auto recorded = m_ledger;
    if (const auto entry = begin(recorded, order); !entry) {
        logError(LogSeverity::Info, "order_not_possible", entry.error());
        return false;
    }
    // The write precedes every order, also a repeated one: it fails if another node has taken over.
    if (!writeLedger(recorded) || !m_evidence->orders().begin(m_vm.id, m_ledger.epoch())) {
        m_isOwner = false;
        return false;
    }
    const auto outcome = m_engine.order(
        { order.kind, order.artifact, order.baseModel, order.memoryBytes, m_ledger.epoch() }, m_orderTimeout);
    const bool isUnknown = std::holds_alternative<OrderOutcomeUnknown>(outcome);
    m_evidence->orders().end(m_vm.id, order.artifact, !isUnknown);

    auto settled = m_ledger;
    const auto* open = settled.unansweredOrder(order.artifact);
    const bool hadLostAttempt = open && open->hasLostAttempt;
    bool isDone = false;
    std::visit(Overloaded {
                   [&](const OrderExecuted&) { isDone = true; },
                   [&](const OrderRefused& refused) {
                       logEvent(LogSeverity::Warning, "order_refused",
                           { { "target", m_vm.id }, { "artifact", order.artifact }, { "message", refused.message } });
                       // The repetition did not reach the engine, so the order still has no answer.
                       if (!refused.isSent && hadLostAttempt)
                           settled.loseAnswer(order.artifact);
                   },
                   [&](const OrderOutcomeUnknown& unknown) {
                       logEvent(LogSeverity::Warning, "order_unknown",
                           { { "target", m_vm.id }, { "artifact", order.artifact }, { "message", unknown.message } });
                       settled.loseAnswer(order.artifact);
                   },
               },
        outcome);
    const auto* refused = std::get_if<OrderRefused>(&outcome);
    const bool isAnswered = isDone || (refused && (refused->isSent || !hadLostAttempt));
    if (isAnswered && order.kind == OrderKind::Load)
        settled.finishLoad(order.artifact, isDone);
    else if (isAnswered)
        settled.finishUnload(order.artifact, isDone);
    const bool isWritten = writeLedger(settled);
    // An engine that honours fencing settles the order by the acknowledgement of a higher epoch.
    if (isUnknown && !m_ledger.ignoresFencing()) {
        m_isOwner = false;
        m_nextTakeover = {};
    }
    return isDone && isWritten;
}

void TargetOperator::release()
{
    if (!m_isOwner)
        return;
    auto released = m_ledger;
    if (const auto epoch = released.release(); epoch && writeLedger(released))
        logEvent(LogSeverity::Info, "target_ownership_released", { { "target", m_vm.id } });
    m_isOwner = false;
}

bool TargetOperator::readLedger()
{
    const auto read = m_store->range(ledgerKey(m_vm.id));
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return false;
    if (range->records.empty()) {
        m_ledger = TargetLedger(m_vm.id);
        m_storeRevision = 0;
        return true;
    }
    m_ledger = decodeLedger(range->records.front().value);
    m_storeRevision = range->records.front().modRevision;
    return true;
}

bool TargetOperator::takeOwnership()
{
    const auto now = monotonicNow();
    if (now < m_nextTakeover)
        return false;
    m_nextTakeover = now + takeoverPause;
    if (!readLedger())
        return false;
    const auto formerOwner = m_ledger.owner();
    auto taken = m_ledger;
    taken.takeOver(m_evidence->incarnation());
    m_isOwner = writeLedger(taken);
    if (m_isOwner) {
        logEvent(LogSeverity::Info, "target_ownership_taken",
            { { "target", m_vm.id }, { "epoch", std::to_string(m_ledger.epoch()) }, { "from", formerOwner },
                { "to", m_ledger.owner() } });
    }
    return m_isOwner;
}

bool TargetOperator::writeLedger(const TargetLedger& changed)
{
    StoreTransaction transaction;
    transaction.compares.push_back({ ledgerKey(m_vm.id), m_storeRevision });
    const auto encoded = encodeLedger(changed);
    transaction.mutations.emplace_back(StorePut { ledgerKey(m_vm.id), encoded });
    const auto outcome = m_store->transactSettled(
        transaction, ledgerKey(m_vm.id), [&](const std::string& value) { return value == encoded; });
    if (const auto* applied = std::get_if<StoreApplied>(&outcome)) {
        m_ledger = changed;
        m_storeRevision = applied->revision;
        return true;
    }
    // A conflict means that another node has taken over. After an unknown outcome the record must be read again before
    // the next order, which the next takeover does.
    m_isOwner = false;
    return false;
}

} // namespace cyclamenstair
