#pragma once

#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Store/StoreTypes.h>

#include <optional>
#include <stop_token>
#include <string>

namespace cyclamenstair {

/// Backend that uses the etcd v3 JSON gateway over HTTP. Each call opens its own connection, so that calls of different
/// threads do not wait for each other. Thread-safe. See StoreClient for the calls.
class EtcdBackend {
public:
    /// `endpoint` is "HOST:PORT".
    explicit EtcdBackend(std::string endpoint);

    StoreReadOutcome range(const std::string& key, bool isPrefix, Duration timeout);
    StoreWriteOutcome transact(const StoreTransaction& transaction, Duration timeout);
    std::optional<int64_t> grantLease(Duration timeToLive, Duration timeout);
    StoreLeaseOutcome keepLeaseAlive(int64_t leaseId, Duration timeout);
    StoreLeaseOutcome revokeLease(int64_t leaseId, Duration timeout);
    std::optional<int64_t> waitForChange(
        const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop = {});

private:
    std::string m_endpoint;
};

} // namespace cyclamenstair
