#pragma once

#include <Cyclamenstair/Core/Error.h>

#include <flatbuffers/flatbuffers.h>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Serializes the object form of a record to a FlatBuffers buffer.
template <typename Table> std::string packRecord(const typename Table::NativeTableType& object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &object));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

/// Deserializes a record to its object form; throws Exception with `step` if `bytes` are not a valid record.
template <typename Table> typename Table::NativeTableType unpackRecord(std::string_view bytes, const char* step)
{
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<Table>(nullptr))
        throw Exception({ ErrorKind::InvalidInput, step, "", "malformed FlatBuffers record" });
    typename Table::NativeTableType object;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&object);
    return object;
}

/// Returns the results of `convert` for each row, in order.
template <typename Rows, typename Function> auto convertRows(const Rows& rows, Function&& convert)
{
    std::vector<decltype(convert(*rows.begin()))> results;
    results.reserve(rows.size());
    for (const auto& row : rows)
        results.push_back(convert(row));
    return results;
}

} // namespace cyclamenstair
