#include <Tests/NodeTests/StartFixture.h>

#include <filesystem>
#include <string>

namespace cyclamenstair::testing {
namespace {

    class StartLibrary : public StartFixture {
    protected:
        /// Copies a file of the build to `target` within the test's folder, and links to it from "links".
        std::filesystem::path linkToCopy(const std::string& name, const std::string& target) const
        {
            const std::filesystem::path folder(m_folder);
            auto link = folder / "links" / name;
            std::filesystem::create_directories(link.parent_path());
            std::filesystem::create_directories((folder / target).parent_path());
            std::filesystem::copy_file(std::filesystem::path(CYCLAMENSTAIR_BINARY_DIR) / "Programs" / name,
                folder / target, std::filesystem::copy_options::overwrite_existing);
            std::filesystem::create_symlink(folder / target, link);
            return link;
        }
    };

    // Guards against a program that does not start where its files are links into a store of files, or where /proc
    // does not tell the loader in which folder the program is.
    TEST_F(StartLibrary, LibraryBesideALinkToTheProgramIsLoaded)
    {
        const auto program = linkToCopy("cyclamenstaird", "files/1");
        linkToCopy("libcyclamenstaird.so", "files/2");
        ChildProcess process(program, { "--config", settingsPath(), "--check" }, m_folder + "/node");
        EXPECT_EQ(process.wait(waitTimeoutMs), 0) << log();
    }

    // Guards against a missing library that ends the process without a word.
    TEST_F(StartLibrary, MissingLibraryIsNamed)
    {
        const auto program = linkToCopy("cyclamenstaird", "files/1");
        ChildProcess process(program, { "--config", settingsPath(), "--check" }, m_folder + "/node");
        EXPECT_EQ(process.wait(waitTimeoutMs), 1);
        EXPECT_NE(log().find("libcyclamenstaird.so"), std::string::npos) << log();
    }

} // namespace
} // namespace cyclamenstair::testing
