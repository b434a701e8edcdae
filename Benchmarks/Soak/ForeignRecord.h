#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Random.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenstair {

/// Part of all keys of another writer. Log lines about its records contain it.
constexpr std::string_view foreignMark = "foreign-";

constexpr size_t maxStoreKeyBytes = 200;
constexpr size_t maxStoreValueBytes = size_t { 1 } << 20U;

/// Draws a key that begins with `prefix`, contains the mark and ends with characters that queries, JSON or logs may
/// treat specially. `prefix` must be shorter than 100 bytes.
std::string drawForeignKey(const std::string& prefix, Random& random);

/// Draws the size of a value in bytes, up to the limit of the store; often close to a bound of the nodes.
size_t drawForeignSize(Random& random);

/// What a value of another writer consists of.
enum class ForeignValueKind : uint8_t {
    FaultyEntry,
    UnknownFields, ///< An entry of an unknown service with further fields.
    OpenBrackets,
    NestedArrays,
    NestedObjects,
    RandomBytes,
    Text,
};

template <> struct EnumNames<ForeignValueKind> {
    static constexpr auto table = std::to_array<EnumName<ForeignValueKind>>({
        { ForeignValueKind::FaultyEntry, "faulty_entry" },
        { ForeignValueKind::UnknownFields, "unknown_fields" },
        { ForeignValueKind::OpenBrackets, "open_brackets" },
        { ForeignValueKind::NestedArrays, "nested_arrays" },
        { ForeignValueKind::NestedObjects, "nested_objects" },
        { ForeignValueKind::RandomBytes, "random_bytes" },
        { ForeignValueKind::Text, "text" },
    });
};

/// Draws a value of up to `size` bytes, or of the size of `entry` if it is a faulty or too short one. `entry` is one of
/// a target. Decoded as an entry, the value names no target of a service of the catalog.
std::string drawForeignValue(ForeignValueKind kind, size_t size, const std::string& entry, Random& random);

/// Draws an entry that differs from that of a target by missing fields, fields of other types, its end, or its service.
std::string drawFaultyEntry(const std::string& entry, Random& random);

/// Adds fields to the entry of a target that a node does not know, with `bytes` bytes in total.
std::string addUnknownFields(const std::string& entry, size_t bytes);

} // namespace cyclamenstair
