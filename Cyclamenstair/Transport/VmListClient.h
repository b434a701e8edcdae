#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Kind of a VM in the platform's VM list.
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

/// State of a VM in the platform's VM list.
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

/// Row of the VM list. The list is eventually consistent: it may contain terminated VMs and miss new ones.
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

/// HTTP client of the platform's VM list.
class VmListClient {
public:
    /// `endpoint` is "HOST:PORT".
    explicit VmListClient(std::string endpoint);

    /// Returns the complete list, or no value if the request fails or the response is malformed.
    std::optional<std::vector<VmInfo>> read(Duration timeout) const;

private:
    std::string m_endpoint;
};

} // namespace cyclamenstair
