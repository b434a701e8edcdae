#include <Cyclamenstair/Plan/PlanValidator.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace cyclamenstair {

namespace {

    constexpr uint64_t bytesPerMib = 1 << 20;
    /// Response windows below this are reported as a warning.
    constexpr Duration minUsualWindow = milliseconds(50);

    /// Preference among targets with enough free memory.
    enum class PackingRule : uint8_t {
        MostFreeMemory,
        LeastFreeMemory,
    };

    std::string mib(uint64_t bytes) { return std::to_string(bytes / bytesPerMib) + " MiB"; }

    /// Greedy placement of the models and adapters of one plan.
    class Packing {
    public:
        Packing(const std::vector<PlanTarget>& targets, PackingRule rule)
            : m_targets(&targets)
            , m_rule(rule)
            , m_usedBytes(targets.size(), 0)
        {
            std::set<std::string> domains;
            for (const auto& target : targets)
                domains.insert(target.failureDomain);
            m_domainCount = domains.size();
        }

        /// Places the copies of a model; returns how many were placed.
        uint32_t placeModel(const ModelSpec& model)
        {
            std::vector<size_t> all(m_targets->size());
            std::iota(all.begin(), all.end(), size_t(0));
            return place(model.name, all, model.memoryBytes, model.replicas, m_domainCount);
        }

        /// Places the copies of an adapter on targets that have its model; returns how many were placed.
        uint32_t placeAdapter(const AdapterSpec& adapter)
        {
            const auto& modelTargets = m_targetsByArtifact[adapter.model];
            std::set<std::string> domains;
            for (const auto target : modelTargets)
                domains.insert((*m_targets)[target].failureDomain);
            return place(adapter.name, modelTargets, adapter.memoryBytes, adapter.replicas, domains.size());
        }

        uint64_t maxFreeBytes() const
        {
            uint64_t maxBytes = 0;
            for (size_t i = 0; i < m_usedBytes.size(); ++i)
                maxBytes = std::max(maxBytes, freeBytes(i));
            return maxBytes;
        }

        /// Returns whether some target without a copy of the model has room for one more.
        bool hasRoomForAnotherCopy(const std::string& model, uint64_t bytes) const
        {
            const auto modelTargets = m_targetsByArtifact.find(model);
            for (size_t i = 0; i < m_usedBytes.size(); ++i) {
                const bool hasCopy = modelTargets != m_targetsByArtifact.end()
                    && std::find(modelTargets->second.begin(), modelTargets->second.end(), i)
                        != modelTargets->second.end();
                if (!hasCopy && freeBytes(i) >= bytes)
                    return true;
            }
            return false;
        }

    private:
        uint64_t freeBytes(size_t target) const
        {
            return (*m_targets)[target].memoryBytes - std::min(m_usedBytes[target], (*m_targets)[target].memoryBytes);
        }

        uint32_t place(const std::string& name, const std::vector<size_t>& candidates, uint64_t bytes,
            uint32_t replicas, size_t domainCount)
        {
            std::map<std::string, uint32_t> copiesByDomain;
            std::vector<size_t> chosen;
            while (chosen.size() < replicas) {
                const auto best = choose(candidates, chosen, copiesByDomain, bytes);
                if (!best)
                    break;
                auto& copies = copiesByDomain[(*m_targets)[*best].failureDomain];
                // A domain gets a second copy only after every domain has one.
                if (copies > 0 && copiesByDomain.size() < domainCount)
                    break;
                ++copies;
                m_usedBytes[*best] += bytes;
                chosen.push_back(*best);
            }
            m_targetsByArtifact[name] = chosen;
            return static_cast<uint32_t>(chosen.size());
        }

        std::optional<size_t> choose(const std::vector<size_t>& candidates, const std::vector<size_t>& chosen,
            const std::map<std::string, uint32_t>& copiesByDomain, uint64_t bytes) const
        {
            const auto copiesIn = [&](size_t target) {
                const auto found = copiesByDomain.find((*m_targets)[target].failureDomain);
                return found == copiesByDomain.end() ? 0U : found->second;
            };
            const auto isBetter = [&](size_t a, size_t b) {
                if (copiesIn(a) != copiesIn(b))
                    return copiesIn(a) < copiesIn(b);
                return m_rule == PackingRule::MostFreeMemory ? freeBytes(a) > freeBytes(b)
                                                             : freeBytes(a) < freeBytes(b);
            };
            std::optional<size_t> best;
            for (const auto candidate : candidates) {
                const bool isChosen = std::find(chosen.begin(), chosen.end(), candidate) != chosen.end();
                if (!isChosen && freeBytes(candidate) >= bytes && (!best || isBetter(candidate, *best)))
                    best = candidate;
            }
            return best;
        }

        const std::vector<PlanTarget>* m_targets;
        PackingRule m_rule;
        std::vector<uint64_t> m_usedBytes;
        size_t m_domainCount { 0 };
        std::map<std::string, std::vector<size_t>> m_targetsByArtifact;
    };

