#include <Benchmarks/Soak/ForeignRecord.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr auto unknownService = "service-of-another-writer";
    constexpr size_t byteValues = 256;

    /// How an entry differs from that of a target.
    enum class EntryFault : uint8_t {
        MissingField,
        WrongType,
        CutOff,
        RandomBytes,
        UnknownService,
    };

    constexpr std::array entryFaults { EntryFault::MissingField, EntryFault::WrongType, EntryFault::CutOff,
        EntryFault::RandomBytes, EntryFault::UnknownService };

    /// Ends of keys: reserved in queries, escapes, controls, and letters of several bytes. Valid UTF-8, as the store
    /// sends keys as JSON.
    constexpr std::array<std::string_view, 22> keyEnds { "%20", "%25", "&b=", "+", "%C3%A9", "#", " ", "?", "/", "\x01",
        "\n", "\r\n", "\x7f", "\xC3\xA9", "\xE4\xB8\xAD", "\xF0\x9F\x98\x80", "=", "&after=", "%", "%zz", "\"", "\\" };

    std::string drawBytes(size_t size, Random& random)
    {
        std::string bytes(size, '\0');
        for (size_t i = 0; i < size; i += sizeof(uint64_t)) {
            const uint64_t word = random();
            for (size_t j = 0; j < sizeof(word) && i + j < size; ++j)
                bytes[i + j] = static_cast<char>(word >> (8 * j));
        }
        return bytes;
    }

    Json drawValue(Random& random)
    {
        const std::vector<Json> values { nullptr, true, -1, 1e300, "", "text", Json::array({ 1, "a", nullptr }),
            Json::object({ { "name", Json::array() } }), 18446744073709551615U };
        return values[randomIndex(random, values.size())];
    }

    std::string repeat(std::string_view text, size_t count)
    {
        std::string repeated;
        repeated.reserve(text.size() * count);
        for (size_t i = 0; i < count; ++i)
            repeated.append(text);
        return repeated;
    }

    std::string withUnknownService(const std::string& entry)
    {
        auto json = Json::parse(entry);
        json["service"] = unknownService;
        return json.dump();
    }

} // namespace

std::string drawForeignKey(const std::string& prefix, Random& random)
{
    constexpr size_t groups = 100;
    auto key = prefix;
    const size_t group = randomIndex(random, groups);
    key.append("a").append(group < 10 ? "0" : "").append(std::to_string(group)).append(foreignMark);
    const auto end = keyEnds[randomIndex(random, keyEnds.size())];
    // One in eight keys is as long as the store permits.
    if (randomIndex(random, 8) == 0) {
        while (key.size() + 2 + end.size() <= maxStoreKeyBytes)
            key.append(randomIndex(random, 2) == 0 ? "xx" : "\xC3\xA9");
    } else {
        key.append(std::to_string(randomIndex(random, groups)));
    }
    return key.append(end);
}

size_t drawForeignSize(Random& random)
{
    constexpr double maxExponent = 20;
    // One in four is close to a bound of nodes (4 KiB, 64 KiB) or the limit of the store.
    if (randomIndex(random, 4) != 0)
        return static_cast<size_t>(std::exp2(maxExponent * randomUnit(random)));
    constexpr std::array<size_t, 3> bounds { size_t { 4 } << 10U, size_t { 64 } << 10U, maxStoreValueBytes };
    const size_t bound = bounds[randomIndex(random, bounds.size())];
    return std::min(bound - 1 + randomIndex(random, 3), maxStoreValueBytes);
}

std::string drawForeignValue(ForeignValueKind kind, size_t size, const std::string& entry, Random& random)
{
    switch (kind) {
    case ForeignValueKind::FaultyEntry:
        return drawFaultyEntry(entry, random);
    case ForeignValueKind::UnknownFields:
        return addUnknownFields(withUnknownService(entry), size);
    case ForeignValueKind::OpenBrackets:
        return std::string(size, '[');
    case ForeignValueKind::NestedArrays:
        return std::string(size / 2, '[') + std::string(size / 2, ']');
    case ForeignValueKind::NestedObjects: {
        constexpr std::string_view opening = R"({"a":)";
        const size_t depth = size / (opening.size() + 1);
        return depth == 0 ? std::string {} : repeat(opening, depth - 1) + "{}" + std::string(depth - 1, '}');
    }
    case ForeignValueKind::RandomBytes:
        return drawBytes(size, random);
    case ForeignValueKind::Text:
        return "\"" + std::string(size > 2 ? size - 2 : 0, 'x') + "\"";
    }
    return {};
}

std::string drawFaultyEntry(const std::string& entry, Random& random)
{
    auto json = Json::parse(entry);
    auto field = json.begin();
    std::advance(field, static_cast<std::ptrdiff_t>(randomIndex(random, json.size())));
    switch (entryFaults[randomIndex(random, entryFaults.size())]) {
    case EntryFault::MissingField:
        // Entries without these fields name no target; others might be taken for one.
        json.erase(randomIndex(random, 2) == 0 ? "address" : "state");
        return json.dump();
    case EntryFault::WrongType:
        json["address"] = drawValue(random);
        field.value() = drawValue(random);
        json["service"] = Json(nullptr);
        return json.dump();
    case EntryFault::CutOff:
        return entry.substr(0, randomIndex(random, entry.size()));
    case EntryFault::RandomBytes: {
        std::string bytes(randomIndex(random, 2 * entry.size()), '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(randomIndex(random, byteValues));
        return bytes;
    }
    case EntryFault::UnknownService:
        return withUnknownService(entry);
    }
    return {};
}

std::string addUnknownFields(const std::string& entry, size_t bytes)
{
    // Nodes reject texts that are nested more deeply than 64 levels (maxJsonDepth).
    constexpr size_t maxDepth = 50;
    const std::string opening = R"(,"further":[)";
    const std::string field = R"({"name":"x","values":[1,2,3,"text"]},)";
    auto text = entry.substr(0, entry.rfind('}'));
    const size_t end = std::min(bytes, maxStoreValueBytes);
    const size_t depth = std::min(maxDepth, end / 4);
    const size_t fixedBytes = text.size() + opening.size() + 2 * depth + std::string_view("0]}").size();
    if (fixedBytes > end)
        return entry;
    const size_t fields = (end - fixedBytes) / field.size();
    text.append(opening).append(repeat(field, fields));
    text.append(std::string(depth, '[')).append(std::string(depth, ']'));
    return text.append(depth == 0 ? "0]}" : "]}");
}

} // namespace cyclamenstair
