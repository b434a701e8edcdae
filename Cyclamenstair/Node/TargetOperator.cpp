#include <Cyclamenstair/Node/TargetOperator.h>

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr Duration reportTimeout = milliseconds(1000);

    std::string ledgerKey(const std::string& target) { return "ledger/" + target; }

} // namespace

TargetOperator::TargetOperator(StoreClient& store, VmInfo vm, std::string sender, Duration orderTimeout)
    : m_store(&store)
    , m_vm(std::move(vm))
    , m_sender(std::move(sender))
    , m_orderTimeout(orderTimeout)
    , m_engine(m_vm.address)
    , m_ledger(m_vm.id)
{
}

bool TargetOperator::prepare()
{
    if (!m_isOwner && !takeOwnership())
        return false;
    if (!m_hasAcknowledgedEpoch) {
        if (!m_engine.acknowledgeEpoch(m_ledger.epoch(), reportTimeout))
            return false;
        m_hasAcknowledgedEpoch = true;
    }
    const auto report = m_engine.report(reportTimeout);
    if (!report)
        return false;
    auto changed = m_ledger;
    if (report->instance != m_ledger.instance())
        m_hasAcknowledgedEpoch = false;
    return !changed.reconcile(*report, m_vm.memoryBytes) || writeLedger(changed);
}

bool TargetOperator::load(const LoadRequest& request)
{
    auto reserved = m_ledger;
    if (const auto entry = reserved.beginLoad(request.artifact, request.memoryBytes, m_vm.memoryBytes, request.baseModel); !entry) {
        logError(LogSeverity::Debug, "load_not_possible", entry.error());
        return false;
    }
    if (!writeLedger(reserved))
        return false;
    const auto outcome = m_engine.order(
        { OrderKind::Load, request.artifact, request.baseModel, request.memoryBytes, m_ledger.epoch() },
        m_orderTimeout);
    auto settled = m_ledger;
    std::visit(Overloaded {
                   [&](const OrderDone&) { settled.finishLoad(request.artifact, true); },
                   [&](const OrderRefused& refused) {
                       logEvent(LogSeverity::Warning, "load_refused",
                           { { "target", m_vm.id }, { "artifact", request.artifact }, { "message", refused.message } });
                       settled.finishLoad(request.artifact, false);
                   },
                   // The entry stays as it is; the next round repeats the order.
                   [&](const OrderUnknown& unknown) {
                       logEvent(LogSeverity::Warning, "load_unknown",
                           { { "target", m_vm.id }, { "artifact", request.artifact }, { "message", unknown.message } });
                   },
               },
        outcome);
    return writeLedger(settled) && m_ledger.isReachable(request.artifact);
}

bool TargetOperator::unload(const std::string& artifact)
{
    auto marked = m_ledger;
    if (!marked.beginUnload(artifact))
        return false;
    if (!writeLedger(marked))
        return false;
    const auto outcome = m_engine.order({ OrderKind::Unload, artifact, "", 0, m_ledger.epoch() }, m_orderTimeout);
    if (!std::holds_alternative<OrderDone>(outcome))
        return false;
    auto settled = m_ledger;
    settled.finishUnload(artifact);
    return writeLedger(settled);
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
    if (!readLedger())
        return false;
    auto taken = m_ledger;
    taken.takeOver(m_sender);
    m_hasAcknowledgedEpoch = false;
    m_isOwner = writeLedger(taken);
    if (m_isOwner) {
        logEvent(LogSeverity::Info, "target_ownership_taken",
            { { "target", m_vm.id }, { "epoch", std::to_string(m_ledger.epoch()) }, { "sender", m_sender } });
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
