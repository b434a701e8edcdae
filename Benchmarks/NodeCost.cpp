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
        // The fields after the program's name in parentheses; user and system time are the 12th and 13th of them.
        std::istringstream fields(line.substr(line.rfind(')') + 2));
        std::string skipped;
        for (int i = 0; i < 11; ++i)
            fields >> skipped;
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

    /// Exact median; the buckets of a histogram are too wide for the difference of two similar times.
    double median(std::vector<double> values)
    {
        std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(values.size() / 2), values.end());
        return values[values.size() / 2];
    }

    PlannedCall completion(uint64_t number, uint32_t tokens, bool isStream)
    {
        PlannedCall call;
        call.number = number;
        call.artifact = artifact;
        call.prompt = "Request " + std::to_string(number);
        call.tokens = tokens;
        call.isStream = isStream;
        return call;
    }

    /// Measures on one fleet of one node and one engine.
    class NodeCostRun {
    public:
        NodeCostRun(const Deployment& deployment, PolicyKind policy, double timeScale)
            : m_deployment(deployment)
            , m_fleet(deployment, policy)
            , m_timeScale(timeScale)
            , m_direct(m_deployment, { m_fleet.processes().engineAddress(0) })
            , m_node(m_deployment, { m_fleet.processes().callerAddress(0) })
            , m_process(m_fleet.processes().node(0).id())
        {
            m_result.name = "node-cost, " + std::string(nameOf(policy));
            m_text << "node-cost, " << nameOf(policy) << "\n" << std::fixed << std::setprecision(3);
        }

        void measureLatency()
        {
            // Engine times that are short against the node's cost keep the jitter of the engine's sleeps small.
            setSlowFactor(0.05);
            std::vector<CostPoint> points;
            for (const uint32_t tokens : { 1U, 8U, 32U, 64U }) {
                std::vector<double> direct;
                std::vector<double> throughNode;
                const int rounds = std::max(10, static_cast<int>(60 * m_timeScale));
                // Taken in turn, so that other load on the machine changes both alike.
                for (int i = 0; i < rounds; ++i) {
                    direct.push_back(timeCall(m_direct, tokens));
                    throughNode.push_back(timeCall(m_node, tokens));
                }
                points.push_back({ static_cast<double>(tokens), median(throughNode) - median(direct) });
            }
            report("p50 added to a direct streamed call, ms against tokens", "ms/token", "added_p50_ms", points, 1);
        }

        void measureProcessorTime()
        {
            setSlowFactor(0.05);
            std::vector<CostPoint> points;
            for (const int requests : { 400, 800, 1600 }) {
                const double before = processorSeconds(m_process);
                const auto count = static_cast<int>(requests * m_timeScale);
                std::atomic<int> next { 0 };
                std::vector<std::thread> pool;
                for (int i = 0; i < 8; ++i) {
                    pool.emplace_back([&] {
                        while (next++ < count)
                            check(m_node.send(completion(m_number++, 8, false)));
                    });
                }
                for (auto& thread : pool)
                    thread.join();
                points.push_back({ static_cast<double>(count), processorSeconds(m_process) - before });
            }
            const auto line
                = report("processor time of the node, s against requests", "s/request", "processor_s", points, 1);
            const double perCore = line.slope > 0 ? 1 / line.slope : 0;
            m_text << "  requests/s per core: " << std::setprecision(0) << perCore << std::setprecision(3) << "\n";
            m_json["requests_per_s_per_core"] = perCore;
        }

        void measureTokenTime()
        {
            setSlowFactor(0.5);
            std::vector<CostPoint> points;
            constexpr int streams = 16;
            for (const uint32_t tokens : { 64U, 256U, 512U }) {
                const double before = processorSeconds(m_process);
                std::vector<std::thread> open;
                for (int i = 0; i < streams; ++i)
                    open.emplace_back([&] { check(m_node.send(completion(m_number++, tokens, true))); });
                for (auto& thread : open)
                    thread.join();
                points.push_back({ static_cast<double>(streams * tokens), processorSeconds(m_process) - before });
            }
            report("processor time of the node, s against streamed tokens", "s/token", "token_processor_s", points, 1);
        }

        void measureStreams()
        {
            setSlowFactor(1);
            std::vector<CostPoint> points { { 0, residentBytes(m_process) } };
            for (const int streams : { 30, 60, 120 }) {
                std::vector<std::thread> open;
                for (int i = 0; i < streams; ++i)
                    open.emplace_back([&] { check(m_node.send(completion(m_number++, streamTokens, true))); });
                std::this_thread::sleep_for(std::chrono::milliseconds(700));
                points.push_back({ static_cast<double>(streams), residentBytes(m_process) });
                for (auto& thread : open)
                    thread.join();
            }
            report(
                "resident memory of the node, bytes against open streams", "bytes/stream", "resident_bytes", points, 0);
        }

        void finish(ScenarioReport& report)
        {
            m_result.calls = m_number;
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

        double timeCall(const CallSender& sender, uint32_t tokens)
        {
            const auto call = completion(m_number++, tokens, true);
            const auto start = Clock::now();
            const auto result = sender.send(call);
            const double ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
            check(result);
            return ms;
        }

        /// Each answer must be whole; nothing in this scenario may be refused.
        void check(const CallResult& result)
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
        CallSender m_direct;
        CallSender m_node;
        pid_t m_process;
        std::atomic<uint64_t> m_number { 0 };
        std::mutex m_mutex;
        LoadResult m_result;
        std::ostringstream m_text;
        nlohmann::json m_json;
    };

    Deployment smallDeployment(const ScenarioOptions& options)
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
        deployment.longWorkTokens = 4096; // All calls count as short: this scenario measures costs, not admission.
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
    const double spread = count * sumXX - sumX * sumX;
    if (spread <= 0)
        return {};
    CostLine line;
    line.slope = (count * sumXY - sumX * sumY) / spread;
    line.intercept = (sumY - line.slope * sumX) / count;
    return line;
}

ScenarioReport runNodeCost(const ScenarioOptions& options)
{
    ScenarioReport report;
    for (const auto policy : { PolicyKind::Baseline, PolicyKind::Default }) {
        NodeCostRun run(smallDeployment(options), policy, options.timeScale);
        run.measureLatency();
        run.measureProcessorTime();
        run.measureTokenTime();
        run.measureStreams();
        run.finish(report);
    }
    return report;
}

} // namespace cyclamenstair::load
