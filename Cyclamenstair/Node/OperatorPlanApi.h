#pragma once

#include <Cyclamenstair/Node/OperatorContext.h>
#include <Cyclamenstair/Node/PlanRepository.h>
#include <Cyclamenstair/Plan/PlanValidator.h>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace cyclamenstair {

/// Handlers of the operator API for the plan.
class OperatorPlanApi {
public:
    OperatorPlanApi(const schema::SettingsT& settings, const OperatorContext& context);

    /// Accepts the sheet in the body as the plan. Status 200: accepted; 409: another plan was accepted first; 422:
    /// refused with findings; 503: not accepted; 504: outcome unknown.
    void accept(const httplib::Request& http, httplib::Response& response);

    /// Validates the sheet in the body without accepting it. Status 200 with findings.
    void check(const httplib::Request& http, httplib::Response& response) const;

    /// Compares the sheet in the body with the active plan without accepting it. Status 200 with the rows that differ.
    void diff(const httplib::Request& http, httplib::Response& response) const;

    /// Responds with the active plan as a sheet and its revision in the header X-Plan-Revision; 404 if there is no
    /// plan.
    void show(httplib::Response& response) const;

    /// Responds with the last accepted plan heads from the store, newest first; 503 if the store is unavailable.
    void showHistory(httplib::Response& response);

private:
    /// Validates the parsed sheet against the targets and the active plan.
    PlanFindings validate(const SheetParseResult& sheet) const;

    /// Returns the live engines of the VM list, or those known by gossip if the list cannot be read.
    std::vector<PlanTarget> liveEngines() const;

    void respondAccepted(
        const PlanProposal& proposal, PlanAccepted accepted, const PlanFindings& findings, httplib::Response& response);

    schema::SettingsT m_settings;
    OperatorContext m_context;
    PlanRepository m_repository;
};

} // namespace cyclamenstair
