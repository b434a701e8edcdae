#include <Cyclamenstair/Residency/TargetLedger.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

namespace {

    bool reports(const TargetReport& report, std::string_view artifact)
    {
        return std::find(report.artifacts.begin(), report.artifacts.end(), artifact) != report.artifacts.end();
    }

} // namespace

Result<TargetLedger> TargetLedger::create(
    std::string target, std::string owner, uint64_t epoch, std::string instance, std::vector<ResidencyEntry> entries)
{
    TargetLedger ledger(std::move(target));
    if (ledger.m_target.empty())
        return Error { ErrorKind::InvalidInput, "residency.ledger", "", "the record names no target" };
    ledger.m_owner = std::move(owner);
    ledger.m_epoch = epoch;
    ledger.m_instance = std::move(instance);
    for (auto& entry : entries) {
        if (ledger.find(entry.artifact))
            return Error { ErrorKind::InvalidInput, "residency.ledger", ledger.m_target,
                "artifact '" + entry.artifact + "' stands twice" };
        ledger.m_entries.push_back(std::move(entry));
    }
    return ledger;
}

uint64_t TargetLedger::reservedBytes() const
{
    uint64_t sum = 0;
    for (const auto& entry : m_entries) {
        if (entry.mayBeResident())
            sum += entry.memoryBytes;
    }
    return sum;
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

Result<ResidencyEntry> TargetLedger::refuse(ErrorKind kind, const std::string& message) const
{
    return Error { kind, "residency.ledger", m_target, message };
}

bool TargetLedger::isReachable(std::string_view artifact) const
{
    const auto* entry = find(artifact);
    return entry && entry->mustBeResident() && (entry->baseModel.empty() || isReachable(entry->baseModel));
}

bool TargetLedger::hasUnsettledOrder() const { return !unsettledSenders().empty(); }

bool TargetLedger::isUnsettled(std::string_view artifact) const
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

std::vector<std::string> TargetLedger::unsettledSenders() const
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
                    "an order for artifact '" + entry.artifact + "' is open" };
        }
    }
    m_owner.clear();
    return m_epoch;
}

std::optional<Result<ResidencyEntry>> TargetLedger::repeatOrder(const std::string& artifact, OrderKind kind)
{
    const auto* open = unansweredEntry();
    if (!open)
        return std::nullopt;
    const auto* order = unansweredOrder(artifact);
    if (order && order->kind == kind) {
        auto* entry = findMutable(artifact);
        for (auto& repeated : entry->orders) {
            if (repeated.epoch == m_epoch && !repeated.isAnswered) {
                repeated.isClosed = false;
                repeated.closedInstance.clear();
            }
        }
        return *entry;
    }
    // If the target ignores fencing, only one order may be without an answer, which bounds what one owner can leave
    // unsettled.
    if (order || m_ignoresFencing)
        return refuse(ErrorKind::Conflict, "the order for artifact '" + open->artifact + "' has no answer yet");
    return std::nullopt;
}

Result<ResidencyEntry> TargetLedger::beginLoad(
    const std::string& artifact, uint64_t memoryBytes, uint64_t capacityBytes, const std::string& baseModel)
{
    if (auto repeated = repeatOrder(artifact, OrderKind::Load))
        return *repeated;
    if (std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.isForeign; }))
        return refuse(ErrorKind::Conflict, "the target holds an artifact that is not accounted for");
    if (!baseModel.empty() && !isReachable(baseModel))
        return refuse(ErrorKind::Conflict, "the base model of artifact '" + artifact + "' is not resident");
    auto* entry = findMutable(artifact);
    if (entry && entry->state == ResidencyState::Resident)
        return refuse(ErrorKind::Conflict, "artifact '" + artifact + "' is resident");

    // A reservation of an earlier order is used again, whatever became of that order.
    const uint64_t needed = entry ? std::max(entry->memoryBytes, memoryBytes) : memoryBytes;
    const uint64_t others = reservedBytes() - (entry && entry->mayBeResident() ? entry->memoryBytes : 0);
    if (needed > capacityBytes || others > capacityBytes - needed)
        return refuse(ErrorKind::LimitExceeded, "no memory for artifact '" + artifact + "'");
    if (!entry)
        entry = &m_entries.emplace_back();
    entry->artifact = artifact;
    entry->baseModel = baseModel;
    entry->memoryBytes = needed;
    entry->orders.push_back({ OrderKind::Load, m_owner, m_epoch, false, false, false, "" });
    assert(reservedBytes() <= capacityBytes);
    return *entry;
}

