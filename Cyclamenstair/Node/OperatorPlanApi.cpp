#include <Cyclamenstair/Node/OperatorPlanApi.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Node/OperatorJson.h>
#include <Cyclamenstair/Transport/VmListClient.h>

#include <algorithm>
#include <charconv>
#include <httplib.h>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr Duration vmListTimeout = milliseconds(1000);
    constexpr size_t maxIdBytes = 64;
    constexpr size_t maxNameBytes = 128;
    constexpr size_t maxReasonBytes = 1024;

    [[noreturn]] void throwInvalidParameter(const std::string& name)
    {
        throw Exception(
            { ErrorKind::InvalidInput, "operator.parameters", "", "invalid value of query parameter '" + name + "'" });
    }

    std::string textParameter(const httplib::Request& http, const char* name, size_t maxBytes)
    {
        auto value = http.get_param_value(name);
        if (value.size() > maxBytes)
            throwInvalidParameter(name);
        return value;
    }

    /// Restricted to characters that are safe in store keys, because the id becomes part of them.
    std::string idParameter(const httplib::Request& http)
    {
        if (!http.has_param("acceptance_id"))
            return randomId();
        auto id = textParameter(http, "acceptance_id", maxIdBytes);
        const auto isIdCharacter = [](unsigned char c) { return std::isalnum(c) || c == '-'; };
        if (id.empty() || !std::all_of(id.begin(), id.end(), isIdCharacter))
            throwInvalidParameter("acceptance_id");
        return id;
    }

    uint64_t revisionParameter(const httplib::Request& http, uint64_t fallback)
    {
        if (!http.has_param("expected_revision"))
            return fallback;
        const auto text = http.get_param_value("expected_revision");
        uint64_t revision = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), revision);
        if (code != std::errc() || end != text.data() + text.size())
            throwInvalidParameter("expected_revision");
        return revision;
    }

    Json findingsBody(const char* result, const PlanFindings& findings)
    {
        return { { "result", result }, { "errors", findingsJson(findings.errors) },
            { "warnings", findingsJson(findings.warnings) } };
    }

} // namespace

OperatorPlanApi::OperatorPlanApi(const schema::SettingsT& settings, const OperatorContext& context)
    : m_settings(settings)
    , m_context(context)
    , m_repository(*context.store)
{
}

PlanFindings OperatorPlanApi::validate(const SheetParseResult& sheet) const
{
    if (!sheet.plan)
        return { sheet.errors, {} };
    const auto activePlan = m_context.activePlan->plan();
    return PlanValidator::check(*sheet.plan, liveEngines(), activePlan.get(), sheet.lines);
}

std::vector<PlanTarget> OperatorPlanApi::liveEngines() const
{
    std::vector<PlanTarget> targets;
    VmListClient client(m_settings.platform->vm_list_endpoint);
    if (const auto vms = client.read(vmListTimeout)) {
        for (const auto& vm : *vms) {
            if (vm.kind == VmKind::Engine && vm.state == VmState::Live && vm.region == m_settings.node->region)
                targets.push_back({ vm.id, vm.failureDomain, vm.memoryBytes });
        }
        return targets;
    }
    for (const auto& status : m_context.directory->targets()) {
        if (status.kind == TargetKind::Engine && !status.isLeaving)
            targets.push_back({ status.target, status.failureDomain, status.memoryBytes });
    }
    return targets;
}

