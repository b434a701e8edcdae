#include <Benchmarks/Soak/SoakLogs.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <string_view>

namespace cyclamenstair {

namespace {

    constexpr std::array<std::string_view, 9> rejectionEvents { "catalog_rejected", "control_record_rejected",
        "handler_failed", "node_entry_rejected", "peer_message_rejected", "software_version_rejected",
        "store_items_rejected", "stream_origins_rejected", "target_entry_rejected" };

    struct EventLines {
        size_t count { 0 };
        std::string first;
    };

    std::map<std::string_view, EventLines> collectRejections(
        const std::filesystem::path& path, const std::string& exceptText)
    {
        std::map<std::string_view, EventLines> linesByEvent;
        std::ifstream log(path);
        for (std::string line; std::getline(log, line);) {
            if (!exceptText.empty() && line.find(exceptText) != std::string::npos)
                continue;
            for (const auto event : rejectionEvents) {
                if (line.find("event=" + std::string(event) + " ") == std::string::npos)
                    continue;
                auto& lines = linesByEvent[event];
                if (lines.count++ == 0)
                    lines.first = line;
            }
        }
        return linesByEvent;
    }

} // namespace

std::vector<std::string> findRejectedInput(const std::string& folder, const std::string& exceptText)
{
    std::vector<std::string> descriptions;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".log")
            continue;
        for (const auto& [event, lines] : collectRejections(entry.path(), exceptText)) {
            auto description = entry.path().filename().string();
            description.append(": ").append(std::to_string(lines.count)).append(" lines ").append(event);
            descriptions.push_back(description.append(", first: ").append(lines.first));
        }
    }
    return descriptions;
}

} // namespace cyclamenstair
