#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Node/PlanExchange.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair {
namespace {

    const std::string fleetKey = "0123456789abcdef";

    Plan planAt(uint64_t revision, size_t services)
    {
        Plan plan;
        plan.revision = revision;
        for (size_t i = 0; i < services; ++i)
            plan.services.push_back({ "service-" + std::to_string(i), Priority::Normal,
                milliseconds(static_cast<int64_t>(revision)), true });
        plan.sortRows();
        return plan;
    }

    /// A node's plans, and a listener that answers fetches.
    struct Peer {
        Peer()
        {
            PeerServerSettings settings;
            settings.node = "peer";
            settings.fleetKey = fleetKey;
            settings.timeout = milliseconds(5000);
            server
                = PeerServer::create(settings, [this](const PeerMessage& request, const std::string&) -> PeerMessage {
                      ++answers;
                      return plans.answer(std::get<PlanFetchRequestMessage>(request));
                  }).value();
        }

        bool fetchInto(PlanExchange& other) const
        {
            auto socket = FrameSocket::connect(
                "127.0.0.1:" + std::to_string(server->port()), "other", fleetKey, milliseconds(5000));
            return other.fetchFrom(socket.value());
        }

        ActivePlan inForce;
        AuditTrail audit { "peer" };
        PlanExchange plans { inForce, audit };
        std::atomic<int> answers { 0 };
        std::unique_ptr<PeerServer> server;
    };

    // Guards against a node that serves a revision of which it told nobody: if it is lost then, the revision is too.
    TEST(PlanExchange, AnnouncesARevisionBeforeItIsInForce)
    {
        ActivePlan inForce;
        AuditTrail audit("node");
        PlanExchange plans(inForce, audit);
        std::vector<uint64_t> announced;
        plans.setAnnouncer([&](uint64_t revision) {
            EXPECT_LT(inForce.revision(), revision);
            EXPECT_EQ(plans.answer({ 0, 0, 0 }).revision, revision);
            announced.push_back(revision);
        });
        EXPECT_TRUE(plans.install(planAt(3, 1), "store"));
        EXPECT_FALSE(plans.install(planAt(2, 1), "peer"));
        EXPECT_FALSE(plans.install(planAt(3, 1), "peer"));
        EXPECT_TRUE(plans.install(planAt(4, 1), "peer"));
        EXPECT_EQ(announced, (std::vector<uint64_t> { 3, 4 }));
        EXPECT_EQ(inForce.revision(), 4U);
        EXPECT_EQ(audit.latest(10).size(), 2U);
    }

    // Guards against plans that are larger than a frame, and against the whole plan being passed for a small change.
    TEST(PlanExchange, PassesLargePlansInPartsAndChangesAsDeltas)
    {
        Peer peer;
        ActivePlan inForce;
        AuditTrail audit("other");
        PlanExchange other(inForce, audit);
        EXPECT_FALSE(peer.fetchInto(other));
        const auto large = planAt(7, 40000);
        ASSERT_GT(encodePlan(large).size(), FrameSocket::maxFrameBytes);
        peer.plans.install(large, "store");
        peer.answers = 0;
        ASSERT_TRUE(peer.fetchInto(other));
        EXPECT_EQ(*other.latest(), large);
        EXPECT_GT(peer.answers, 2);
        auto changed = large;
        for (uint64_t revision = 8; revision <= 10; ++revision) {
            changed.revision = revision;
            changed.services[revision].repeatable = false;
            peer.plans.install(changed, "store");
        }
        peer.answers = 0;
        ASSERT_TRUE(peer.fetchInto(other));
        EXPECT_EQ(*other.latest(), changed);
        EXPECT_EQ(peer.answers, 1);
        // The deltas that came from the peer can be passed on.
        EXPECT_EQ(other.answer({ 8, 0, 0 }).deltas.size(), 2U);
        EXPECT_FALSE(peer.fetchInto(other));
    }

    // Guards against a plan put together from parts of two revisions.
    TEST(PlanExchange, AFetchDuringChangesGivesWholePlans)
    {
        Peer peer;
        ActivePlan inForce;
        AuditTrail audit("other");
        PlanExchange other(inForce, audit);
        peer.plans.install(planAt(1, 20000), "store");
        std::thread writer([&] {
            // Steps of two revisions leave no deltas, so that the plan has to be passed as a whole.
            for (uint64_t revision = 3; revision < 43; revision += 2)
                peer.plans.install(planAt(revision, 20000), "store");
        });
        for (int i = 0; i < 20; ++i) {
            peer.fetchInto(other);
            if (const auto plan = other.latest()) {
                EXPECT_EQ(*plan, planAt(plan->revision, 20000));
            }
        }
        writer.join();
        peer.fetchInto(other);
        EXPECT_EQ(other.revision(), 41U);
    }

} // namespace
} // namespace cyclamenstair
