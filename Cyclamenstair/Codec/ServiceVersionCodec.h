#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Fleet/SoftwareVersions.h>

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Returns the value of a version's key in the store as a FlatBuffers ServiceVersionEntry.
std::string encodeServiceVersion(const ServiceVersion& version);

/// Decodes a ServiceVersionEntry; returns an error that names `key` if `bytes` are malformed.
Result<ServiceVersion> decodeServiceVersion(std::string_view bytes, const std::string& key);

} // namespace cyclamenstair
