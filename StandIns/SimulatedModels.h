#pragma once

#include <StandIns/SimulatedTarget.h>

#include <functional>

namespace cyclamenstair {

enum class SimulatedOperation : uint8_t { Load, Unload };

template <> struct EnumNames<SimulatedOperation> {
    static constexpr auto table = std::to_array<EnumName<SimulatedOperation>>({
        { SimulatedOperation::Load, "load" },
        { SimulatedOperation::Unload, "unload" },
    });
};

/// Order to a simulated engine.
struct SimulatedOrder {
    SimulatedOperation operation { SimulatedOperation::Load };
    std::string model;
    std::string adapter; ///< Empty if the order concerns the whole model.
    std::string holder;
    int64_t fencingToken { 0 };
    std::optional<int64_t> expectedCount; ///< Of the orders accepted so far.
};

enum class SimulatedOrderOutcome : uint8_t {
    Accepted,
    Done, ///< The order held already, or was carried out at once.
    Unknown, ///< No such model or adapter.
    Conflict, ///< Another order is in progress, or the expected count differs.
    StaleFencingToken,
    Crash, ///< The order exceeds the engine's memory or places.
};

/// What a simulated engine has of a model or an adapter.
enum class SimulatedAvailability : uint8_t {
    Loaded,
    Changing, ///< An order that concerns it is in progress.
    Missing,
};

/// Models of a simulated engine and the orders that change them. Reads no clock. One model is loaded or unloaded at a
/// time; adapters are loaded beside it.
class SimulatedModels {
public:
    /// Returns whether requests of the model run, or of one of its adapters if that is not empty.
    using UsePredicate = std::function<bool(const std::string& model, const std::string& adapter)>;

    explicit SimulatedModels(EngineWorkload workload);

    SimulatedAvailability availability(const std::string& model, const std::string& adapter) const;
    /// Returns the model if the service has it, or nullptr.
    const SimulatedModel* find(const std::string& name) const;

    SimulatedOrderOutcome order(const SimulatedOrder& order, TimePoint now, const UsePredicate& isInUse);
    /// Completes the loads that are due and the unloads of what is no longer in use.
    void advance(TimePoint now, const UsePredicate& isInUse);
    /// Returns the end of the load that ends first, or no value if there is none.
    std::optional<TimePoint> nextLoadEnd() const;
    /// Drops everything but the knowledge of what was loaded.
    void restart();

    bool isBusy() const { return m_change.has_value(); }
    int64_t acceptedCount() const { return m_acceptedCount; }
    /// Returns the adapters of each loaded model.
    const std::map<std::string, std::set<std::string>>& loaded() const { return m_loaded; }
    /// Returns the models that were loaded at any time.
    const std::set<std::string>& loadedBefore() const { return m_loadedBefore; }
    /// Returns the adapters that are loaded at present as MODEL/ADAPTER.
    std::vector<std::string> incomingAdapters() const;

private:
    using Adapter = std::pair<std::string, std::string>; ///< Model and name.
    /// Load or unload of a model in progress.
    struct Change {
        SimulatedOperation operation { SimulatedOperation::Load };
        std::string model;
        TimePoint endsAt; ///< Of a load; an unload ends with the last request of the model.
    };

    SimulatedOrderOutcome orderModel(const SimulatedOrder& order, const SimulatedModel& model, TimePoint now);
    SimulatedOrderOutcome orderAdapter(
        const SimulatedOrder& order, const SimulatedModel& model, TimePoint now, const UsePredicate& isInUse);
    int64_t usedWeightsMb() const;
    size_t usedAdapterSlots() const;

    /// Adapters that are loaded at a time, by the users' protocol.
    static constexpr size_t maxIncomingAdapters = 4;
    /// An adapter that was loaded before is loaded so many times as fast, by the users' protocol.
    static constexpr int warmAdapterSpeed = 10;

    EngineWorkload m_workload;
    std::map<std::string, std::set<std::string>> m_loaded;
    std::set<std::string> m_loadedBefore;
    std::set<Adapter> m_adaptersLoadedBefore;
    std::optional<Change> m_change;
    std::map<Adapter, TimePoint> m_incoming; ///< With the end of the load.
    std::set<Adapter> m_outgoing; ///< Wait for the end of their requests.
    int64_t m_acceptedCount { 0 };
    int64_t m_highestFencingToken { 0 };
};

} // namespace cyclamenstair
