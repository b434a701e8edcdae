#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Http/HttpMessage.h>

#include <cstdint>
#include <variant>

namespace cyclamenstair {

enum class RegistryStoreCallKind : uint8_t {
    Key,
    Range,
    StaleRange, ///< Range with allow_stale=1.
    Watch,
    Transaction,
    LeaseGrant,
    LeaseRenewal,
    LeaseEnd,
    Unknown, ///< Method or path that the store does not have.
};

template <> struct EnumNames<RegistryStoreCallKind> {
    static constexpr auto table = std::to_array<EnumName<RegistryStoreCallKind>>({
        { RegistryStoreCallKind::Key, "key" },
        { RegistryStoreCallKind::Range, "range" },
        { RegistryStoreCallKind::StaleRange, "stale_range" },
        { RegistryStoreCallKind::Watch, "watch" },
        { RegistryStoreCallKind::Transaction, "transaction" },
        { RegistryStoreCallKind::LeaseGrant, "lease_grant" },
        { RegistryStoreCallKind::LeaseRenewal, "lease_renewal" },
        { RegistryStoreCallKind::LeaseEnd, "lease_end" },
        { RegistryStoreCallKind::Unknown, "unknown" },
    });
};

struct StoreKeyRead {
    std::string key;
};

struct StoreRangeRead {
    std::string prefix;
    std::string after; ///< Key before the page; empty for the first page.
};

struct StoreWatchRead {
    std::string prefix;
    int64_t afterRevision { 0 };
    int64_t waitMs { 0 };
};

struct StoreTransactionCall {
    struct Condition {
        std::string key;
        int64_t revision { 0 }; ///< 0 if the key must not exist.
    };
    struct Write {
        std::string key;
        std::string value; ///< Decoded.
        int64_t lease { 0 }; ///< 0 for none.
    };
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<std::string> removals;
};

struct StoreLeaseGrant {
    int64_t ttlMs { 0 };
};

struct StoreLeaseRenewal {
    int64_t lease { 0 };
};

struct StoreLeaseEnd {
    int64_t lease { 0 };
};

using RegistryStoreCall = std::variant<StoreKeyRead, StoreRangeRead, StoreWatchRead, StoreTransactionCall,
    StoreLeaseGrant, StoreLeaseRenewal, StoreLeaseEnd>;

struct DecodedStoreCall {
    RegistryStoreCallKind kind;
    Result<RegistryStoreCall> call; ///< An error if the request is malformed or its kind is unknown.
};

/// Decodes a request. A query is decoded as form data: `+` is a space, a fragment is ignored, and of a repeated
/// parameter the first counts. Malformed are percent signs without two hexadecimal digits, missing parameters, numbers
/// that are no decimal integers, bodies of another form, and values that are not standard base64 with padding.
DecodedStoreCall decodeStoreCall(const HttpRequest& request);

} // namespace cyclamenstair
