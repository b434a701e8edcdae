#include <Cyclamenstair/Node/TargetWorker.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    /// A leaving target must receive no new work after 3 s. This interval, the propagation by gossip and the grace
    /// period of the target directory together stay below that limit.
    constexpr Duration healthPollInterval = milliseconds(250);
    constexpr Duration healthTimeout = milliseconds(500);
    constexpr Duration inactiveStepInterval = milliseconds(1000);

} // namespace

TargetWorker::TargetWorker(StoreClient& store, const SenderStatusResolver& senderStatus, const VmInfo& vm,
    TargetWorkerSettings settings, OnChange onChange, OnOrderFinished onOrderFinished)
    : m_settings(settings)
    , m_target(vm.id)
    , m_address(vm.address)
    , m_onChange(std::move(onChange))
    , m_onOrderFinished(std::move(onOrderFinished))
    , m_controller(store, senderStatus, vm, settings.orderTimeout)
    , m_snapshot { vm, false, false, false, vm.state == VmState::Leaving, TargetLedger(vm.id) }
    , m_isLeavingInVmList(vm.state == VmState::Leaving)
    , m_healthThread("target_health", [this] { return pollHealth(); })
    , m_thread("target", [this] { return step(); })
{
}

void TargetWorker::setActive(bool isActive)
{
    if (m_isActive.exchange(isActive) != isActive)
        m_thread.wake();
}

void TargetWorker::setVm(const VmInfo& vm)
{
    {
        std::lock_guard lock(m_mutex);
        m_isLeavingInVmList = vm.state == VmState::Leaving;
        const bool isLeaving = m_isLeavingInVmList || m_isLeavingInHealth;
        if (isLeaving == m_snapshot.isLeaving)
            return;
        m_snapshot.isLeaving = isLeaving;
    }
    m_onChange(*this);
}

TargetSnapshot TargetWorker::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

void TargetWorker::submit(std::vector<PlacementOrder> orders)
{
    {
        std::lock_guard lock(m_mutex);
        m_queuedOrders.insert(
            m_queuedOrders.end(), std::make_move_iterator(orders.begin()), std::make_move_iterator(orders.end()));
        m_snapshot.isOrderable = false;
    }
    m_thread.wake();
}

void TargetWorker::stop()
{
    m_isStopping = true;
    m_isActive = false;
    m_healthThread.stop();
    m_thread.stop();
    discardOrders();
    m_controller.releaseOwnership();
}

Duration TargetWorker::step()
{
    if (!m_isActive) {
        discardOrders();
        if (m_controller.isOwner()) {
            m_controller.releaseOwnership();
            setReportCurrent(false);
            updateSnapshot(false);
        }
        return inactiveStepInterval;
    }
    const bool isReconciled = m_controller.reconcile();
    setReportCurrent(isReconciled);
    if (isReconciled)
        executeOrders();
    else
        discardOrders();
    updateSnapshot(isReconciled);
    return m_settings.reportInterval;
}

void TargetWorker::executeOrders()
{
    while (const auto order = popOrder()) {
        updateSnapshot(false);
        const bool isDone = m_controller.execute(*order);
        logEvent(LogSeverity::Info, "move",
            { { "kind", std::string(nameOf(order->kind)) }, { "artifact", order->artifact },
                { "target", order->target }, { "reason", std::string(nameOf(order->reason)) }, { "from", order->from },
                { "epoch", std::to_string(m_controller.ledger().epoch()) },
                { "result", isDone ? "done" : "not_done" } });
        updateSnapshot(false);
        m_onOrderFinished(*order, isDone);
        // Later orders depend on the earlier ones.
        if (!isDone || !m_isActive)
            discardOrders();
    }
}

std::optional<PlacementOrder> TargetWorker::popOrder()
{
    std::lock_guard lock(m_mutex);
    if (m_queuedOrders.empty())
        return std::nullopt;
    auto order = std::move(m_queuedOrders.front());
    m_queuedOrders.pop_front();
    return order;
}

void TargetWorker::discardOrders()
{
    while (const auto order = popOrder())
        m_onOrderFinished(*order, false);
}

Duration TargetWorker::pollHealth()
{
    const bool isActive = m_isActive;
    const auto isLeaving = isActive ? EngineClient(m_address).isLeaving(healthTimeout) : std::nullopt;
    if (!isLeaving)
        return healthPollInterval;
    {
        std::lock_guard lock(m_mutex);
        m_isLeavingInHealth = *isLeaving;
        const bool isLeavingNow = m_isLeavingInVmList || m_isLeavingInHealth;
        if (isLeavingNow == m_snapshot.isLeaving)
            return healthPollInterval;
        m_snapshot.isLeaving = isLeavingNow;
    }
    logEvent(LogSeverity::Info, "target_leaving_changed",
        { { "target", m_target }, { "leaving", *isLeaving ? "true" : "false" } });
    m_onChange(*this);
    return healthPollInterval;
}

void TargetWorker::setReportCurrent(bool isReportCurrent)
{
    std::lock_guard lock(m_mutex);
    m_snapshot.isReportCurrent = isReportCurrent;
}

void TargetWorker::updateSnapshot(bool isReconciled)
{
    {
        std::lock_guard lock(m_mutex);
        m_snapshot.isOwned = m_controller.isOwner();
        m_snapshot.isOrderable = isReconciled && m_snapshot.isOwned && m_queuedOrders.empty();
        m_snapshot.ledger = m_controller.ledger();
    }
    m_onChange(*this);
}

} // namespace cyclamenstair
