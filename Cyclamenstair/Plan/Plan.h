#pragma once

#include <Cyclamenstair/Core/Priority.h>
#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// A base model that must be served.
struct ModelSpec {
    std::string name;
    uint64_t memoryBytes { 0 }; ///< Accelerator memory of one copy.
    uint32_t replicas { 1 }; ///< Minimum number of copies; in different failure domains if there are enough of them.
    Priority priority { Priority::Normal };
    Duration window { 0 }; ///< Response window; zero for the default from the settings.

    bool operator==(const ModelSpec&) const = default;
};

/// An adapter that must be served by a target on which its base model is loaded.
struct AdapterSpec {
    std::string name;
    std::string model; ///< Name of the base model.
    uint64_t memoryBytes { 0 };
    uint32_t replicas { 1 };
    Priority priority { Priority::Normal };
    Duration window { 0 };

    bool operator==(const AdapterSpec&) const = default;
};

/// A plain service that requests are routed to.
struct ServiceSpec {
    std::string name;
    Priority priority { Priority::Normal };
    Duration window { 0 };
    bool repeatable { false }; ///< Whether a request may run more than once.

    bool operator==(const ServiceSpec&) const = default;
};

/// A caller and its limits.
struct CallerSpec {
    std::string name;
    std::string tokenHash; ///< "salt$hex(SHA-256(salt + token))".
    Priority priority { Priority::Normal };
    Duration window { 0 };
    double requestsPerSecond { 0 }; ///< Sustained rate summed over all nodes; zero for no limit.
    uint32_t burst { 0 }; ///< Requests that may exceed the rate at one time.
    std::vector<std::string> allowed; ///< Permitted models, adapters and services; empty for all.

    bool operator==(const CallerSpec&) const = default;
};

/// Models, adapters and services that must be served, and the callers that may use them. Rows of each kind are sorted
/// by name.
struct Plan {
    uint64_t revision { 0 };
    std::vector<ModelSpec> models;
    std::vector<AdapterSpec> adapters;
    std::vector<ServiceSpec> services;
    std::vector<CallerSpec> callers;

    bool operator==(const Plan&) const = default;

    const ModelSpec* findModel(std::string_view name) const;
    const AdapterSpec* findAdapter(std::string_view name) const;
    const ServiceSpec* findService(std::string_view name) const;
    const CallerSpec* findCaller(std::string_view name) const;

    /// Sorts the rows of each kind by name, as the find functions require.
    void sortRows();
};

} // namespace cyclamenstair
