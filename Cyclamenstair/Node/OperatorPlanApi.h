#pragma once

#include <Cyclamenstair/Node/OperatorContext.h>
#include <Cyclamenstair/Node/PlanRepository.h>
#include <Cyclamenstair/Plan/PlanValidator.h>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace cyclamenstair {

/// Operators' calls that concern the plan.
class OperatorPlanApi {
public:
    OperatorPlanApi(const schema::SettingsT& settings, const OperatorContext& context);

    /// Accepts the sheet in the body as the plan. 200 accepted, 409 another plan was accepted first, 422 refused with
    /// findings, 503 certainly not accepted, 504 unknown.
    void accept(const httplib::Request& http, httplib::Response& response);

    /// Checks the sheet in the body and changes nothing: 200 with findings.
    void check(const httplib::Request& http, httplib::Response& response) const;

    /// Compares the sheet in the body with the plan in force and changes nothing: 200 with the rows that differ.
    void diff(const httplib::Request& http, httplib::Response& response) const;

    /// Returns the plan in force as a sheet, with its revision in the header X-Plan-Revision; 404 without a plan.
    void show(httplib::Response& response) const;

    /// Returns the last accepted plans from the store, the latest first; 503 while the store is unavailable.
    void showHistory(httplib::Response& response);

private:
    /// Returns the findings of the parsed sheet against the targets and the plan in force.
    PlanFindings findingsOf(const SheetParseResult& sheet) const;

    /// Returns the engines of the VM list, or those that gossip shows if the list cannot be read.
    std::vector<PlanTarget> knownTargets() const;

    void finishAccepted(
        const PlanProposal& proposal, PlanAccepted accepted, const PlanFindings& findings, httplib::Response& response);

    schema::SettingsT m_settings;
    OperatorContext m_context;
    PlanRepository m_repository;
};

} // namespace cyclamenstair