    template <typename Row> std::vector<const Row*> byDecreasingMemory(const std::vector<Row>& rows)
    {
        std::vector<const Row*> sorted;
        for (const auto& row : rows)
            sorted.push_back(&row);
        std::stable_sort(
            sorted.begin(), sorted.end(), [](const Row* a, const Row* b) { return a->memoryBytes > b->memoryBytes; });
        return sorted;
    }

    /// Returns whether each row has a row of the same name in `oldRows` with the same memory and at least its replicas.
    template <typename Row> bool needsNoMoreMemory(const std::vector<Row>& rows, const std::vector<Row>& oldRows)
    {
        std::map<std::string, const Row*> old;
        for (const auto& row : oldRows)
            old[row.name] = &row;
        return std::all_of(rows.begin(), rows.end(), [&](const Row& row) {
            const auto found = old.find(row.name);
            return found != old.end() && row.memoryBytes == found->second->memoryBytes
                && row.replicas <= found->second->replicas;
        });
    }

    /// State of the check of one plan.
    class PlanCheck {
    public:
        PlanCheck(
            const Plan& plan, const std::vector<PlanTarget>& targets, const Plan* activePlan, const SheetLines& lines)
            : m_plan(plan)
            , m_targets(targets)
            , m_activePlan(activePlan)
            , m_lines(lines)
        {
        }

        PlanFindings run()
        {
            checkRows();
            checkCallers();
            if (!m_plan.models.empty())
                checkMemory();
            return std::move(m_findings);
        }

    private:
        uint32_t lineOf(SheetRowKind kind, const std::string& name) const
        {
            const auto found = m_lines.find({ kind, name });
            return found == m_lines.end() ? 0 : found->second;
        }

        void addError(uint32_t line, std::string message)
        {
            if (m_findings.errors.size() < SheetParser::maxErrors)
                m_findings.errors.push_back({ line, std::move(message) });
        }

        void addMemoryError(uint32_t line, std::string message)
        {
            const bool isWithinActivePlan = m_activePlan && needsNoMoreMemory(m_plan.models, m_activePlan->models)
                && needsNoMoreMemory(m_plan.adapters, m_activePlan->adapters);
            if (isWithinActivePlan)
                addWarning(line, std::move(message));
            else
                addError(line, std::move(message));
        }

        void addWarning(uint32_t line, std::string message)
        {
            if (m_findings.warnings.size() < SheetParser::maxErrors)
                m_findings.warnings.push_back({ line, std::move(message) });
        }

        void checkRows()
        {
            for (const auto& adapter : m_plan.adapters) {
                const auto line = lineOf(SheetRowKind::Adapter, adapter.name);
                const auto* model = m_plan.findModel(adapter.model);
                if (!model) {
                    addError(line, "model '" + adapter.model + "' of adapter '" + adapter.name + "' is not planned");
                    continue;
                }
                if (adapter.memoryBytes > model->memoryBytes)
                    addWarning(line, "adapter '" + adapter.name + "' needs more memory than its model");
                if (adapter.replicas > model->replicas)
                    addError(line,
                        "adapter '" + adapter.name + "' has more replicas than its model '" + adapter.model + "'");
            }
            for (const auto& model : m_plan.models)
                checkWindow(SheetRowKind::Model, model.name, model.window);
            for (const auto& service : m_plan.services)
                checkWindow(SheetRowKind::Service, service.name, service.window);
        }

        void checkWindow(SheetRowKind kind, const std::string& name, Duration window)
        {
            if (window > Duration(0) && window < minUsualWindow)
                addWarning(lineOf(kind, name),
                    std::string(nameOf(kind)) + " '" + name + "' has a window below "
                        + std::to_string(toMilliseconds(minUsualWindow)) + " ms");
        }

        void checkCallers()
        {
            std::map<std::string, std::string> callerByToken;
            bool areAllHighPriority = m_plan.callers.size() > 1;
            for (const auto& caller : m_plan.callers) {
                const auto line = lineOf(SheetRowKind::Caller, caller.name);
                checkWindow(SheetRowKind::Caller, caller.name, caller.window);
                const auto separator = caller.tokenHash.find('$');
                const auto digits = separator == std::string::npos ? "" : caller.tokenHash.substr(separator + 1);
                if (separator == 0 || digits.size() != 64
                    || digits.find_first_not_of("0123456789abcdef") != std::string::npos)
                    addError(line,
                        "token_hash of caller '" + caller.name
                            + "' is not of the form SALT$SHA256 with 64 lower-case hex digits");
                const auto [other, isNew] = callerByToken.emplace(caller.tokenHash, caller.name);
                if (!isNew)
                    addError(line, "callers '" + other->second + "' and '" + caller.name + "' have the same token");
                if (caller.burst > 0 && caller.requestsPerSecond == 0)
                    addWarning(
                        line, "caller '" + caller.name + "' has a burst but no rate, so the burst has no effect");
                areAllHighPriority = areAllHighPriority && caller.priority == Priority::High;
            }
            if (areAllHighPriority)
                addWarning(0, "all callers have high priority, so the priorities have no effect");
        }

