#include <Cyclamenstair/Residency/TargetLedger.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

namespace {

    bool containsArtifact(const TargetReport& report, std::string_view artifact)
    {
        return std::find(report.artifacts.begin(), report.artifacts.end(), artifact) != report.artifacts.end();
    }

} // namespace

Result<TargetLedger> TargetLedger::create(
    std::string target, std::string owner, uint64_t epoch, std::string instance, std::vector<ResidencyEntry> entries)
{
    TargetLedger ledger(std::move(target));
    if (ledger.m_target.empty())
        return Error { ErrorKind::InvalidInput, "residency.ledger", "", "the ledger record has no target id" };
    ledger.m_owner = std::move(owner);
    ledger.m_epoch = epoch;
    ledger.m_instance = std::move(instance);
    for (auto& entry : entries) {
        if (ledger.find(entry.artifact))
            return Error { ErrorKind::InvalidInput, "residency.ledger", ledger.m_target,
                "artifact '" + entry.artifact + "' has more than one entry" };
        ledger.m_entries.push_back(std::move(entry));
    }
    return ledger;
}

uint64_t TargetLedger::reservedBytes() const
{
    uint64_t totalBytes = 0;
    for (const auto& entry : m_entries) {
        if (entry.mayBeResident())
            totalBytes += entry.memoryBytes;
    }
    return totalBytes;
}

const ResidencyEntry* TargetLedger::find(std::string_view artifact) const
{
    const auto found = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.artifact == artifact; });
    return found == m_entries.end() ? nullptr : &*found;
}

ResidencyEntry* TargetLedger::findMutable(std::string_view artifact)
{
    return const_cast<ResidencyEntry*>(std::as_const(*this).find(artifact));
}

Result<ResidencyEntry> TargetLedger::makeError(ErrorKind kind, const std::string& message) const
{
    return Error { kind, "residency.ledger", m_target, message };
}

bool TargetLedger::isReachable(std::string_view artifact) const
{
    const auto* entry = find(artifact);
    return entry && entry->isCertainlyResident() && (entry->baseModel.empty() || isReachable(entry->baseModel));
}

bool TargetLedger::hasUnresolvedOrder() const { return !unresolvedSenders().empty(); }

bool TargetLedger::hasUnresolvedOrderFor(std::string_view artifact) const
{
    const auto* entry = find(artifact);
    return entry && std::any_of(entry->orders.begin(), entry->orders.end(), [&](const auto& order) {
        return order.epoch != m_epoch || order.isAnswered;
    });
}

const ResidencyEntry* TargetLedger::unansweredEntry() const
{
    const auto found = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const auto& entry) { return unansweredOrder(entry.artifact); });
    return found == m_entries.end() ? nullptr : &*found;
}

const OpenOrder* TargetLedger::unansweredOrder(std::string_view artifact) const
{
    const auto* entry = find(artifact);
    if (!entry)
        return nullptr;
    const auto found = std::find_if(entry->orders.begin(), entry->orders.end(),
        [&](const auto& order) { return order.epoch == m_epoch && !order.isAnswered; });
    return found == entry->orders.end() ? nullptr : &*found;
}

std::vector<std::string> TargetLedger::unresolvedSenders() const
{
    std::vector<std::string> senders;
    for (const auto& entry : m_entries) {
        for (const auto& order : entry.orders) {
            if (order.epoch != m_epoch && std::find(senders.begin(), senders.end(), order.sender) == senders.end())
                senders.push_back(order.sender);
        }
    }
    return senders;
}

void TargetLedger::takeOver(const std::string& owner)
{
    m_owner = owner;
    ++m_epoch;
}

Result<uint64_t> TargetLedger::release()
{
    for (const auto& entry : m_entries) {
        for (const auto& order : entry.orders) {
            if (order.epoch == m_epoch)
                return Error { ErrorKind::Conflict, "residency.ledger", m_target,
                    "cannot release the target: an order for artifact '" + entry.artifact + "' is open" };
        }
    }
    m_owner.clear();
    return m_epoch;
}

