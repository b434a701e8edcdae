// A runner that is in trouble answers the requests for one model with a chunked body whose first chunk-size line never
// ends, until the caller closes. Checks that no node exceeds the memory of its machine because of it.

#include "Stage.h"

using namespace review;

namespace {

constexpr double memoryLimitMb = 260; // memory_mb of the site's machines
constexpr int64_t bytesPerMs = 120000; // below the 1,000 Mbit/s of a machine's link
constexpr int64_t abandonMs = 2400; // four times the objective of 600 ms
constexpr int64_t restartMs = 1000;
constexpr int64_t troubleStartMs = 4000;
constexpr int64_t troubleMs = 60000;
constexpr int minEnds = 3;
constexpr size_t minMachines = 2;

/// Sends hexadecimal digits without an end of line, at the rate of the link.
void sendEndlessChunkSize(Channel& channel, Record& record, const std::string& id)
{
    const std::string digits(64 * 1024, '0');
    const auto start = Clock::now();
    int64_t sent = 0;
    while (channel.write(digits)) {
        sent += static_cast<int64_t>(digits.size());
        if (const auto ahead = sent / bytesPerMs - msSince(start); ahead > 0)
            sleepMs(ahead);
    }
    record.line("runner: caller closed request " + id + " after " + std::to_string(sent / 1000000) + " MB");
}

bool stream(Channel& channel, const Message& request, const std::string& runner)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : receipt(request, runner))
        head += name + ": " + value + "\r\n";
    if (!channel.write(head + "\r\n"))
        return false;
    for (int event = 1; event <= 20; ++event) {
        const auto text = "id: " + std::to_string(event) + "\ndata: token\n\n";
        std::ostringstream chunk;
        chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
        if (!channel.write(chunk.str()))
            return false;
        sleepMs(20);
    }
    return channel.write("0\r\n\r\n");
}

/// Kills a process that exceeds the memory of its machine, as the platform does, and starts it again.
struct Machine {
    std::unique_ptr<Node> node;
    std::atomic<int> ends { 0 };
    std::atomic<bool> isRunning { true };

    void watch(Record& record, const std::atomic<bool>& isOver)
    {
        double peak = 0;
        while (!isOver) {
            sleepMs(10);
            const auto memory = node->memoryMb();
            peak = std::max(peak, memory);
            const bool hasEnded = node->endedStatus().has_value();
            if (memory <= memoryLimitMb && !hasEnded)
                continue;
            isRunning = false;
            record.line(node->name() + (hasEnded ? " ended by itself" : " exceeds its memory and is killed: ")
                + (hasEnded ? "" : std::to_string(memory) + " MB"));
            node->kill(SIGKILL);
            ++ends;
            sleepMs(restartMs);
            node->start();
            isRunning = true;
            peak = 0;
        }
        record.line(node->name() + " peak memory since its last start: " + std::to_string(peak)
            + " MB, ends: " + std::to_string(ends));
    }
};

bool play(const std::string& folder, Record& record, bool hasTrouble)
{
    Store store;
    store.put("op/config", siteConfig(1).dump());
    std::atomic<bool> isInTrouble { false };
    std::atomic<bool> isOver { false };
    Runner drafting(
        store, "i-drafting", "drafting",
        [&](Channel& channel, const Message& request) {
            const auto id = request.field("cyclamenstair-request-id");
            record.line("runner: runs " + id);
            if (!isInTrouble)
                return stream(channel, request, "i-drafting");
            std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            for (const auto& [name, value] : receipt(request, "i-drafting"))
                head += name + ": " + value + "\r\n";
            if (channel.write(head + "\r\n"))
                sendEndlessChunkSize(channel, record, id);
            return false;
        },
        Json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", Json::array() } } }));
    Runner ledger(store, "i-ledger", "ledger", [&](Channel& channel, const Message& request) {
        sleepMs(30);
        return channel.write(response(200, "booked", receipt(request, "i-ledger")));
    });
    drafting.registerAs("ready");
    ledger.registerAs("ready");

    std::vector<Machine> machines(3);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < machines.size(); ++i) {
        machines[i].node = std::make_unique<Node>("front-" + std::to_string(i + 1), store, folder);
        machines[i].node->start();
    }
    for (auto& machine : machines) {
        if (!machine.node->waitUntilReady())
            throw std::runtime_error("a node is not ready");
    }
    std::atomic<int> lostBookings { 0 };
    std::atomic<int> answeredBookings { 0 };
    std::atomic<int> completeStreams { 0 };
    for (auto& machine : machines) {
        threads.emplace_back([&] { machine.watch(record, isOver); });
        // One requester of streams, which gives up after a gap, and one of bookings.
        threads.emplace_back([&] {
            for (int number = 0; !isOver; ++number) {
                const auto id = machine.node->name() + "-draft-" + std::to_string(number);
                const auto channel = Channel::connect(machine.node->port());
                Message answer;
                auto end = ReadEnd::Reset;
                if (channel
                    && channel->write(callerRequest("POST", "/draft/x", id, 15000, "{}",
                        "Cyclamenstair-Model: m0\r\nCyclamenstair-Token-Count: 1460,80\r\n")))
                    end = channel->read(answer, afterMs(abandonMs));
                record.line("requester: " + id + " status " + std::to_string(answer.status()) + ", " + nameOf(end));
                completeStreams += answer.status() == 200 && end == ReadEnd::Complete ? 1 : 0;
                sleepMs(300);
            }
        });
        threads.emplace_back([&] {
            for (int number = 0; !isOver; ++number) {
                sleepMs(20);
                const auto id = machine.node->name() + "-commit-" + std::to_string(number);
                const auto channel = Channel::connect(machine.node->port());
                Message answer;
                if (!channel || !channel->write(callerRequest("POST", "/commit/x", id, 1000)))
                    continue;
                const auto end = channel->read(answer, afterMs(1500));
                if (end == ReadEnd::Complete) {
                    ++answeredBookings;
                } else {
                    ++lostBookings;
                    record.line("requester: " + id + " was read by the node and got no answer: " + nameOf(end));
                }
            }
        });
    }
    sleepMs(troubleStartMs);
    record.line(hasTrouble ? "the runner is in trouble from now on" : "no trouble");
    isInTrouble = hasTrouble;
    const auto countEnded = [&] {
        return static_cast<size_t>(std::count_if(
            machines.begin(), machines.end(), [](const auto& machine) { return machine.ends >= minEnds; }));
    };
    for (const auto end = afterMs(hasTrouble ? troubleMs : 20000); Clock::now() < end && countEnded() < minMachines;)
        sleepMs(100);
    isOver = true;
    drafting.server().closeConnections();
    for (auto& thread : threads)
        thread.join();
    std::string summary
        = "processes that ended by exceeding " + std::to_string(static_cast<int>(memoryLimitMb)) + " MB:";
    for (auto& machine : machines)
        summary += " " + machine.node->name() + " " + std::to_string(machine.ends);
    record.line(summary);
    record.line("bookings answered " + std::to_string(answeredBookings) + ", without an answer "
        + std::to_string(lostBookings) + "; complete streams " + std::to_string(completeStreams));
    std::cout << summary << "; bookings without an answer: " << lostBookings << std::endl;
    if (completeStreams == 0 || answeredBookings == 0)
        throw std::runtime_error("the deployment did not serve");
    return countEnded() >= minMachines;
}

} // namespace

int main(int, char** argv) { return runCase(play, argv[1]); }