void OperatorPlanApi::accept(const httplib::Request& http, httplib::Response& response)
{
    const auto sheet = SheetParser::parse(http.body);
    const auto findings = validate(sheet);
    PlanProposal proposal;
    proposal.plan = sheet.plan.value_or(Plan());
    proposal.basePlan = m_context.planExchange->stagedPlan();
    proposal.expectedRevision = revisionParameter(http, m_context.activePlan->revision());
    proposal.acceptanceId = idParameter(http);
    proposal.acceptedBy = textParameter(http, "operator", maxNameBytes);
    proposal.reason = textParameter(http, "reason", maxReasonBytes);
    proposal.isRetry = http.get_param_value("repeat") == "1";
    if (!findings.errors.empty()) {
        // The targets may have changed since an earlier attempt was accepted.
        const auto earlierAcceptance
            = proposal.isRetry ? m_repository.findAcceptance(proposal.acceptanceId) : std::nullopt;
        if (earlierAcceptance && *earlierAcceptance)
            respondAccepted(proposal, { **earlierAcceptance, std::nullopt }, findings, response);
        else
            writeJson(response, 422, findingsBody("refused", findings));
        return;
    }
    std::visit(
        Overloaded {
            [&](PlanAccepted accepted) { respondAccepted(proposal, std::move(accepted), findings, response); },
            [&](const PlanConflict& conflict) {
                writeJson(response, 409, { { "result", "conflict" }, { "head", headJson(conflict.currentHead) } });
            },
            [&](const PlanNotAccepted& refused) {
                writeJson(response, 503, { { "result", "not_accepted" }, { "message", refused.message } });
            },
            [&](const PlanAcceptanceUnknown& unknown) {
                writeJson(response, 504, { { "result", "unknown" }, { "acceptance_id", unknown.acceptanceId } });
            },
        },
        m_repository.accept(proposal));
}

void OperatorPlanApi::respondAccepted(
    const PlanProposal& proposal, PlanAccepted accepted, const PlanFindings& findings, httplib::Response& response)
{
    // A retry that finds an earlier acceptance changes nothing.
    if (accepted.plan) {
        AuditEntry entry;
        entry.kind = AuditKind::Plan;
        entry.actor = proposal.acceptedBy;
        entry.action = "plan accepted";
        entry.fromRevision = proposal.expectedRevision;
        entry.toRevision = accepted.head.revision;
        entry.reason = proposal.reason;
        m_context.audit->record(std::move(entry));
        m_context.planExchange->install(std::move(*accepted.plan), "operator " + proposal.acceptedBy);
    }
    auto body = findingsBody("accepted", findings);
    body["head"] = headJson(accepted.head);
    writeJson(response, 200, body);
}

void OperatorPlanApi::check(const httplib::Request& http, httplib::Response& response) const
{
    const auto findings = validate(SheetParser::parse(http.body));
    writeJson(response, 200, findingsBody(findings.errors.empty() ? "ok" : "refused", findings));
}

void OperatorPlanApi::diff(const httplib::Request& http, httplib::Response& response) const
{
    const auto sheet = SheetParser::parse(http.body);
    const auto findings = validate(sheet);
    auto body = findingsBody(findings.errors.empty() ? "ok" : "refused", findings);
    const auto activePlan = m_context.activePlan->plan();
    body["revision"] = activePlan ? activePlan->revision : 0;
    if (sheet.plan)
        body["diff"] = deltaJson(PlanDelta::between(activePlan ? *activePlan : Plan(), *sheet.plan));
    writeJson(response, 200, body);
}

void OperatorPlanApi::show(httplib::Response& response) const
{
    const auto plan = m_context.activePlan->plan();
    if (!plan)
        throw Exception({ ErrorKind::NotFound, "operator.plan", "", "no plan has been accepted" });
    response.set_header("X-Plan-Revision", std::to_string(plan->revision));
    response.set_content(SheetParser::write(*plan), "text/csv");
}

void OperatorPlanApi::showHistory(httplib::Response& response)
{
    auto history = m_repository.readHistory();
    if (!history)
        throw Exception({ ErrorKind::Unavailable, "operator.history", "",
            "cannot read the plan history: the store is unavailable" });
    Json rows = Json::array();
    std::reverse(history->begin(), history->end());
    for (const auto& head : *history)
        rows.push_back(headJson(head));
    writeJson(response, 200, { { "history", rows } });
}

} // namespace cyclamenstair