std::optional<Result<ResidencyEntry>> TargetLedger::retryUnansweredOrder(const std::string& artifact, OrderKind kind)
{
    const auto* openEntry = unansweredEntry();
    if (!openEntry)
        return std::nullopt;
    const auto* order = unansweredOrder(artifact);
    if (order && order->kind == kind) {
        auto* entry = findMutable(artifact);
        for (auto& retried : entry->orders) {
            if (retried.epoch == m_epoch && !retried.isAnswered) {
                retried.isClosed = false;
                retried.closedInstance.clear();
            }
        }
        return *entry;
    }
    // If the target ignores fencing, only one order may be unanswered, which bounds what an owner can leave unresolved.
    if (order || m_ignoresFencing)
        return makeError(
            ErrorKind::Conflict, "the order for artifact '" + openEntry->artifact + "' has not been answered yet");
    return std::nullopt;
}

Result<ResidencyEntry> TargetLedger::beginLoad(
    const std::string& artifact, uint64_t memoryBytes, uint64_t capacityBytes, const std::string& baseModel)
{
    if (auto retried = retryUnansweredOrder(artifact, OrderKind::Load))
        return *retried;
    if (std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.isForeign; }))
        return makeError(ErrorKind::Conflict, "the target holds an artifact without a recorded order");
    if (!baseModel.empty() && !isReachable(baseModel))
        return makeError(ErrorKind::Conflict, "the base model of artifact '" + artifact + "' is not resident");
    auto* entry = findMutable(artifact);
    if (entry && entry->state == ResidencyState::Resident)
        return makeError(ErrorKind::Conflict, "artifact '" + artifact + "' is already resident");

    // Reuses the reservation of an earlier order, regardless of that order's outcome.
    const uint64_t requiredBytes = entry ? std::max(entry->memoryBytes, memoryBytes) : memoryBytes;
    const uint64_t otherReservedBytes = reservedBytes() - (entry && entry->mayBeResident() ? entry->memoryBytes : 0);
    if (requiredBytes > capacityBytes || otherReservedBytes > capacityBytes - requiredBytes)
        return makeError(ErrorKind::LimitExceeded, "not enough memory for artifact '" + artifact + "'");
    if (!entry)
        entry = &m_entries.emplace_back();
    entry->artifact = artifact;
    entry->baseModel = baseModel;
    entry->memoryBytes = requiredBytes;
    entry->orders.push_back({ OrderKind::Load, m_owner, m_epoch, false, false, false, "" });
    assert(reservedBytes() <= capacityBytes);
    return *entry;
}

Result<ResidencyEntry> TargetLedger::beginUnload(const std::string& artifact)
{
    if (auto retried = retryUnansweredOrder(artifact, OrderKind::Unload))
        return *retried;
    auto* entry = findMutable(artifact);
    if (!entry || entry->state != ResidencyState::Resident)
        return makeError(ErrorKind::Conflict, "artifact '" + artifact + "' is not resident");
    // A delayed load could take effect after the unload, or a delayed unload after the next load.
    if (!entry->orders.empty())
        return makeError(ErrorKind::Conflict, "an earlier order for artifact '" + artifact + "' is unresolved");
    for (const auto& other : m_entries) {
        if (other.baseModel == artifact && other.mayBeResident())
            return makeError(
                ErrorKind::Conflict, "adapter '" + other.artifact + "' still depends on artifact '" + artifact + "'");
    }
    entry->orders.push_back({ OrderKind::Unload, m_owner, m_epoch, false, false, false, "" });
    return *entry;
}

void TargetLedger::finishLoad(std::string_view artifact, bool isSuccess)
{
    finishOrder(artifact, OrderKind::Load, isSuccess);
}

