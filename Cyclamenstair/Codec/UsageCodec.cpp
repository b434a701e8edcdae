#include <Cyclamenstair/Codec/UsageCodec.h>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Generated/Records_generated.h>

#include <algorithm>

namespace cyclamenstair {

std::string encodeUsage(const CallerDemands& demands)
{
    schema::CallerUsageRecordT record;
    for (const auto& [caller, demand] : demands) {
        auto row = std::make_unique<schema::CallerDemandRecordT>();
        row->caller = caller;
        row->per_second = demand;
        record.demands.push_back(std::move(row));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::CallerUsageRecord::Pack(builder, &record));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

CallerDemands decodeUsage(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<schema::CallerUsageRecord>(nullptr))
        throw Exception({ ErrorKind::InvalidInput, "usage.decode", "", "malformed FlatBuffers record" });
    schema::CallerUsageRecordT record;
    flatbuffers::GetRoot<schema::CallerUsageRecord>(data)->UnPackTo(&record);
    CallerDemands demands;
    for (const auto& row : record.demands)
        demands[row->caller] += std::max(0.0, row->per_second);
    return demands;
}

} // namespace cyclamenstair
