#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Node/PlanExchange.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair {
namespace {

    const std::string fleetKey = "0123456789abcdef";

    Plan makePlan(uint64_t revision, size_t services)
    {
        Plan plan;
        plan.revision = revision;
        for (size_t i = 0; i < services; ++i)
            plan.services.push_back({ "service-" + std::to_string(i), Priority::Normal,
                milliseconds(static_cast<int64_t>(revision)), true });
        plan.sortRows();
        return plan;
    }

    /// Plan exchange of one node, with a server that handles fetches by other nodes.
    struct Peer {
        Peer()
        {
            PeerServerSettings settings;
            settings.node = "peer";
            settings.fleetKey = fleetKey;
            settings.timeout = milliseconds(5000);
            server
                = PeerServer::create(settings, [this](const PeerMessage& request, const std::string&) -> PeerMessage {
                      ++handledFetches;
                      return planExchange.handleFetch(std::get<PlanFetchRequestMessage>(request));
                  }).value();
        }

        bool fetchInto(PlanExchange& other) const
        {
            auto socket = FrameSocket::connect(
                "127.0.0.1:" + std::to_string(server->port()), "other", fleetKey, milliseconds(5000));
            return other.fetchFrom(socket.value());
        }

        ActivePlan activePlan;
        AuditTrail auditTrail { "peer" };
        PlanExchange planExchange { activePlan, auditTrail };
        std::atomic<int> handledFetches { 0 };
        std::unique_ptr<PeerServer> server;
    };

    // Guards against a node that activates a revision before announcing it: if the node then fails, no other node knows
    // of the revision.
    TEST(PlanExchange, AnnouncesRevisionBeforeActivation)
    {
        ActivePlan activePlan;
        AuditTrail auditTrail("node");
        PlanExchange planExchange(activePlan, auditTrail);
        std::vector<uint64_t> announced;
        planExchange.setAnnouncer([&](uint64_t revision) {
            EXPECT_LT(activePlan.revision(), revision);
            EXPECT_EQ(planExchange.handleFetch({ 0, 0, 0 }).revision, revision);
            announced.push_back(revision);
        });
        EXPECT_TRUE(planExchange.install(makePlan(3, 1), "store"));
        EXPECT_FALSE(planExchange.install(makePlan(2, 1), "peer"));
        EXPECT_FALSE(planExchange.install(makePlan(3, 1), "peer"));
        EXPECT_TRUE(planExchange.install(makePlan(4, 1), "peer"));
        EXPECT_EQ(announced, (std::vector<uint64_t> { 3, 4 }));
        EXPECT_EQ(activePlan.revision(), 4U);
        EXPECT_EQ(auditTrail.latest(10).size(), 2U);
    }

    // Guards against a failed transfer of plans larger than a frame, and against the transfer of the whole plan for a
    // small change.
    TEST(PlanExchange, TransfersLargePlansInPartsAndChangesAsDeltas)
    {
        Peer peer;
        ActivePlan activePlan;
        AuditTrail auditTrail("other");
        PlanExchange other(activePlan, auditTrail);
        EXPECT_FALSE(peer.fetchInto(other));
        const auto large = makePlan(7, 40000);
        ASSERT_GT(encodePlan(large).size(), FrameSocket::maxFrameBytes);
        peer.planExchange.install(large, "store");
        peer.handledFetches = 0;
        ASSERT_TRUE(peer.fetchInto(other));
        EXPECT_EQ(*other.stagedPlan(), large);
        EXPECT_GT(peer.handledFetches, 2);
        auto changed = large;
        for (uint64_t revision = 8; revision <= 10; ++revision) {
            changed.revision = revision;
            changed.services[revision].repeatable = false;
            peer.planExchange.install(changed, "store");
        }
        peer.handledFetches = 0;
        ASSERT_TRUE(peer.fetchInto(other));
        EXPECT_EQ(*other.stagedPlan(), changed);
        EXPECT_EQ(peer.handledFetches, 1);
        // Deltas received from the peer are available to further peers.
        EXPECT_EQ(other.handleFetch({ 8, 0, 0 }).deltas.size(), 2U);
        EXPECT_FALSE(peer.fetchInto(other));
    }

    // Guards against a plan assembled from parts of two revisions.
    TEST(PlanExchange, FetchDuringChangesReturnsConsistentPlans)
    {
        Peer peer;
        ActivePlan activePlan;
        AuditTrail auditTrail("other");
        PlanExchange other(activePlan, auditTrail);
        peer.planExchange.install(makePlan(1, 20000), "store");
        std::thread writer([&] {
            // Skipping a revision leaves no deltas, so the whole plan must be transferred.
            for (uint64_t revision = 3; revision < 43; revision += 2)
                peer.planExchange.install(makePlan(revision, 20000), "store");
        });
        for (int i = 0; i < 20; ++i) {
            peer.fetchInto(other);
            if (const auto plan = other.stagedPlan()) {
                EXPECT_EQ(*plan, makePlan(plan->revision, 20000));
            }
        }
        writer.join();
        peer.fetchInto(other);
        EXPECT_EQ(other.stagedRevision(), 41U);
    }

} // namespace
} // namespace cyclamenstair