void TargetLedger::finishUnload(std::string_view artifact, bool isSuccess)
{
    finishOrder(artifact, OrderKind::Unload, isSuccess);
}

void TargetLedger::finishOrder(std::string_view artifact, OrderKind kind, bool isSuccess)
{
    auto* entry = findMutable(artifact);
    const auto* currentOrder = unansweredOrder(artifact);
    if (!entry || !currentOrder || currentOrder->kind != kind)
        return;
    // An earlier unanswered attempt may still take effect after this response.
    const bool hasLostAttempt = currentOrder->hasLostAttempt;
    std::erase_if(entry->orders, [&](OpenOrder& order) {
        if (order.epoch != m_epoch)
            return false;
        if (order.isAnswered)
            return hasLostAttempt && order.kind == kind; // The newer order of this kind also covers the older one.
        order.isAnswered = true;
        order.isClosed = true;
        return !hasLostAttempt;
    });
    if (isSuccess) {
        entry->state = kind == OrderKind::Load ? ResidencyState::Resident : ResidencyState::Absent;
        entry->isForeign = entry->isForeign && kind == OrderKind::Load;
    }
    std::erase_if(m_entries, [](const auto& row) { return !row.mayBeResident() && row.orders.empty(); });
}

void TargetLedger::recordLostResponse(std::string_view artifact)
{
    auto* entry = findMutable(artifact);
    if (!entry)
        return;
    for (auto& order : entry->orders) {
        if (order.epoch == m_epoch && !order.isAnswered) {
            order.hasLostAttempt = true;
            order.isClosed = true;
        }
    }
}

void TargetLedger::resolveOrdersFrom(std::string_view sender, const TargetReport& report, uint64_t capacityBytes,
    const std::vector<std::string>& unanswered)
{
    for (auto& entry : m_entries) {
        const bool isAnswered = std::find(unanswered.begin(), unanswered.end(), entry.artifact) == unanswered.end();
        std::erase_if(entry.orders, [&](OpenOrder& order) {
            if (order.sender != sender || order.epoch == m_epoch)
                return false;
            order.isClosed = true;
            return isAnswered && !order.hasLostAttempt;
        });
    }
    reconcile(report, capacityBytes);
}

void TargetLedger::closeOrdersFrom(std::string_view sender)
{
    for (auto& entry : m_entries) {
        for (auto& order : entry.orders) {
            if (order.sender == sender && order.epoch != m_epoch)
                order.isClosed = true;
        }
    }
}

bool TargetLedger::canNoLongerTakeEffect(OpenOrder& order, const TargetReport& report) const
{
    // A target that enforces the current epoch rejects all orders of previous owners.
    if (order.epoch < m_epoch && report.acknowledgedEpoch == m_epoch)
        return true;
    if (!order.isClosed)
        return false;
    // Only a restart after the order was closed is evidence: before, an attempt could have been sent to the new
    // instance.
    if (order.closedInstance.empty())
        order.closedInstance = report.instance;
    return order.closedInstance != report.instance;
}

bool TargetLedger::reconcile(const TargetReport& report, uint64_t capacityBytes)
{
    const auto before = m_entries;
    const auto previousInstance = std::exchange(m_instance, report.instance);
    m_ignoresFencing = report.acknowledgedEpoch != m_epoch;
    for (auto& entry : m_entries) {
        std::erase_if(entry.orders, [&](OpenOrder& order) { return canNoLongerTakeEffect(order, report); });
        entry.state = containsArtifact(report, entry.artifact) ? ResidencyState::Resident : ResidencyState::Absent;
    }
    for (const auto& artifact : report.artifacts) {
        if (!find(artifact))
            m_entries.push_back({ artifact, "", capacityBytes, ResidencyState::Resident, true, {} });
    }
    std::erase_if(m_entries, [](const auto& entry) { return !entry.mayBeResident() && entry.orders.empty(); });
    return previousInstance != m_instance || before != m_entries;
}

} // namespace cyclamenstair
