#include <platform/PlatformStore.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <StandIns/RegistryStoreStandIn.h>
#include <StandIns/ScriptedHttpServer.h>

#include <gtest/gtest.h>

#include <future>

using namespace cyclamenstair;

namespace {

/// Client of the store on an event loop of its own, with calls that wait for their outcome.
class BlockingStore {
public:
    explicit BlockingStore(const std::string& address)
        : m_store(m_loop.context(), parseEndpoint(address).value(), address, {})
    {
        m_loop.start();
    }
    ~BlockingStore() { m_loop.stop(); }

    int64_t put(const std::string& key, int64_t leaseId = 0)
    {
        const StoreTransaction transaction { {}, { StorePut { key, "value", leaseId } } };
        const auto outcome = await<StoreWriteOutcome>([&](auto handler) { m_store.transact(transaction, handler); });
        const auto* applied = std::get_if<StoreApplied>(&outcome);
        return applied ? applied->revision : 0;
    }

    StoreReadOutcome range()
    {
        return await<StoreReadOutcome>([&](auto handler) { m_store.range("my/", handler); });
    }

    StoreWatchOutcome watch(int64_t afterRevision)
    {
        return await<StoreWatchOutcome>(
            [&](auto handler) { m_store.watch("my/", afterRevision, milliseconds(100), handler); });
    }

    int64_t grantLease()
    {
        return await<std::optional<int64_t>>([&](auto handler) {
            m_store.grantLease(milliseconds(60000), handler);
        }).value_or(0);
    }

    StoreLeaseOutcome keepLeaseAlive(int64_t leaseId)
    {
        return await<StoreLeaseOutcome>([&](auto handler) { m_store.keepLeaseAlive(leaseId, handler); });
    }

    void revokeLease(int64_t leaseId)
    {
        std::promise<void> done;
        m_loop.post([&] {
            m_store.revokeLease(leaseId);
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    template <typename Outcome> Outcome await(const std::function<void(std::function<void(Outcome)>)>& call)
    {
        std::promise<Outcome> promise;
        m_loop.post([&] { call([&](Outcome outcome) { promise.set_value(std::move(outcome)); }); });
        return promise.get_future().get();
    }

    EventLoop m_loop;
    PlatformStore m_store;
};

} // namespace

// Guards against a revision that is given out again after the store has returned from an older copy, and that serves as
// the fencing token of two lease holders.
TEST(PlatformStore, RevisionsGrowWhenTheStoreReturnsFromACopy)
{
    RegistryStoreStandIn server;
    BlockingStore store(server.address());
    const auto before = store.put("my/a");
    server.keepCopy();
    const auto lost = store.put("my/b");
    server.returnFromCopy();
    const auto after = store.put("my/c");
    EXPECT_GT(before, 0);
    EXPECT_GT(lost, before);
    EXPECT_GT(after, lost);
    const auto range = store.range();
    EXPECT_GE(std::get<StoreRange>(range).revision, after);
}

// Guards against a lease that counts as renewed because the store, back from an older copy, has granted its id to
// another node, and against that node's lease being revoked.
TEST(PlatformStore, LeaseEndsWhenTheStoreReturnsFromACopy)
{
    RegistryStoreStandIn server;
    BlockingStore store(server.address());
    BlockingStore otherStore(server.address());
    server.keepCopy();
    const auto lease = store.grantLease();
    EXPECT_EQ(store.keepLeaseAlive(lease), StoreLeaseOutcome::Alive);
    server.returnFromCopy();
    const auto otherLease = otherStore.grantLease();
    EXPECT_GT(otherStore.put("my/other", otherLease), 0);
    EXPECT_EQ(store.keepLeaseAlive(lease), StoreLeaseOutcome::Expired);
    store.revokeLease(lease);
    EXPECT_EQ(store.put("my/own", lease), 0);
    EXPECT_EQ(otherStore.keepLeaseAlive(otherLease), StoreLeaseOutcome::Alive);
    EXPECT_TRUE(server.value("my/other"));
}

// Guards against a watch that misses changes: after a return from an older copy, revisions can pass the watch's start
// before it connects, so that the store does not report its history as lost.
TEST(PlatformStore, WatchLosesItsHistoryWhenTheStoreReturnsFromACopy)
{
    RegistryStoreStandIn server;
    BlockingStore store(server.address());
    BlockingStore otherStore(server.address());
    server.keepCopy();
    const auto position = store.put("my/a");
    server.returnFromCopy();
    for (int i = 0; i < 5; ++i)
        (void)otherStore.put("my/b");
    EXPECT_TRUE(std::holds_alternative<StoreHistoryLost>(store.watch(position)));
    // Known to the client by now.
    EXPECT_TRUE(std::holds_alternative<StoreHistoryLost>(store.watch(position)));
    const auto range = store.range();
    EXPECT_TRUE(std::holds_alternative<StoreChanges>(store.watch(std::get<StoreRange>(range).revision)));
}

// Guards against a late answer of an earlier era, and one whose era cannot be read, that is taken for the store's
// state.
TEST(PlatformStore, AnswersOfEarlierOrMalformedErasFail)
{
    std::mutex mutex;
    std::string era;
    ScriptedHttpServer server([&](const ScriptedRequest&) {
        std::lock_guard lock(mutex);
        const std::string body = R"({"items":[],"has_more":false,"store_revision":7})";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + era + "\r\n" + body;
    });
    BlockingStore store(server.address());
    const auto revisionIn = [&](const std::string& field) {
        {
            std::lock_guard lock(mutex);
            era = field;
        }
        const auto outcome = store.range();
        const auto* range = std::get_if<StoreRange>(&outcome);
        return range ? range->revision : 0;
    };
    EXPECT_EQ(revisionIn(""), 7);
    for (const std::string malformed : { "", "x", "-1", "1.5", "1 2", "99999999999999999999" })
        EXPECT_EQ(revisionIn("Store-Era: " + malformed + "\r\n"), 0) << malformed;
    const auto first = revisionIn("Store-Era: 3\r\n");
    EXPECT_GT(first, 7);
    EXPECT_EQ(revisionIn("Store-Era: 3\r\n"), first);
    EXPECT_EQ(revisionIn("Store-Era: 2\r\n"), 0);
    EXPECT_EQ(revisionIn(""), 0);
    EXPECT_EQ(revisionIn("Store-Era: 3\r\nStore-Era: 4\r\n"), 0);
    EXPECT_GT(revisionIn("Store-Era: 4\r\n"), first);
}
