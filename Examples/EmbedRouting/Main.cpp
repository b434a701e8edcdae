// Embeds the plan and routing libraries without network access: parses a plan sheet and distributes ten requests over
// three targets.

#include <Cyclamenstair/Plan/SheetParser.h>
#include <Cyclamenstair/Routing/Router.h>

#include <iostream>

int main()
{
    using namespace cyclamenstair;
    const auto sheet = SheetParser::parse(
        "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n"
        "model,draft,,4000,3,normal,,,,,,\n");
    if (!sheet.plan) {
        std::cerr << "line " << sheet.errors.front().line << ": " << sheet.errors.front().message << "\n";
        return 1;
    }

    TargetTable targets;
    StragglerDetector detector;
    Router router(LeastInFlightPolicy {}, targets, detector);
    Random random(1);
    const std::vector<RouteCandidate> candidates { { "t1", "10.0.0.1:80", "domain-1" },
        { "t2", "10.0.0.2:80", "domain-2" }, { "t3", "10.0.0.3:80", "domain-3" } };
    for (int request = 0; request < 10; ++request) {
        RouteQuery query;
        query.pool = "drafting";
        const auto choice = router.pick(candidates, query, random);
        targets.beginAttempt(candidates[*choice].target);
    }
    for (const auto& candidate : candidates)
        std::cout << candidate.target << ": " << targets.load(candidate.target).inFlight << " in flight\n";
    return 0;
}
