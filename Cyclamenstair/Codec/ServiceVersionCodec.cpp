#include <Cyclamenstair/Codec/ServiceVersionCodec.h>

#include <Cyclamenstair/Codec/RecordBytes.h>
#include <Cyclamenstair/Generated/Entry_generated.h>

namespace cyclamenstair {

std::string encodeServiceVersion(const ServiceVersion& version)
{
    schema::ServiceVersionEntryT record;
    record.service = version.service;
    record.version = version.version;
    return packRecord<schema::ServiceVersionEntry>(record);
}

Result<ServiceVersion> decodeServiceVersion(std::string_view bytes, const std::string& key)
{
    try {
        const auto record = unpackRecord<schema::ServiceVersionEntry>(bytes, "service_version.decode");
        return ServiceVersion { record.service, record.version };
    } catch (const Exception& exception) {
        return Error { exception.error().kind, exception.error().step, key, exception.error().message };
    }
}

} // namespace cyclamenstair
