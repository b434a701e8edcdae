#include <Benchmarks/NodeCost.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace cyclamenstair::load {

namespace {

    using testing::ProcessFleet;
    using Clock = std::chrono::steady_clock;

    constexpr const char* artifact = "model-0";

    /// Returns the processor time of a process in seconds.
    double processorSeconds(pid_t process)
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/stat");
        std::string line;
        std::getline(file, line);
        // User and system time are the 12th and 13th fields after the program name in parentheses.
        std::istringstream fields(line.substr(line.rfind(')') + 2));
        std::string ignoredField;
        for (int i = 0; i < 11; ++i)
            fields >> ignoredField;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }

    /// Returns the resident memory of a process in bytes.
    double residentBytes(pid_t process)
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
    }

    /// Returns the exact median. Histogram buckets are too wide for the difference between two similar latencies.
    double median(std::vector<double> values)
    {
        std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(values.size() / 2), values.end());
        return values[values.size() / 2];
    }

    PlannedRequest makeCompletion(uint64_t number, uint32_t tokens, bool isStream)
    {
        PlannedRequest request;
        request.number = number;
        request.artifact = artifact;
        request.prompt = "Request " + std::to_string(number);
        request.tokens = tokens;
        request.isStream = isStream;
        return request;
    }

    /// Measures a fleet of one node and one engine.
    class NodeCostRun {
    public:
        NodeCostRun(const Deployment& deployment, PolicyKind policy, double timeScale)
            : m_deployment(deployment)
            , m_fleet(deployment, policy)
            , m_timeScale(timeScale)
            , m_directSender(m_deployment, { m_fleet.processes().engineAddress(0) })
            , m_nodeSender(m_deployment, { m_fleet.processes().callerAddress(0) })
            , m_nodeProcess(m_fleet.processes().node(0).id())
        {
            m_result.name = "node-cost, " + std::string(nameOf(policy));
            m_text << "node-cost, " << nameOf(policy) << "\n" << std::fixed << std::setprecision(3);
        }

        void measureLatency()
        {
            // Short engine times keep the jitter of the engine's sleeps small compared with the node's cost.
            setSlowFactor(0.05);
            std::vector<CostPoint> points;
            for (const uint32_t tokens : { 1U, 8U, 32U, 64U }) {
                std::vector<double> direct;
                std::vector<double> throughNode;
                const int rounds = std::max(10, static_cast<int>(60 * m_timeScale));
                // Alternates between both paths, so that other load on the machine affects them equally.
                for (int i = 0; i < rounds; ++i) {
                    direct.push_back(measureRequestMs(m_directSender, tokens));
                    throughNode.push_back(measureRequestMs(m_nodeSender, tokens));
                }
                points.push_back({ static_cast<double>(tokens), median(throughNode) - median(direct) });
            }
            report("p50 added to a direct streamed request, ms against tokens", "ms/token", "added_p50_ms", points, 1);
        }

        void measureProcessorTime()
        {
            setSlowFactor(0.05);
            std::vector<CostPoint> points;
            for (const int requests : { 400, 800, 1600 }) {
                const double before = processorSeconds(m_nodeProcess);
                const auto count = static_cast<int>(requests * m_timeScale);
                std::atomic<int> sentCount { 0 };
                std::vector<std::thread> pool;
                for (int i = 0; i < 8; ++i) {
                    pool.emplace_back([&] {
                        while (sentCount++ < count)
                            checkResponse(m_nodeSender.send(makeCompletion(m_nextRequestNumber++, 8, false)));
                    });
                }
                for (auto& thread : pool)
                    thread.join();
                points.push_back({ static_cast<double>(count), processorSeconds(m_nodeProcess) - before });
            }
            const auto line
                = report("processor time of the node, s against requests", "s/request", "processor_s", points, 1);
            const double requestsPerCore = line.slope > 0 ? 1 / line.slope : 0;
            m_text << "  requests/s per core: " << std::setprecision(0) << requestsPerCore << std::setprecision(3)
                   << "\n";
            m_json["requests_per_s_per_core"] = requestsPerCore;
        }

        void measureTokenProcessorTime()
        {
            setSlowFactor(0.5);
            std::vector<CostPoint> points;
            constexpr int streams = 16;
            for (const uint32_t tokens : { 64U, 256U, 512U }) {
                const double before = processorSeconds(m_nodeProcess);
                std::vector<std::thread> streamThreads;
                for (int i = 0; i < streams; ++i)
                    streamThreads.emplace_back(
                        [&] { checkResponse(m_nodeSender.send(makeCompletion(m_nextRequestNumber++, tokens, true))); });
                for (auto& thread : streamThreads)
                    thread.join();
                points.push_back({ static_cast<double>(streams * tokens), processorSeconds(m_nodeProcess) - before });
            }
            report("processor time of the node, s against streamed tokens", "s/token", "token_processor_s", points, 1);
        }

        void measureStreamMemory()
        {
            setSlowFactor(1);
            std::vector<CostPoint> points { { 0, residentBytes(m_nodeProcess) } };
            for (const int streams : { 30, 60, 120 }) {
                std::vector<std::thread> streamThreads;
                for (int i = 0; i < streams; ++i)
                    streamThreads.emplace_back([&] {
                        checkResponse(m_nodeSender.send(makeCompletion(m_nextRequestNumber++, streamTokens, true)));
                    });
                std::this_thread::sleep_for(std::chrono::milliseconds(700));
                points.push_back({ static_cast<double>(streams), residentBytes(m_nodeProcess) });
                for (auto& thread : streamThreads)
                    thread.join();
            }
            report(
                "resident memory of the node, bytes against open streams", "bytes/stream", "resident_bytes", points, 0);
        }

        void finish(ScenarioReport& report)
        {
            m_result.requests = m_nextRequestNumber;
            report.results.push_back(std::move(m_result));
            report.text += m_text.str();
            report.details[std::string(nameOf(m_fleet.policy()))] = m_json;
        }

    private:
        static constexpr uint32_t streamTokens = 600;

        void setSlowFactor(double factor)
        {
            ProcessFleet::setFaults(m_fleet.processes().engineAddress(0), { { "slow_factor", factor } });
        }

        double measureRequestMs(const RequestSender& sender, uint32_t tokens)
        {
            const auto request = makeCompletion(m_nextRequestNumber++, tokens, true);
            const auto start = Clock::now();
            const auto result = sender.send(request);
            const double ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
            checkResponse(result);
            return ms;
        }

        /// Counts the outcome and checks the history invariants. Each response must be complete; this scenario sends no
        /// load that a node should refuse.
        void checkResponse(const RequestResult& result)
        {
            const std::lock_guard lock(m_mutex);
            ++m_result.outcomes[result.record.outcome];
            auto record = result.record;
            record.requestNumber = 0;
            for (auto& finding : testing::checkHistory({ record }, {}, 1)) {
                finding.requestNumber = result.record.requestNumber;
                m_result.findings.push_back(std::move(finding));
            }
        }

        CostLine report(const std::string& title, const std::string& unit, const std::string& key,
            const std::vector<CostPoint>& points, int pointDigits)
        {
            const auto line = CostLine::fit(points);
            m_text << "  " << title << ":";
            for (const auto& point : points)
                m_text << std::setprecision(0) << " (" << point.x << ", " << std::setprecision(pointDigits ? 3 : 0)
                       << point.y << ")";
            m_text << std::setprecision(6) << "; slope " << line.slope << " " << unit << ", intercept "
                   << line.intercept << "\n";
            for (const auto& point : points)
                m_json[key]["points"].push_back({ point.x, point.y });
            m_json[key]["slope"] = line.slope;
            m_json[key]["intercept"] = line.intercept;
            return line;
        }

        Deployment m_deployment;
        LoadFleet m_fleet;
        double m_timeScale;
        RequestSender m_directSender;
        RequestSender m_nodeSender;
        pid_t m_nodeProcess;
        std::atomic<uint64_t> m_nextRequestNumber { 0 };
        std::mutex m_mutex;
        LoadResult m_result;
        std::ostringstream m_text;
        nlohmann::json m_json;
    };

    Deployment createSmallDeployment(const ScenarioOptions& options)
    {
        auto deployment = Deployment::create(options.deployment);
        deployment.nodeSettings = options.nodeSettings;
        deployment.nodes = 1;
        deployment.engines = 1;
        deployment.services = 1;
        deployment.models = 1;
        deployment.adapters = 0;
        deployment.slots = 150;
        deployment.prefillMs = 1;
        deployment.tokenMs = 2;
        deployment.longWorkTokens = 4096; // All requests count as short work; admission of long work is not measured.
        return deployment;
    }

} // namespace

CostLine CostLine::fit(const std::vector<CostPoint>& points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const auto& point : points) {
        sumX += point.x;
        sumY += point.y;
        sumXX += point.x * point.x;
        sumXY += point.x * point.y;
    }
    const auto count = static_cast<double>(points.size());
    const double determinant = count * sumXX - sumX * sumX;
    if (determinant <= 0)
        return {};
    CostLine line;
    line.slope = (count * sumXY - sumX * sumY) / determinant;
    line.intercept = (sumY - line.slope * sumX) / count;
    return line;
}

ScenarioReport runNodeCost(const ScenarioOptions& options)
{
    ScenarioReport report;
    for (const auto policy : { PolicyKind::Baseline, PolicyKind::Default }) {
        NodeCostRun run(createSmallDeployment(options), policy, options.timeScale);
        run.measureLatency();
        run.measureProcessorTime();
        run.measureTokenProcessorTime();
        run.measureStreamMemory();
        run.finish(report);
    }
    return report;
}

} // namespace cyclamenstair::load
