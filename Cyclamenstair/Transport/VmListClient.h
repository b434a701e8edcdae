#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Kind of a VM in the platform's list.
enum class VmKind : uint8_t {
    Engine,
    Service,
    Node,
};

template <> struct EnumNames<VmKind> {
    static constexpr auto table = std::to_array<EnumName<VmKind>>({
        { VmKind::Engine, "engine" },
        { VmKind::Service, "service" },
        { VmKind::Node, "node" },
    });
};

/// State of a VM in the platform's list.
enum class VmState : uint8_t {
    Live,
    Leaving,
};

template <> struct EnumNames<VmState> {
    static constexpr auto table = std::to_array<EnumName<VmState>>({
        { VmState::Live, "live" },
        { VmState::Leaving, "leaving" },
    });
};

/// One row of the VM list. The list lags: it can show VMs that are gone and miss new ones.
struct VmInfo {
    std::string id;
    VmKind kind { VmKind::Engine };
    VmState state { VmState::Live };
    std::string address; ///< "HOST:PORT".
    std::string region;
    std::string failureDomain;
    std::string pool;
    uint64_t memoryBytes { 0 }; ///< Accelerator memory of an engine.
    std::vector<std::string> services; ///< Names of the plain services on the VM.
};

/// Reads the platform's VM list over HTTP.
class VmListClient {
public:
    /// `endpoint` is "HOST:PORT".
    explicit VmListClient(std::string endpoint);

    /// Returns the list, or no value if it cannot be read as a whole.
    std::optional<std::vector<VmInfo>> read(Duration limit) const;

private:
    std::string m_endpoint;
};

} // namespace cyclamenstair
