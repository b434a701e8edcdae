// A machine is stopped with SIGTERM while its streams run. One runner preempts its newest streams for 1.6 s, the other
// has become full and turns requests away. Checks that each request that was read and passed on gets its complete
// answer.

#include "Stage.h"

using namespace review;

namespace {

constexpr int eventCount = 40;
constexpr int64_t eventMs = 30;
constexpr int eventBeforePause = 10;
constexpr int streamsThatRunOn = 3; // at the preempting runner
constexpr int64_t pauseMs = 1600; // below the 2,400 ms after which a requester of this route abandons a stream
constexpr int64_t abandonMs = 2400;
constexpr int64_t graceMs = 8000;
constexpr int64_t fullAfterStopMs = 900;
constexpr int requestCount = 12;
constexpr int64_t requestGapMs = 120;
constexpr int deadlineMs = 15000;

struct Outcome {
    std::string id;
    int64_t sentMs { 0 };
    int64_t endedMs { 0 };
    int status { 0 };
    ReadEnd end { ReadEnd::Reset };
    int events { 0 };
};

bool play(const std::string& folder, Record& record, bool hasTrouble)
{
    Store store;
    store.put("op/config", siteConfig(1).dump());
    const auto models = Json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", Json::array() } } });
    std::atomic<bool> isPreempting { false };
    std::atomic<bool> isFull { false };
    std::mutex mutex;
    std::map<std::string, std::set<std::string>> closedAtRunner; ///< Runs that ended because the caller closed.
    std::atomic<int> streamsAtPreempting { 0 };
    const auto stream = [&](Channel& channel, const Message& request, const std::string& runner, bool mayPause) {
        // Only the newest streams are preempted.
        const bool isPreempted = mayPause && streamsAtPreempting++ >= streamsThatRunOn;
        const auto id = request.field("cyclamenstair-request-id");
        const auto last = request.field("last-event-id");
        record.line(runner + ": runs " + id + (last.empty() ? "" : " after event " + last));
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto& [name, value] : receipt(request, runner))
            head += name + ": " + value + "\r\n";
        bool isOpen = channel.write(head + "\r\n");
        for (int event = last.empty() ? 1 : std::stoi(last) + 1; isOpen && event <= eventCount; ++event) {
            if (isPreempted && event == eventBeforePause && isPreempting) {
                record.line(runner + ": preempts " + id + " for " + std::to_string(pauseMs) + " ms");
                sleepMs(pauseMs);
            }
            sleepMs(eventMs);
            const auto text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            std::ostringstream chunk;
            chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
            isOpen = channel.write(chunk.str());
        }
        isOpen = isOpen && channel.write("0\r\n\r\n");
        record.line(runner + (isOpen ? ": has ended " : ": the caller closed ") + id);
        if (!isOpen) {
            std::lock_guard lock(mutex);
            closedAtRunner[id].insert(runner);
        }
        return isOpen;
    };
    Runner preempting(
        store, "i-preempting", "drafting",
        [&](Channel& channel, const Message& request) { return stream(channel, request, "i-preempting", true); },
        models);
    Runner full(
        store, "i-full", "drafting",
        [&](Channel& channel, const Message& request) {
            if (!isFull)
                return stream(channel, request, "i-full", false);
            const auto id = request.field("cyclamenstair-request-id");
            record.line("i-full: turns " + id + " away");
            return channel.write(
                response(503, "", { { "Cyclamenstair-Not-Run", "1" }, { "Cyclamenstair-Request-Id", id } }));
        },
        models);
    preempting.registerAs("ready");
    full.registerAs("ready");
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 1; i <= 3; ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i), store, folder));
        nodes.back()->start();
    }
    for (const auto& node : nodes) {
        if (!node->waitUntilReady())
            throw std::runtime_error("a node is not ready");
    }
    sleepMs(4000);
    auto& node = *nodes.front();
    std::vector<Outcome> outcomes;
    std::vector<std::thread> requesters;
    const auto stopAt = Clock::now() + std::chrono::milliseconds(500);
    isPreempting = hasTrouble;
    for (int i = 0; i < requestCount; ++i) {
        requesters.emplace_back([&, i] {
            sleepMs(i * requestGapMs);
            const auto channel = Channel::connect(node.port());
            if (channel) {
                Outcome outcome;
                outcome.id = "draft-" + std::to_string(i);
                outcome.sentMs = msSince(stopAt);
                if (!channel->write(callerRequest("POST", "/draft/x", outcome.id, deadlineMs, "{}",
                        "Cyclamenstair-Model: m0\r\nCyclamenstair-Token-Count: 1460,80\r\n")))
                    return;
                Message answer;
                outcome.end = channel->readHead(answer, afterMs(abandonMs));
                outcome.status = answer.status();
                for (std::string line; outcome.end == ReadEnd::Complete && outcome.status == 200;) {
                    // One chunk: its size, its bytes and an empty line. The requester's patience begins anew with each.
                    outcome.end = channel->readLine(line, afterMs(abandonMs));
                    const auto size = outcome.end == ReadEnd::Complete ? std::stoul(line, nullptr, 16) : 0;
                    std::string bytes;
                    if (outcome.end == ReadEnd::Complete)
                        outcome.end = channel->readBytes(size + 2, bytes, afterMs(abandonMs));
                    for (size_t at = 0; (at = bytes.find("\n\n", at)) != std::string::npos; at += 2)
                        ++outcome.events;
                    if (size == 0)
                        break;
                }
                outcome.endedMs = msSince(stopAt);
                record.line("requester: " + outcome.id + " sent " + std::to_string(outcome.sentMs)
                    + " ms after SIGTERM, status " + std::to_string(outcome.status) + ", "
                    + std::to_string(outcome.events) + " of " + std::to_string(eventCount) + " events, "
                    + nameOf(outcome.end) + " at " + std::to_string(outcome.endedMs) + " ms");
                std::lock_guard lock(mutex);
                outcomes.push_back(std::move(outcome));
            }
        });
    }
    std::this_thread::sleep_until(stopAt);
    if (hasTrouble) {
        record.line("SIGTERM to " + node.name());
        node.signal(SIGTERM);
    }
    // By now all requests have been passed on.
    std::this_thread::sleep_until(stopAt + std::chrono::milliseconds(fullAfterStopMs));
    isFull = hasTrouble;
    for (auto& requester : requesters)
        requester.join();
    if (hasTrouble) {
        while (msSince(stopAt) < graceMs && !node.endedStatus())
            sleepMs(20);
        record.line(node.name() + " has ended");
    }
    int complete = 0;
    int lost = 0;
    for (const auto& outcome : outcomes) {
        complete += outcome.status == 200 && outcome.end == ReadEnd::Complete && outcome.events == eventCount ? 1 : 0;
        // Passed on to a runner that didn't break off, and cut between SIGTERM and 1 s after the grace period, long
        // before its deadline.
        const bool isCut = (outcome.end == ReadEnd::Closed || outcome.end == ReadEnd::Reset)
            && closedAtRunner.contains(outcome.id) && outcome.endedMs >= 0 && outcome.endedMs < graceMs * 5 / 6
            && outcome.endedMs - outcome.sentMs < deadlineMs * 7 / 10;
        lost += isCut ? 1 : 0;
    }
    const auto summary = "requests " + std::to_string(outcomes.size()) + ", complete " + std::to_string(complete)
        + ", passed on and cut without a complete answer " + std::to_string(lost);
    record.line(summary);
    std::cout << summary << std::endl;
    if (complete == 0)
        throw std::runtime_error("the deployment did not serve");
    return hasTrouble && lost > 0;
}

} // namespace

int main(int, char** argv) { return runCase(play, argv[1]); }
