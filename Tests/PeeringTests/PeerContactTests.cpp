#include <Cyclamenstair/Peering/PeerContacts.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// Contacts of a node that runs without a stall from `start`.
void run(PeerContacts& contacts, Duration duration)
{
    for (auto now = start; now <= start + duration; now += milliseconds(100))
        contacts.tick(now);
}

} // namespace

// Guards against a node that counts as in step with the others though it hears from less than half of them.
TEST(PeerContacts, TheLeastRecentOfThoseNeededCounts)
{
    PeerContacts contacts;
    run(contacts, milliseconds(2000));
    const auto now = start + milliseconds(2000);
    EXPECT_EQ(contacts.heardAt(0, now), now);
    EXPECT_EQ(contacts.heardAt(1, now), TimePoint());
    contacts.markHeard("a", now);
    contacts.markHeard("b", now + milliseconds(50));
    EXPECT_EQ(contacts.heardAt(1, now), now + milliseconds(50));
    EXPECT_EQ(contacts.heardAt(2, now), now);
    EXPECT_EQ(contacts.heardAt(3, now), TimePoint());
}

// Guards against messages that reached a frozen node, are read after the wake and count as news of the other nodes.
TEST(PeerContacts, MessagesOfAStallDoNotCount)
{
    PeerContacts contacts;
    run(contacts, milliseconds(2000));
    contacts.markHeard("a", start + milliseconds(2000));
    const auto wake = start + milliseconds(6000);
    contacts.markHeard("a", wake);
    EXPECT_EQ(contacts.heardAt(0, wake), TimePoint());
    contacts.tick(wake);
    contacts.markHeard("a", wake + milliseconds(100));
    EXPECT_EQ(contacts.heardAt(1, wake), start + milliseconds(2000));
    for (auto now = wake; now <= wake + milliseconds(500); now += milliseconds(100))
        contacts.tick(now);
    contacts.markHeard("a", wake + milliseconds(500));
    EXPECT_EQ(contacts.heardAt(1, wake), wake + milliseconds(500));
}
