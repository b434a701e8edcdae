#pragma once

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/RequestFlow/RequestMachine.h>

#include <gtest/gtest.h>

namespace cyclamenstair {

inline constexpr TimePoint start { std::chrono::seconds(100) };

template <typename Action> const Action* find(const std::vector<RequestAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

inline std::string forwarded(const std::vector<RequestAction>& actions)
{
    std::string data;
    for (const auto& action : actions) {
        if (const auto* forward = std::get_if<ForwardData>(&action))
            data += forward->data;
    }
    return data;
}

/// A request machine with three targets and its dependencies.
struct Fixture {
    explicit Fixture(RetryPolicy retryPolicy, bool isResumable = false, uint32_t maxAttempts = 2)
    {
        for (const char* id : { "i-1", "i-2", "i-3" }) {
            TargetRecord record;
            record.id = id;
            record.service = "service";
            record.address = "127.0.0.1:1";
            record.slots = 4;
            targets.update(record, 1);
        }
        RequestInfo requestInfo;
        requestInfo.id = "request-1";
        requestInfo.service = "service";
        requestInfo.receivedAt = start;
        requestInfo.callerTimeout = milliseconds(10000);
        requestInfo.route.retryPolicy = retryPolicy;
        requestInfo.route.isResumable = isResumable;
        requestInfo.route.maxAttempts = maxAttempts;
        requestInfo.route.timeout = milliseconds(5000);
        requestInfo.route.targetLatency = milliseconds(600);
        requestInfo.route.maxEventGap = milliseconds(300);
        machine = makeMachine(requestInfo);
    }

    std::unique_ptr<RequestMachine> makeMachine(const RequestInfo& requestInfo)
    {
        return std::make_unique<RequestMachine>(requestInfo, settings,
            RequestDependencies { &targets, &retries, &demand, &random, &quarantine, &versions, &origins });
    }

    RequestFlowSettings settings;
    TargetRegistry targets { {} };
    RetryBudget retries { { 0.2, 10, 10 }, { 1, 1000, 1000 } };
    DemandCounter demand;
    Random random { 20261204 };
    PromptQuarantine quarantine { {} };
    SoftwareVersions versions;
    StreamOrigins origins;
    std::unique_ptr<RequestMachine> machine;
};

inline ResponseInfo successResponse() { return { 200, true, true, false, false }; }
inline ResponseInfo notRunResponse() { return { 503, true, false, true, false }; }
inline ResponseInfo failureResponse() { return { 500, true, true, false, false }; }

} // namespace cyclamenstair