        void checkMemory()
        {
            if (m_targets.empty()) {
                addWarning(0, "no targets are known, so memory was not checked");
                return;
            }
            checkReplicas();
            if (!m_findings.errors.empty())
                return;
            Packing best(m_targets, PackingRule::MostFreeMemory);
            auto findings = pack(best);
            if (!findings.empty()) {
                Packing alternative(m_targets, PackingRule::LeastFreeMemory);
                if (pack(alternative).empty()) {
                    findings.clear();
                    best = std::move(alternative);
                }
            }
            for (auto& finding : findings)
                addMemoryError(finding.line, std::move(finding.message));
            if (findings.empty())
                checkOverlap(best);
            checkTotalMemory();
        }

        void checkReplicas()
        {
            std::set<std::string> domains;
            for (const auto& target : m_targets)
                domains.insert(target.failureDomain);
            for (const auto& model : m_plan.models) {
                const auto line = lineOf(SheetRowKind::Model, model.name);
                if (model.replicas > m_targets.size())
                    addMemoryError(line,
                        "model '" + model.name + "' has " + std::to_string(model.replicas) + " replicas, but there are "
                            + std::to_string(m_targets.size()) + " targets");
                else if (model.replicas > domains.size())
                    addWarning(line,
                        "model '" + model.name + "' has " + std::to_string(model.replicas) + " replicas, but there are "
                            + std::to_string(domains.size()) + " failure domains");
            }
        }

        std::vector<SheetFinding> pack(Packing& packing) const
        {
            std::vector<SheetFinding> unplaced;
            const auto addIfUnplaced = [&](SheetRowKind kind, const auto& row, uint32_t placed) {
                if (placed < row.replicas)
                    unplaced.push_back({ lineOf(kind, row.name),
                        std::string(nameOf(kind)) + " '" + row.name + "' (" + mib(row.memoryBytes) + ") has room for "
                            + std::to_string(placed) + " of " + std::to_string(row.replicas)
                            + " replicas in different failure domains" });
            };
            for (const auto* model : byDecreasingMemory(m_plan.models))
                addIfUnplaced(SheetRowKind::Model, *model, packing.placeModel(*model));
            for (const auto* adapter : byDecreasingMemory(m_plan.adapters))
                addIfUnplaced(SheetRowKind::Adapter, *adapter, packing.placeAdapter(*adapter));
            return unplaced;
        }

        /// Checks for room to load a copy beside an existing one. The old copy of a changed model stays loaded until
        /// the new copy serves requests. A new model has no old copy, but needs such room to be moved later.
        void checkOverlap(const Packing& packing)
        {
            if (!m_activePlan)
                return;
            const ModelSpec* changed = nullptr;
            const ModelSpec* added = nullptr;
            for (const auto& model : m_plan.models) {
                const auto* old = m_activePlan->findModel(model.name);
                auto& largestModel = old ? changed : added;
                const bool needsLoading = !old || old->memoryBytes != model.memoryBytes;
                if (needsLoading && (!largestModel || model.memoryBytes > largestModel->memoryBytes))
                    largestModel = &model;
            }
            const auto message = [](const ModelSpec& model) {
                return "no target has " + mib(model.memoryBytes) + " left for a second copy of model '" + model.name
                    + "' while its old copy is still loaded";
            };
            if (changed && !packing.hasRoomForAnotherCopy(changed->name, changed->memoryBytes))
                addError(lineOf(SheetRowKind::Model, changed->name), message(*changed));
            if (added && packing.maxFreeBytes() < added->memoryBytes)
                addWarning(lineOf(SheetRowKind::Model, added->name),
                    "after model '" + added->name + "' is placed, no target has room to move it");
        }

        void checkTotalMemory()
        {
            double planned = 0;
            double available = 0;
            for (const auto& model : m_plan.models)
                planned += static_cast<double>(model.memoryBytes) * model.replicas;
            for (const auto& adapter : m_plan.adapters)
                planned += static_cast<double>(adapter.memoryBytes) * adapter.replicas;
            for (const auto& target : m_targets)
                available += static_cast<double>(target.memoryBytes);
            if (planned > available * PlanValidator::memoryWarningShare)
                addWarning(0,
                    "the plan uses " + std::to_string(static_cast<int>(planned / available * 100))
                        + "% of all memory; above 90% there is little room for moves");
        }

        const Plan& m_plan;
        const std::vector<PlanTarget>& m_targets;
        const Plan* m_activePlan;
        const SheetLines& m_lines;
        PlanFindings m_findings;
    };

} // namespace

PlanFindings PlanValidator::check(
    const Plan& plan, const std::vector<PlanTarget>& targets, const Plan* activePlan, const SheetLines& lines)
{
    return PlanCheck(plan, targets, activePlan, lines).run();
}

} // namespace cyclamenstair
