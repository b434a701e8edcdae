#include <Cyclamenstair/Node/TargetWorker.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    /// Together with the spread by gossip and the grace time of the target directory this stays below the 3 s within
    /// which a leaving target must get no new work.
    constexpr Duration healthInterval = milliseconds(250);
    constexpr Duration healthTimeout = milliseconds(500);
    constexpr Duration inactiveInterval = milliseconds(1000);

} // namespace

TargetWorker::TargetWorker(StoreClient& store, const SenderStatusResolver& evidence, const VmInfo& vm,
    TargetWorkerSettings settings, OnChange onChange, OnOrderEnd onOrderEnd)
    : m_settings(settings)
    , m_target(vm.id)
    , m_address(vm.address)
    , m_onChange(std::move(onChange))
    , m_onOrderEnd(std::move(onOrderEnd))
    , m_operator(store, evidence, vm, settings.orderTimeout)
    , m_snapshot { vm, false, false, false, vm.state == VmState::Leaving, TargetLedger(vm.id) }
    , m_isLeavingInList(vm.state == VmState::Leaving)
    , m_healthThread("target_health", [this] { return readHealth(); })
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
        m_isLeavingInList = vm.state == VmState::Leaving;
        const bool isLeaving = m_isLeavingInList || m_isLeavingByHealth;
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
        m_orders.insert(m_orders.end(), std::make_move_iterator(orders.begin()), std::make_move_iterator(orders.end()));
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
    dropOrders();
    m_operator.release();
}

Duration TargetWorker::step()
{
    if (!m_isActive) {
        dropOrders();
        if (m_operator.isOwner()) {
            m_operator.release();
            setRead(false);
            updateSnapshot(false);
        }
        return inactiveInterval;
    }
    const bool isPrepared = m_operator.prepare();
    setRead(isPrepared);
    if (isPrepared)
        carryOutOrders();
    else
        dropOrders();
    updateSnapshot(isPrepared);
    return m_settings.interval;
}

void TargetWorker::carryOutOrders()
{
    while (const auto order = nextOrder()) {
        updateSnapshot(false);
        const bool isDone = m_operator.carryOut(*order);
        logEvent(LogSeverity::Info, "move",
            { { "kind", std::string(nameOf(order->kind)) }, { "artifact", order->artifact },
                { "target", order->target }, { "reason", std::string(nameOf(order->reason)) }, { "from", order->from },
                { "epoch", std::to_string(m_operator.ledger().epoch()) }, { "result", isDone ? "done" : "not_done" } });
        updateSnapshot(false);
        m_onOrderEnd(*order, isDone);
        // The later orders rely on the earlier ones.
        if (!isDone || !m_isActive)
            dropOrders();
    }
}

std::optional<PlacementOrder> TargetWorker::nextOrder()
{
    std::lock_guard lock(m_mutex);
    if (m_orders.empty())
        return std::nullopt;
    auto order = std::move(m_orders.front());
    m_orders.pop_front();
    return order;
}

void TargetWorker::dropOrders()
{
    while (const auto order = nextOrder())
        m_onOrderEnd(*order, false);
}

Duration TargetWorker::readHealth()
{
    const bool isActive = m_isActive;
    const auto isLeaving = isActive ? EngineClient(m_address).isLeaving(healthTimeout) : std::nullopt;
    if (!isLeaving)
        return healthInterval;
    {
        std::lock_guard lock(m_mutex);
        m_isLeavingByHealth = *isLeaving;
        const bool isLeavingNow = m_isLeavingInList || m_isLeavingByHealth;
        if (isLeavingNow == m_snapshot.isLeaving)
            return healthInterval;
        m_snapshot.isLeaving = isLeavingNow;
    }
    logEvent(LogSeverity::Info, "target_leaving_changed",
        { { "target", m_target }, { "leaving", *isLeaving ? "true" : "false" } });
    m_onChange(*this);
    return healthInterval;
}

void TargetWorker::setRead(bool isRead)
{
    std::lock_guard lock(m_mutex);
    m_snapshot.isRead = isRead;
}

void TargetWorker::updateSnapshot(bool isPrepared)
{
    {
        std::lock_guard lock(m_mutex);
        m_snapshot.isOwned = m_operator.isOwner();
        m_snapshot.isOrderable = isPrepared && m_snapshot.isOwned && m_orders.empty();
        m_snapshot.ledger = m_operator.ledger();
    }
    m_onChange(*this);
}

} // namespace cyclamenstair
