#include <Tests/Support/HistoryChecker.h>

#include <sstream>

namespace cyclamenstair::testing {

namespace {

    constexpr size_t maxQuotedBytes = 60;

    /// Check of one history.
    class HistoryCheck {
    public:
        HistoryCheck(const std::vector<ObservedRequest>& records, const TargetLogs& logs)
            : m_records(&records)
            , m_logs(&logs)
        {
        }

        std::vector<HistoryFinding> run(uint64_t requestCount)
        {
            std::vector<bool> isObserved(requestCount, false);
            for (const auto& record : *m_records) {
                if (record.requestNumber >= requestCount || isObserved[record.requestNumber])
                    addFinding(HistoryFault::Duplicated, record, "the request has more than one response");
                else
                    isObserved[record.requestNumber] = true;
                checkOutcome(record);
                checkRuns(record);
            }
            for (uint64_t requestNumber = 0; requestNumber < requestCount; ++requestNumber) {
                if (!isObserved[requestNumber])
                    m_findings.push_back({ HistoryFault::Lost, requestNumber, "the request has no response" });
            }
            return std::move(m_findings);
        }

    private:
        void addFinding(HistoryFault fault, const ObservedRequest& record, const std::string& detail)
        {
            m_findings.push_back({ fault, record.requestNumber, "request " + record.requestId + ": " + detail });
        }

        void checkOutcome(const ObservedRequest& record)
        {
            switch (record.outcome) {
            case ObservedOutcome::Complete:
                checkResponse(record);
                break;
            case ObservedOutcome::Incomplete:
                if (!record.isDisconnectAllowed)
                    addFinding(HistoryFault::Lost, record,
                        "incomplete response although the node kept running: "
                            + record.responseText.substr(0, maxQuotedBytes));
                break;
            case ObservedOutcome::Unknown:
                // Repeatable work is retried until there is a response (design page, 6.2).
                if (record.key.empty())
                    addFinding(HistoryFault::Lost, record, "the outcome of repeatable work is unknown");
                break;
            case ObservedOutcome::NotRun:
                if (m_logs->requestIds.contains(record.requestId))
                    addFinding(HistoryFault::FalselyNotRun, record,
                        "the outcome is not_run, but the request is in a target's log");
                else if (!record.key.empty() && m_logs->runsByKey.contains(record.key))
                    addFinding(HistoryFault::FalselyNotRun, record,
                        "the outcome is not_run, but the key is in a target's log");
                break;
            case ObservedOutcome::NotSent:
                break;
            }
        }

        void checkResponse(const ObservedRequest& record)
        {
            if (record.responseText == record.expectedText)
                return;
            const auto detail = "got '" + record.responseText.substr(0, maxQuotedBytes) + "' ("
                + std::to_string(record.responseText.size()) + " bytes), expected '"
                + record.expectedText.substr(0, maxQuotedBytes) + "' (" + std::to_string(record.expectedText.size())
                + " bytes)";
            if (record.expectedText.starts_with(record.responseText))
                addFinding(HistoryFault::Lost, record, detail);
            else if (record.responseText.size() > record.expectedText.size() && containsOnlyExpectedWords(record))
                addFinding(HistoryFault::Duplicated, record, detail);
            else
                addFinding(HistoryFault::Mismatched, record, detail);
        }

        /// Returns whether each word of the response is part of the expected text, as in a stream that was resumed at
        /// too early a position.
        static bool containsOnlyExpectedWords(const ObservedRequest& record)
        {
            std::istringstream words(record.responseText);
            for (std::string word; words >> word;) {
                if (record.expectedText.find(word) == std::string::npos)
                    return false;
            }
            return true;
        }

        void checkRuns(const ObservedRequest& record)
        {
            if (record.key.empty())
                return;
            const auto runs = m_logs->runsByKey.find(record.key);
            const int count = runs == m_logs->runsByKey.end() ? 0 : runs->second;
            if (count > 1)
                addFinding(
                    HistoryFault::Duplicated, record, "key " + record.key + " ran " + std::to_string(count) + " times");
            if (count == 0 && record.outcome == ObservedOutcome::Complete)
                addFinding(HistoryFault::Lost, record, "the response is complete, but no target ran key " + record.key);
        }

        const std::vector<ObservedRequest>* m_records;
        const TargetLogs* m_logs;
        std::vector<HistoryFinding> m_findings;
    };

} // namespace

std::vector<HistoryFinding> checkHistory(
    const std::vector<ObservedRequest>& records, const TargetLogs& logs, uint64_t requestCount)
{
    return HistoryCheck(records, logs).run(requestCount);
}

std::string describeFindings(const std::vector<HistoryFinding>& findings, size_t maxLines)
{
    std::ostringstream text;
    for (size_t i = 0; i < findings.size() && i < maxLines; ++i)
        text << nameOf(findings[i].fault) << ", request " << findings[i].requestNumber << ", " << findings[i].detail
             << "\n";
    if (findings.size() > maxLines)
        text << "and " << findings.size() - maxLines << " more\n";
    return text.str();
}

} // namespace cyclamenstair::testing
