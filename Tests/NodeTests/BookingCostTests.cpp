#include <Cyclamenstair/Node/BookingExecutor.h>
#include <Cyclamenstair/Settings/SettingsReader.h>
#include <StandIns/ServiceStandIn.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    // Guards against more store calls than section 6.3 allows: two writes per booking and one lease for all of them.
    // Retries use the local claim table and need no store call.
    TEST(BookingCost, BookingUsesTwoStoreWrites)
    {
        constexpr int bookingCount = 25;
        const auto settings = SettingsReader::create("").value();
        standin::ServiceStandIn service;
        TargetStatus status;
        status.target = "service-1";
        status.kind = TargetKind::Service;
        status.address = "127.0.0.1:" + std::to_string(service.start());
        status.artifacts = { "bookings" };
        TargetDirectory directory;
        directory.update(status);
        MemoryStore memoryStore;
        StoreFaults faults;
        StoreClient store(MemoryBackend(memoryStore, faults), {});
        GossipTable gossip;
        RequestExecutor executor(settings, directory);
        BookingExecutor bookingExecutor(settings, "node-1/a", "0123456789abcdef", store, gossip, executor);

        int responseCount = 0;
        const auto book = [&](int number) {
            Request request;
            request.id = "r" + std::to_string(number);
            request.caller = "board";
            request.artifact = "bookings";
            request.path = "/slots";
            request.body = "{}";
            request.idempotencyKey = std::to_string(number);
            request.arrival = monotonicNow();
            request.window = milliseconds(5000);
            request.isRepeatable = false;
            const auto result = bookingExecutor.run(request, [&](Duration) { ++responseCount; });
            ASSERT_TRUE(std::holds_alternative<BufferedResponse>(result));
        };
        for (int i = 0; i < bookingCount; ++i)
            book(i);
        for (int i = 0; i < bookingCount; ++i)
            book(i);
        EXPECT_EQ(responseCount, bookingCount);
        auto calls = store.callCounts();
        EXPECT_EQ(calls[StoreCallKind::Transaction], 2U * bookingCount);
        EXPECT_EQ(calls[StoreCallKind::LeaseGrant], 1U);
        EXPECT_EQ(calls[StoreCallKind::Range], 0U);
    }

} // namespace
} // namespace cyclamenstair
