#pragma once

#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Store/StoreTypes.h>

#include <optional>
#include <stop_token>
#include <string>

namespace cyclamenstair {

/// Backend that speaks the etcd v3 JSON gateway over HTTP. Each call uses its own connection, so that calls of several
/// threads do not wait for each other.
class EtcdBackend {
public:
    /// `endpoint` is "HOST:PORT".
    explicit EtcdBackend(std::string endpoint);

    StoreReadOutcome range(const std::string& key, bool isPrefix, Duration limit);
    StoreWriteOutcome transact(const StoreTransaction& transaction, Duration limit);
    std::optional<int64_t> grantLease(Duration timeToLive, Duration limit);
    StoreLeaseOutcome keepLeaseAlive(int64_t leaseId, Duration limit);
    StoreLeaseOutcome revokeLease(int64_t leaseId, Duration limit);
    std::optional<int64_t> waitForChange(
        const std::string& prefix, int64_t revision, Duration limit, const std::stop_token& stop = {});

private:
    std::string m_endpoint;
};

} // namespace cyclamenstair
