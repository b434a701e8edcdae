#include <Cyclamenstair/Telemetry/ProcessInfo.h>

#include <Cyclamenstair/Telemetry/HandlerFailures.h>
#include <Cyclamenstair/Telemetry/LogLosses.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    const TimePoint startedAt = monotonicNow();
    const auto startTime = std::chrono::system_clock::now();
    std::atomic<const char*> build { "unknown" };

    /// Architecture that the compiler made the program for.
    constexpr const char* architecture =
#if defined(__x86_64__)
        "x86_64";
#elif defined(__aarch64__)
        "aarch64";
#else
        "unknown";
#endif

    std::string limitText(__rlimit_resource resource)
    {
        rlimit limit {};
        if (::getrlimit(resource, &limit) != 0)
            return "unknown";
        return limit.rlim_cur == RLIM_INFINITY ? "unlimited" : std::to_string(limit.rlim_cur);
    }

    /// Returns the number of open descriptors, or no value if it cannot be read.
    std::optional<double> openDescriptorCount()
    {
        const char* folder = "/proc/self/fd";
        // Linux 6.2 and later give the number as the size of the folder.
        struct stat status { };
        if (::stat(folder, &status) == 0 && status.st_size > 0)
            return static_cast<double>(status.st_size);
        std::error_code ec;
        double count = 0;
        for (std::filesystem::directory_iterator entry(folder, ec);
             !ec && entry != std::filesystem::directory_iterator(); entry.increment(ec))
            ++count;
        if (ec || count == 0)
            return std::nullopt;
        return count - 1; // Without that of the folder.
    }

    /// Sets the metrics that /proc/self/status holds.
    void setStatusMetrics(Metrics& metrics)
    {
        constexpr double bytesPerKilobyte = 1024;
        struct StatusField {
            std::string_view name;
            Metric metric;
            double unit;
        };
        constexpr std::array fields { StatusField { "VmRSS:", Metric::ResidentMemory, bytesPerKilobyte },
            StatusField { "VmHWM:", Metric::PeakResidentMemory, bytesPerKilobyte },
            StatusField { "Threads:", Metric::Threads, 1 } };
        std::ifstream status("/proc/self/status");
        for (std::string line; std::getline(status, line);) {
            for (const auto& field : fields) {
                if (!line.starts_with(field.name))
                    continue;
                const auto number = std::strtoull(line.c_str() + field.name.size(), nullptr, 10);
                metrics.set(field.metric, static_cast<double>(number) * field.unit);
            }
        }
    }

} // namespace

void setProcessBuild(const char* name) { build = name; }

const char* processBuild() { return build; }

Duration processUptime() { return monotonicNow() - startedAt; }

void logNodeStarted(std::vector<LogField> fields, const ProcessStart& start)
{
    fields.insert(fields.end(),
        { { "build", processBuild() }, { "arch", architecture }, { "pid", std::to_string(::getpid()) },
            { "start_ms", std::to_string(toMilliseconds(processUptime())) },
            { "attempts", std::to_string(start.attempts) }, { "settings", start.settingsFile },
            { "settings_sha256", start.settingsHash }, { "settings_bytes", std::to_string(start.settingsBytes) },
            { "limit_as", limitText(RLIMIT_AS) }, { "limit_nofile", limitText(RLIMIT_NOFILE) },
            { "limit_fsize", limitText(RLIMIT_FSIZE) } });
    logEventFields(LogSeverity::Info, "node_started", fields);
}

void setProcessMetrics(Metrics& metrics)
{
    metrics.set(Metric::ProcessStartTime, std::chrono::duration<double>(startTime.time_since_epoch()).count());
    metrics.set(Metric::ProcessUptime, toSeconds(processUptime()));
    metrics.set(Metric::BuildInfo, 1, std::string(processBuild()) + " " + architecture);
    setStatusMetrics(metrics);
    if (const auto count = openDescriptorCount())
        metrics.set(Metric::OpenDescriptors, *count);
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
        metrics.set(Metric::MaxDescriptors, static_cast<double>(limit.rlim_cur));
    for (const auto& row : EnumNames<LogLoss>::table)
        metrics.set(Metric::LostLogLines, static_cast<double>(logLossCount(row.value)), std::string(row.name));
    metrics.set(Metric::FailedHandlers, static_cast<double>(handlerFailureCount()));
}

} // namespace cyclamenstair
