#include <Cyclamenstair/Node/TargetController.h>

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr Duration reportTimeout = milliseconds(1000);
    constexpr Duration senderQueryInterval = milliseconds(1000);
    /// Two nodes that consider each other dead acquire the targets from each other in turn. The backoff prevents a
    /// store write at every step.
    constexpr Duration acquisitionBackoff = milliseconds(2000);

    std::string ledgerKey(const std::string& target) { return "ledger/" + target; }

} // namespace

TargetController::TargetController(
    StoreClient& store, const SenderStatusResolver& senderStatus, VmInfo vm, Duration orderTimeout)
    : m_store(&store)
    , m_senderStatus(&senderStatus)
    , m_vm(std::move(vm))
    , m_orderTimeout(orderTimeout)
    , m_engine(m_vm.address)
    , m_ledger(m_vm.id)
{
}

bool TargetController::reconcile()
{
    if (!m_isOwner && !acquireOwnership())
        return false;
    auto report = readReport();
    if (!report)
        return false;
    auto updated = m_ledger;
    bool hasChanged = updated.reconcile(*report, m_vm.memoryBytes);
    hasChanged |= resolvePreviousOrders(updated, *report);
    if (!hasChanged)
        m_ledger = updated; // Keeps state of the report that is not part of the stored record.
    return !hasChanged || writeLedger(updated);
}

std::optional<TargetReport> TargetController::readReport()
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
    // Only a report read after the acknowledgement reflects all earlier orders.
    report = m_engine.report(reportTimeout);
    return report && report->acknowledgedEpoch == m_ledger.epoch() ? report : std::nullopt;
}

bool TargetController::resolvePreviousOrders(TargetLedger& ledger, TargetReport& report)
{
    const auto now = monotonicNow();
    if (!ledger.ignoresFencing() || !ledger.hasUnresolvedOrder() || now < m_nextSenderQueryAt)
        return false;
    m_nextSenderQueryAt = now + senderQueryInterval;
    const auto previousEntries = ledger.entries();
    for (const auto& sender : ledger.unresolvedSenders()) {
        std::visit(Overloaded {
                       [&](const OrderClosureState& state) {
                           if (state.closure != OrderClosure::Closed)
                               return;
                           // The report must be read after the sender confirmed that its orders are closed.
                           const auto laterReport = m_engine.report(reportTimeout);
                           if (!laterReport)
                               return;
                           report = *laterReport;
                           ledger.resolveOrdersFrom(sender, report, m_vm.memoryBytes, state.unanswered);
                       },
                       [&](const SenderVmRemoved&) { ledger.closeOrdersFrom(sender); },
                       [](const SenderStatusUnknown&) {},
                   },
            m_senderStatus->resolve(sender, m_vm.id, ledger.epoch()));
    }
    return previousEntries != ledger.entries();
}

Result<ResidencyEntry> TargetController::beginOrder(TargetLedger& ledger, const PlacementOrder& order) const
{
    return order.kind == OrderKind::Load
        ? ledger.beginLoad(order.artifact, order.memoryBytes, m_vm.memoryBytes, order.baseModel)
        : ledger.beginUnload(order.artifact);
}

bool TargetController::execute(const PlacementOrder& order)
{
    if (!m_isOwner)
        return false;
    auto withOrder = m_ledger;
    if (const auto entry = beginOrder(withOrder, order); !entry) {
        logError(LogSeverity::Info, "order_not_possible", entry.error());
        return false;
    }
    // Written before every order, including retries: the write fails if another node has taken over.
    if (!writeLedger(withOrder) || !m_senderStatus->orders().begin(m_vm.id, m_ledger.epoch())) {
        m_isOwner = false;
        return false;
    }
    const auto outcome = m_engine.order(
        { order.kind, order.artifact, order.baseModel, order.memoryBytes, m_ledger.epoch() }, m_orderTimeout);
    const bool isUnknown = std::holds_alternative<OrderOutcomeUnknown>(outcome);
    m_senderStatus->orders().end(m_vm.id, order.artifact, !isUnknown);

    auto withResult = m_ledger;
    const auto* unanswered = withResult.unansweredOrder(order.artifact);
    const bool hadLostAttempt = unanswered && unanswered->hasLostAttempt;
    bool isDone = false;
    std::visit(Overloaded {
                   [&](const OrderExecuted&) { isDone = true; },
                   [&](const OrderRefused& refused) {
                       logEvent(LogSeverity::Warning, "order_refused",
                           { { "target", m_vm.id }, { "artifact", order.artifact }, { "message", refused.message } });
                       // The retry did not reach the engine, so the order is still unanswered.
                       if (!refused.isSent && hadLostAttempt)
                           withResult.recordLostResponse(order.artifact);
                   },
                   [&](const OrderOutcomeUnknown& unknown) {
                       logEvent(LogSeverity::Warning, "order_unknown",
                           { { "target", m_vm.id }, { "artifact", order.artifact }, { "message", unknown.message } });
                       withResult.recordLostResponse(order.artifact);
                   },
               },
        outcome);
    const auto* refused = std::get_if<OrderRefused>(&outcome);
    const bool isAnswered = isDone || (refused && (refused->isSent || !hadLostAttempt));
    if (isAnswered && order.kind == OrderKind::Load)
        withResult.finishLoad(order.artifact, isDone);
    else if (isAnswered)
        withResult.finishUnload(order.artifact, isDone);
    const bool isWritten = writeLedger(withResult);
    // With fencing, the engine's acknowledgement of a higher epoch resolves the order.
    if (isUnknown && !m_ledger.ignoresFencing()) {
        m_isOwner = false;
        m_nextAcquisitionAt = {};
    }
    return isDone && isWritten;
}

void TargetController::releaseOwnership()
{
    if (!m_isOwner)
        return;
    auto released = m_ledger;
    if (const auto epoch = released.release(); epoch && writeLedger(released))
        logEvent(LogSeverity::Info, "target_ownership_released", { { "target", m_vm.id } });
    m_isOwner = false;
}

bool TargetController::readLedger()
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

bool TargetController::acquireOwnership()
{
    const auto now = monotonicNow();
    if (now < m_nextAcquisitionAt)
        return false;
    m_nextAcquisitionAt = now + acquisitionBackoff;
    if (!readLedger())
        return false;
    const auto previousOwner = m_ledger.owner();
    auto acquired = m_ledger;
    acquired.takeOver(m_senderStatus->incarnation());
    m_isOwner = writeLedger(acquired);
    if (m_isOwner) {
        logEvent(LogSeverity::Info, "target_ownership_taken",
            { { "target", m_vm.id }, { "epoch", std::to_string(m_ledger.epoch()) }, { "from", previousOwner },
                { "to", m_ledger.owner() } });
    }
    return m_isOwner;
}

bool TargetController::writeLedger(const TargetLedger& ledger)
{
    StoreTransaction transaction;
    transaction.compares.push_back({ ledgerKey(m_vm.id), m_storeRevision });
    const auto encoded = encodeLedger(ledger);
    transaction.mutations.emplace_back(StorePut { ledgerKey(m_vm.id), encoded });
    const auto outcome = m_store->transactAndConfirm(
        transaction, ledgerKey(m_vm.id), [&](const std::string& value) { return value == encoded; });
    if (const auto* applied = std::get_if<StoreApplied>(&outcome)) {
        m_ledger = ledger;
        m_storeRevision = applied->revision;
        return true;
    }
    // A conflict means that another node has taken over. After an unknown outcome the record must be read again before
    // the next order; acquiring ownership does this.
    m_isOwner = false;
    return false;
}

} // namespace cyclamenstair
