#include <Tests/NodeTests/StartFixture.h>

namespace cyclamenstair::testing {

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
namespace {

    using AddressSpace = StartFixture;

    constexpr int limitKilobytes = 160 * 1024; ///< Room for the node and one arena of the allocator, but not for more.
    constexpr int requestCount = 200;

    /// Returns the minor page faults of the process so far.
    long pageFaultsOf(pid_t process)
    {
        constexpr int faultField = 10;
        std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
        std::string field;
        for (int i = 0; i < faultField; ++i)
            stat >> field;
        return std::stol(field);
    }

    // Guards against threads that map and unmap memory at each allocation, as there is no room for an arena of their
    // own. A shell sets the limit: this process may have more memory than it allows. Sanitizers need more.
    TEST_F(AddressSpace, RequestsDoNotMapMemoryUnderALimit)
    {
        const auto shell = std::filesystem::relative("/bin/sh", CYCLAMENSTAIR_BINARY_DIR).string();
        const auto daemon = std::string(CYCLAMENSTAIR_BINARY_DIR) + "/Programs/cyclamenstaird";
        const ChildProcess node(shell,
            { "-c", "ulimit -v " + std::to_string(limitKilobytes) + " && exec \"$0\" \"$@\"", daemon, "--config",
                settingsPath() },
            m_folder + "/node");
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort); })) << log();
        const auto before = pageFaultsOf(node.id());
        for (int i = 0; i < requestCount; ++i)
            ASSERT_TRUE(isServing(m_probePort));
        EXPECT_LT(pageFaultsOf(node.id()) - before, requestCount);
    }

} // namespace
#endif

} // namespace cyclamenstair::testing
