#include <Cyclamenstair/Residency/TargetLedger.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

namespace {

    Error ledgerError(ErrorKind kind, const std::string& target, std::string message)
    {
        return { kind, "residency.ledger", target, std::move(message) };
    }

    bool reports(const TargetReport& report, std::string_view artifact)
    {
        return std::find(report.artifacts.begin(), report.artifacts.end(), artifact) != report.artifacts.end();
    }

} // namespace

Result<TargetLedger> TargetLedger::create(
    std::string target, std::string owner, uint64_t epoch, std::string instance, std::vector<ResidencyEntry> entries)
{
    if (target.empty())
        return ledgerError(ErrorKind::InvalidInput, target, "the record names no target");
    TargetLedger ledger(std::move(target));
    ledger.m_owner = std::move(owner);
    ledger.m_epoch = epoch;
    ledger.m_instance = std::move(instance);
    for (auto& entry : entries) {
        if (ledger.find(entry.artifact))
            return ledgerError(
                ErrorKind::InvalidInput, ledger.m_target, "artifact '" + entry.artifact + "' stands twice");
        ledger.m_entries.push_back(std::move(entry));
    }
    return ledger;
}

uint64_t TargetLedger::reservedBytes() const
{
    uint64_t sum = 0;
    for (const auto& entry : m_entries)
        sum += entry.memoryBytes;
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

bool TargetLedger::isReachable(std::string_view artifact) const
{
    const auto* entry = find(artifact);
    return entry && entry->state == ResidencyState::Resident && !entry->isUnsettled;
}

bool TargetLedger::hasUnsettledOrder() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.isUnsettled; });
}

void TargetLedger::takeOver(const std::string& owner)
{
    m_owner = owner;
    ++m_epoch;
    for (auto& entry : m_entries) {
        if (entry.state != ResidencyState::Resident)
            entry.isUnsettled = true;
    }
}

Result<ResidencyEntry> TargetLedger::beginLoad(
    const std::string& artifact, uint64_t memoryBytes, uint64_t capacityBytes)
{
    if (auto* entry = findMutable(artifact)) {
        // The memory is reserved already. Repeating the load makes the reservation real, whatever became of earlier
        // orders.
        if (entry->state == ResidencyState::Resident)
            return ledgerError(ErrorKind::Conflict, m_target, "artifact '" + artifact + "' is resident");
        entry->state = ResidencyState::Loading;
        entry->epoch = m_epoch;
        if (!entry->isUnsettled)
            entry->sender = m_owner;
        return *entry;
    }
    if (memoryBytes > capacityBytes || reservedBytes() > capacityBytes - memoryBytes)
        return ledgerError(ErrorKind::LimitExceeded, m_target, "no memory for artifact '" + artifact + "'");
    m_entries.push_back({ artifact, memoryBytes, ResidencyState::Loading, m_epoch, m_owner, false });
    assert(reservedBytes() <= capacityBytes);
    return m_entries.back();
}

Result<ResidencyEntry> TargetLedger::beginUnload(const std::string& artifact)
{
    auto* entry = findMutable(artifact);
    if (!entry || entry->state == ResidencyState::Loading)
        return ledgerError(ErrorKind::Conflict, m_target, "artifact '" + artifact + "' is not resident");
    if (entry->isUnsettled)
        return ledgerError(
            ErrorKind::Conflict, m_target, "an earlier order for artifact '" + artifact + "' is unsettled");
    entry->state = ResidencyState::Unloading;
    entry->epoch = m_epoch;
    entry->sender = m_owner;
    return *entry;
}

void TargetLedger::finishLoad(std::string_view artifact, bool isResident)
{
    auto* entry = findMutable(artifact);
    if (!entry || entry->state != ResidencyState::Loading)
        return;
    if (isResident)
        entry->state = ResidencyState::Resident;
    else if (!entry->isUnsettled)
        remove(artifact);
}

void TargetLedger::finishUnload(std::string_view artifact)
{
    const auto* entry = find(artifact);
    if (entry && entry->state == ResidencyState::Unloading && !entry->isUnsettled)
        remove(artifact);
}

void TargetLedger::settleSender(std::string_view sender, const TargetReport& report)
{
    settle(report, [&](const auto& entry) { return entry.sender == sender; });
}

bool TargetLedger::reconcile(const TargetReport& report)
{
    const auto before = m_entries;
    const bool isNewInstance = report.instance != m_instance;
    const auto previousInstance = std::exchange(m_instance, report.instance);
    const bool enforcesPresentEpoch = report.acknowledgedEpoch == m_epoch && m_epoch != 0;

    // A resident artifact that is gone was lost in a restart or by a late unload; its reservation stays for the reload.
    for (auto& entry : m_entries) {
        if (entry.state == ResidencyState::Resident && !reports(report, entry.artifact))
            entry.state = ResidencyState::Loading;
    }

    // A target that enforces the present epoch refuses every order of the senders before it.
    if (enforcesPresentEpoch)
        settle(report, [](const auto&) { return true; });
    return isNewInstance || previousInstance != m_instance || before != m_entries;
}

void TargetLedger::settle(const TargetReport& report, const std::function<bool(const ResidencyEntry&)>& isSettled)
{
    std::erase_if(m_entries, [&](ResidencyEntry& entry) {
        if (!entry.isUnsettled || !isSettled(entry))
            return false;
        entry.isUnsettled = false;
        entry.state = ResidencyState::Resident;
        return !reports(report, entry.artifact);
    });
}

void TargetLedger::remove(std::string_view artifact)
{
    std::erase_if(m_entries, [&](const auto& entry) { return entry.artifact == artifact; });
}

} // namespace cyclamenstair
