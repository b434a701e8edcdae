// One runner of eight hangs in the middle of part of its answers. Checks that each success that a requester gets is the
// whole body of the runner whose receipt it bears, and nothing else.

#include "Stage.h"

using namespace review;

namespace {

constexpr size_t runnerCount = 8;
constexpr double hangingShare = 0.4; // of the requests of the runner in trouble
constexpr int64_t troubleStartMs = 3000;
constexpr int64_t troubleMs = 6500;
constexpr int64_t playMs = 13000;
constexpr size_t bodyBytes = 800;

std::string bodyOf(const std::string& runner, const std::string& id)
{
    auto body = "runner=" + runner + " request=" + id + " ";
    return body + std::string(bodyBytes - body.size(), '.');
}

bool play(const std::string& folder, Record& record, bool hasTrouble)
{
    Store store;
    store.put("op/config", siteConfig(1).dump());
    std::atomic<bool> isInTrouble { false };
    std::vector<std::unique_ptr<Runner>> runners;
    for (size_t i = 0; i < runnerCount; ++i) {
        const auto runner = "i-ledger-" + std::to_string(i);
        auto count = std::make_shared<std::atomic<int>>(0);
        runners.push_back(std::make_unique<Runner>(
            store, runner, "ledger", [&, i, runner, count](Channel& channel, const Message& request) {
                const auto id = request.field("cyclamenstair-request-id");
                record.line(runner + ": runs " + id);
                sleepMs(15);
                const auto answer = response(200, bodyOf(runner, id), receipt(request, runner));
                const auto half = answer.size() - bodyBytes / 2;
                if (!channel.write(answer.substr(0, half)))
                    return false;
                const int number = (*count)++;
                const bool hangs = i == 0 && isInTrouble
                    && static_cast<int>((number + 1) * hangingShare) > static_cast<int>(number * hangingShare);
                if (hangs) {
                    record.line(runner + ": hangs in the middle of the answer to " + id);
                    std::string ignored;
                    (void)channel.readBytes(1, ignored, afterMs(10000));
                    return false;
                }
                sleepMs(15);
                return channel.write(answer.substr(half));
            }));
        runners.back()->registerAs("ready");
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 1; i <= 3; ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i), store, folder));
        nodes.back()->start();
    }
    for (const auto& node : nodes) {
        if (!node->waitUntilReady())
            throw std::runtime_error("a node is not ready");
    }
    std::atomic<int> whole { 0 };
    std::atomic<int> wrong { 0 };
    std::atomic<int> other { 0 };
    const auto end = afterMs(playMs);
    std::vector<std::thread> requesters;
    for (size_t i = 0; i < 12; ++i) {
        requesters.emplace_back([&, i] {
            auto& node = *nodes[i % nodes.size()];
            std::unique_ptr<Channel> channel;
            for (int number = 0; Clock::now() < end; ++number) {
                const auto id = "roster-" + std::to_string(i) + "-" + std::to_string(number);
                if (!channel)
                    channel = Channel::connect(node.port());
                Message answer;
                auto result = ReadEnd::Reset;
                if (channel && channel->write(callerRequest("GET", "/roster/x", id, 1000)))
                    result = channel->read(answer, afterMs(1500));
                const auto stamp = answer.field("cyclamenstair-response-stamp");
                const bool isSuccess = answer.status() == 200 && result == ReadEnd::Complete;
                if (isSuccess && stamp.starts_with("stamp-") && answer.body == bodyOf(stamp.substr(6), id)) {
                    ++whole;
                } else if (isSuccess) {
                    ++wrong;
                    record.line("WRONG BODY for " + id + ": receipt " + stamp + ", content-length "
                        + answer.field("content-length") + ", begins \"" + answer.body.substr(0, 60)
                        + "\", goes on after 400 bytes \"" + answer.body.substr(400, 60) + "\"");
                } else {
                    ++other;
                    record.line(
                        "requester: " + id + " status " + std::to_string(answer.status()) + ", " + nameOf(result));
                }
                if (result != ReadEnd::Complete)
                    channel.reset();
                sleepMs(80);
            }
        });
    }
    sleepMs(troubleStartMs);
    isInTrouble = hasTrouble;
    record.line(hasTrouble ? "i-ledger-0 hangs in part of its answers from now on" : "no trouble");
    sleepMs(troubleMs);
    isInTrouble = false;
    for (auto& requester : requesters)
        requester.join();
    const auto summary = "successes with the runner's whole body " + std::to_string(whole)
        + ", successes with another body " + std::to_string(wrong) + ", other ends " + std::to_string(other);
    record.line(summary);
    std::cout << summary << std::endl;
    if (whole == 0)
        throw std::runtime_error("the deployment did not serve");
    return wrong > 0;
}

} // namespace

int main(int, char** argv) { return runCase(play, argv[1]); }
