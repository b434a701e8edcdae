#pragma once

#include <Cyclamenstair/Core/Error.h>

#include <flatbuffers/flatbuffers.h>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Returns the FlatBuffers buffer of a record's object form.
template <typename Table> std::string packRecord(const typename Table::NativeTableType& native)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &native));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

/// Returns the object form of a record; throws Exception with `step` if the bytes are no such record.
template <typename Table> typename Table::NativeTableType unpackRecord(std::string_view bytes, const char* step)
{
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<Table>(nullptr))
        throw Exception({ ErrorKind::InvalidInput, step, "", "malformed record" });
    typename Table::NativeTableType native;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&native);
    return native;
}

/// Returns the results of `convert` for all rows.
template <typename Rows, typename Function> auto convertRows(const Rows& rows, Function&& convert)
{
    std::vector<decltype(convert(*rows.begin()))> converted;
    converted.reserve(rows.size());
    for (const auto& row : rows)
        converted.push_back(convert(row));
    return converted;
}

} // namespace cyclamenstair
