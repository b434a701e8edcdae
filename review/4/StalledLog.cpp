// The reader of one machine's log stops reading for some seconds and then goes on. Checks that the machine's process
// still answers its requests by their route's timeout.

#include "Stage.h"

using namespace review;

namespace {

constexpr int64_t troubleStartMs = 4000;
constexpr int64_t stallMs = 20000;
constexpr int64_t afterStallMs = 3000;
constexpr int routeTimeoutMs = 1000;
constexpr int64_t lateMs = 500; // after the route's timeout

/// Passes a process's standard output on to a file, as a platform's log collector does.
class LogReader {
public:
    explicit LogReader(const std::string& path)
        : m_file(path)
    {
        if (::pipe2(m_pipe, O_CLOEXEC) != 0)
            throw std::runtime_error("no pipe");
        m_thread = std::thread([this] { run(); });
    }
    ~LogReader()
    {
        m_isStalled = false;
        ::close(m_pipe[1]);
        m_thread.join();
        ::close(m_pipe[0]);
    }
    int input() const { return m_pipe[1]; }
    void setStalled(bool isStalled) { m_isStalled = isStalled; }

private:
    void run()
    {
        char bytes[4096];
        while (true) {
            if (m_isStalled) {
                sleepMs(10);
                continue;
            }
            const auto count = ::read(m_pipe[0], bytes, sizeof(bytes));
            if (count <= 0)
                return;
            m_file.write(bytes, count);
        }
    }

    std::ofstream m_file;
    int m_pipe[2] { -1, -1 };
    std::atomic<bool> m_isStalled { false };
    std::thread m_thread;
};

bool play(const std::string& folder, Record& record, bool hasTrouble)
{
    Store store;
    store.put("op/config", siteConfig(1).dump());
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < 4; ++i) {
        const auto runner = "i-ledger-" + std::to_string(i);
        runners.push_back(
            std::make_unique<Runner>(store, runner, "ledger", [runner](Channel& channel, const Message& request) {
                sleepMs(30);
                return channel.write(response(200, "row", receipt(request, runner)));
            }));
        runners.back()->registerAs("ready");
    }
    LogReader reader(folder + "/collected.log");
    Node node("front-1", store, folder);
    node.start(reader.input());
    if (!node.waitUntilReady())
        throw std::runtime_error("the node is not ready");
    std::atomic<bool> isOver { false };
    std::atomic<int> answered { 0 };
    std::atomic<int> unansweredAtTimeout { 0 };
    std::atomic<int> unansweredLate { 0 };
    std::vector<std::thread> requesters;
    for (int i = 0; i < 8; ++i) {
        requesters.emplace_back([&, i] {
            for (int number = 0; !isOver; ++number) {
                sleepMs(100);
                const auto id = "roster-" + std::to_string(i) + "-" + std::to_string(number);
                const auto sentAt = Clock::now();
                const auto channel = Channel::connect(node.port());
                Message answer;
                auto end = ReadEnd::Reset;
                if (channel && channel->write(callerRequest("GET", "/roster/x", id, routeTimeoutMs)))
                    end = channel->read(answer, sentAt + std::chrono::milliseconds(routeTimeoutMs + lateMs));
                const auto elapsed = msSince(sentAt);
                answered += end == ReadEnd::Complete ? 1 : 0;
                unansweredAtTimeout += elapsed >= routeTimeoutMs ? 1 : 0;
                unansweredLate += end == ReadEnd::TimedOut ? 1 : 0;
                record.line("requester: " + id + " status " + std::to_string(answer.status()) + ", " + nameOf(end)
                    + " after " + std::to_string(elapsed) + " ms");
            }
        });
    }
    sleepMs(troubleStartMs);
    reader.setStalled(hasTrouble);
    record.line(hasTrouble ? "the reader of front-1's log stops reading" : "no trouble");
    sleepMs(stallMs);
    record.line(std::string("readiness of front-1: ") + (node.isReady() ? "200" : "no 200 within a second"));
    reader.setStalled(false);
    record.line("the reader of front-1's log reads on");
    sleepMs(afterStallMs);
    isOver = true;
    for (auto& requester : requesters)
        requester.join();
    node.kill(SIGKILL);
    const auto summary = "answered " + std::to_string(answered) + ", without an answer at the route's timeout "
        + std::to_string(unansweredAtTimeout) + ", of these without one half a second later "
        + std::to_string(unansweredLate);
    record.line(summary);
    std::cout << summary << std::endl;
    if (answered == 0)
        throw std::runtime_error("the deployment did not serve");
    return unansweredLate * 2 > unansweredAtTimeout;
}

} // namespace

int main(int, char** argv) { return runCase(play, argv[1]); }
