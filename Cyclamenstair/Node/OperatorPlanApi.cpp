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

    [[noreturn]] void refuseParameter(const std::string& name)
    {
        throw Exception(
            { ErrorKind::InvalidInput, "operator.parameters", "", "the value of '" + name + "' is not valid" });
    }

    std::string textParameter(const httplib::Request& http, const char* name, size_t maxBytes)
    {
        auto value = http.get_param_value(name);
        if (value.size() > maxBytes)
            refuseParameter(name);
        return value;
    }

    /// The id becomes part of keys in the store.
    std::string idParameter(const httplib::Request& http)
    {
        if (!http.has_param("acceptance_id"))
            return randomId();
        auto id = textParameter(http, "acceptance_id", maxIdBytes);
        const auto isIdCharacter = [](unsigned char c) { return std::isalnum(c) || c == '-'; };
        if (id.empty() || !std::all_of(id.begin(), id.end(), isIdCharacter))
            refuseParameter("acceptance_id");
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
            refuseParameter("expected_revision");
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

PlanFindings OperatorPlanApi::findingsOf(const SheetResult& sheet) const
{
    if (!sheet.plan)
        return { sheet.errors, {} };
    const auto inForce = m_context.plans->plan();
    return PlanValidator::check(*sheet.plan, knownTargets(), inForce.get(), sheet.lines);
}

std::vector<PlanTarget> OperatorPlanApi::knownTargets() const
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
    const auto findings = findingsOf(sheet);
    PlanProposal proposal;
    proposal.plan = sheet.plan.value_or(Plan());
    proposal.known = m_context.planExchange->latest();
    proposal.expectedRevision = revisionParameter(http, m_context.plans->revision());
    proposal.acceptanceId = idParameter(http);
    proposal.acceptedBy = textParameter(http, "operator", maxNameBytes);
    proposal.reason = textParameter(http, "reason", maxReasonBytes);
    proposal.isRepeat = http.get_param_value("repeat") == "1";
    if (!findings.errors.empty()) {
        // The targets may have changed since the first attempt of a repeat was accepted.
        const auto earlier = proposal.isRepeat ? m_repository.findAcceptance(proposal.acceptanceId) : std::nullopt;
        if (earlier && *earlier)
            finishAccepted(proposal, { **earlier, std::nullopt }, findings, response);
        else
            writeJson(response, 422, findingsBody("refused", findings));
        return;
    }
    std::visit(Overloaded {
                   [&](PlanAccepted accepted) { finishAccepted(proposal, std::move(accepted), findings, response); },
                   [&](const PlanConflict& conflict) {
                       writeJson(response, 409, { { "result", "conflict" }, { "head", headJson(conflict.winner) } });
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

void OperatorPlanApi::finishAccepted(
    const PlanProposal& proposal, PlanAccepted accepted, const PlanFindings& findings, httplib::Response& response)
{
    // A repeat that finds an earlier acceptance is no change.
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
    const auto findings = findingsOf(SheetParser::parse(http.body));
    writeJson(response, 200, findingsBody(findings.errors.empty() ? "ok" : "refused", findings));
}

void OperatorPlanApi::diff(const httplib::Request& http, httplib::Response& response) const
{
    const auto sheet = SheetParser::parse(http.body);
    const auto findings = findingsOf(sheet);
    auto body = findingsBody(findings.errors.empty() ? "ok" : "refused", findings);
    const auto inForce = m_context.plans->plan();
    body["revision"] = inForce ? inForce->revision : 0;
    if (sheet.plan)
        body["diff"] = deltaJson(PlanDelta::between(inForce ? *inForce : Plan(), *sheet.plan));
    writeJson(response, 200, body);
}

void OperatorPlanApi::show(httplib::Response& response) const
{
    const auto plan = m_context.plans->plan();
    if (!plan)
        throw Exception({ ErrorKind::NotFound, "operator.plan", "", "there is no plan yet" });
    response.set_header("X-Plan-Revision", std::to_string(plan->revision));
    response.set_content(SheetParser::write(*plan), "text/csv");
}

void OperatorPlanApi::showHistory(httplib::Response& response)
{
    auto history = m_repository.readHistory();
    if (!history)
        throw Exception({ ErrorKind::Unavailable, "operator.history", "", "the store is unavailable" });
    Json rows = Json::array();
    std::reverse(history->begin(), history->end());
    for (const auto& head : *history)
        rows.push_back(headJson(head));
    writeJson(response, 200, { { "history", rows } });
}

} // namespace cyclamenstair