Result<ResidencyEntry> TargetLedger::beginUnload(const std::string& artifact)
{
    if (auto repeated = repeatOrder(artifact, OrderKind::Unload))
        return *repeated;
    auto* entry = findMutable(artifact);
    if (!entry || entry->state != ResidencyState::Resident)
        return refuse(ErrorKind::Conflict, "artifact '" + artifact + "' is not resident");
    // A late load could follow the unload, and a late unload could follow the next load.
    if (!entry->orders.empty())
        return refuse(ErrorKind::Conflict, "an earlier order for artifact '" + artifact + "' is unsettled");
    for (const auto& other : m_entries) {
        if (other.baseModel == artifact && other.mayBeResident())
            return refuse(ErrorKind::Conflict, "adapter '" + other.artifact + "' needs artifact '" + artifact + "'");
    }
    entry->orders.push_back({ OrderKind::Unload, m_owner, m_epoch, false, false, false, "" });
    return *entry;
}

void TargetLedger::finishLoad(std::string_view artifact, bool isDone) { finish(artifact, OrderKind::Load, isDone); }

void TargetLedger::finishUnload(std::string_view artifact, bool isDone) { finish(artifact, OrderKind::Unload, isDone); }

void TargetLedger::finish(std::string_view artifact, OrderKind kind, bool isDone)
{
    auto* entry = findMutable(artifact);
    const auto* open = unansweredOrder(artifact);
    if (!entry || !open || open->kind != kind)
        return;
    // An earlier attempt without an answer may still take effect after this answer.
    const bool hasLostAttempt = open->hasLostAttempt;
    std::erase_if(entry->orders, [&](OpenOrder& order) {
        if (order.epoch != m_epoch)
            return false;
        if (order.isAnswered)
            return hasLostAttempt && order.kind == kind; // The newer order of this kind stands for the older one.
        order.isAnswered = true;
        order.isClosed = true;
        return !hasLostAttempt;
    });
    if (isDone) {
        entry->state = kind == OrderKind::Load ? ResidencyState::Resident : ResidencyState::Absent;
        entry->isForeign = entry->isForeign && kind == OrderKind::Load;
    }
    std::erase_if(m_entries, [](const auto& row) { return !row.mayBeResident() && row.orders.empty(); });
}

void TargetLedger::loseAnswer(std::string_view artifact)
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

void TargetLedger::settleSender(std::string_view sender, const TargetReport& report, uint64_t capacityBytes,
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

void TargetLedger::closeSender(std::string_view sender)
{
    for (auto& entry : m_entries) {
        for (auto& order : entry.orders) {
            if (order.sender == sender && order.epoch != m_epoch)
                order.isClosed = true;
        }
    }
}

bool TargetLedger::isEnded(OpenOrder& order, const TargetReport& report) const
{
    // A target that enforces the present epoch refuses every order of the owners before it.
    if (order.epoch < m_epoch && report.acknowledgedEpoch == m_epoch)
        return true;
    if (!order.isClosed)
        return false;
    // The restart must follow the end of sending, because an order could have been sent to the new instance.
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
        std::erase_if(entry.orders, [&](OpenOrder& order) { return isEnded(order, report); });
        entry.state = reports(report, entry.artifact) ? ResidencyState::Resident : ResidencyState::Absent;
    }
    for (const auto& artifact : report.artifacts) {
        if (!find(artifact))
            m_entries.push_back({ artifact, "", capacityBytes, ResidencyState::Resident, true, {} });
    }
    std::erase_if(m_entries, [](const auto& entry) { return !entry.mayBeResident() && entry.orders.empty(); });
    return previousInstance != m_instance || before != m_entries;
}

} // namespace cyclamenstair
