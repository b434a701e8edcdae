#include <Benchmarks/Soak/DayForeignEntries.h>

#include <Cyclamenstair/Core/EnumNames.h>

#include <nlohmann/json.hpp>

#include <array>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr auto writeInterval = milliseconds(700);
    constexpr size_t entryCount = 4;

    /// How an entry differs from that of a target.
    enum class EntryFault : uint8_t {
        MissingField,
        WrongType,
        CutOff,
        RandomBytes,
        UnknownService,
    };

    constexpr std::array faults { EntryFault::MissingField, EntryFault::WrongType, EntryFault::CutOff,
        EntryFault::RandomBytes, EntryFault::UnknownService };

    Json drawValue(Random& random)
    {
        const std::vector<Json> values { nullptr, true, -1, 1e300, "", "text", Json::array({ 1, "a", nullptr }),
            Json::object({ { "name", Json::array() } }), 18446744073709551615U };
        return values[randomIndex(random, values.size())];
    }

} // namespace

void DayForeignEntries::tick(const std::string& entry)
{
    const auto now = monotonicNow();
    if (now - m_writtenAt < writeInterval)
        return;
    m_writtenAt = now;
    const auto key = "servers/" + std::string(idPrefix) + std::to_string(randomIndex(m_random, entryCount));
    if (randomIndex(m_random, entryCount) == 0)
        m_store->remove(key);
    else
        m_store->put(key, change(entry));
}

std::string DayForeignEntries::change(const std::string& entry)
{
    auto json = Json::parse(entry);
    auto field = json.begin();
    std::advance(field, static_cast<std::ptrdiff_t>(randomIndex(m_random, json.size())));
    switch (faults[randomIndex(m_random, faults.size())]) {
    case EntryFault::MissingField:
        // Entries without these fields name no target; others might be taken for one.
        json.erase(randomIndex(m_random, 2) == 0 ? "address" : "state");
        return json.dump();
    case EntryFault::WrongType:
        json["address"] = drawValue(m_random);
        field.value() = drawValue(m_random);
        json["service"] = Json(nullptr);
        return json.dump();
    case EntryFault::CutOff:
        return entry.substr(0, randomIndex(m_random, entry.size()));
    case EntryFault::RandomBytes: {
        std::string bytes(randomIndex(m_random, 2 * entry.size()), '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(randomIndex(m_random, 256));
        return bytes;
    }
    case EntryFault::UnknownService:
        json["service"] = "service-of-another-writer";
        return json.dump();
    }
    return {};
}

} // namespace cyclamenstair
