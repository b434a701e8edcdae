#include <Cyclamenstair/Store/StoreListing.h>

#include <Cyclamenstair/Store/StoreEra.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <utility>

namespace cyclamenstair {

StoreListing::StoreListing(boost::asio::io_context& context, std::string prefix, PageReader readPage,
    StoreRecordFilter filter, const StoreListingSettings& settings)
    : m_prefix(std::move(prefix))
    , m_readPage(std::move(readPage))
    , m_filter(std::move(filter))
    , m_settings(settings)
    , m_timer(context)
{
}

void StoreListing::read(Handler handler)
{
    cancel();
    m_handler = std::move(handler);
    m_startedAt = monotonicNow();
    requestPage();
}

void StoreListing::cancel()
{
    m_handler = nullptr;
    ++m_request;
    m_afterKey.clear();
    m_range = {};
    m_attempts = 0;
    m_pages = 0;
    m_unusedRecords = 0;
    ++m_timerId;
    boost::system::error_code ec;
    m_timer.cancel(ec);
}

void StoreListing::requestPage()
{
    if (++m_attempts > m_settings.maxAttempts) {
        finish(StoreUnavailable { "a page was requested " + std::to_string(m_settings.maxAttempts) + " times" });
        return;
    }
    // Before the call: an exception in it, or in the handling of its outcome, must not end the read.
    scheduleRequest(m_settings.maxPageDelay);
    m_readPage(m_afterKey, [this, request = ++m_request](StorePageOutcome outcome) {
        if (request != m_request)
            return;
        scheduleRequest(m_settings.retryDelay);
        if (auto* page = std::get_if<StorePage>(&outcome))
            onPage(std::move(*page));
        else
            onFailure(std::get<StoreUnavailable>(outcome).message);
    });
}

void StoreListing::onPage(StorePage page)
{
    if (auto fault = findFault(page); !fault.empty()) {
        finish(StoreUnavailable { std::move(fault) });
        return;
    }
    const auto count = page.range.records.size();
    std::erase_if(
        page.range.records, [this](auto& record) { return !record.key.starts_with(m_prefix) || !m_filter(record); });
    if (m_pages == 0)
        m_range.revision = page.range.revision;
    for (auto& record : page.range.records)
        m_range.records.push_back(std::move(record));
    m_unusedRecords += count - page.range.records.size();
    ++m_pages;
    m_attempts = 0;
    if (page.hasMore) {
        m_afterKey = std::move(page.lastKey);
        requestPage();
        return;
    }
    if (m_pages > 1)
        logEvent(LogSeverity::Info, "store_pages_read",
            { { "prefix", m_prefix }, { "pages", std::to_string(m_pages) },
                { "records", std::to_string(m_range.records.size()) },
                { "unused_records", std::to_string(m_unusedRecords) },
                { "elapsed_ms", std::to_string(toMilliseconds(monotonicNow() - m_startedAt)) } });
    finish(std::move(m_range));
}

void StoreListing::onFailure(const std::string& message)
{
    if (m_pages == 0 || m_attempts >= m_settings.maxAttempts) {
        finish(StoreUnavailable { message });
        return;
    }
    logEvent(LogSeverity::Warning, "store_page_failed",
        { { "prefix", m_prefix }, { "pages", std::to_string(m_pages) }, { "attempts", std::to_string(m_attempts) },
            { "message", message } });
    scheduleRequest(m_settings.retryDelay * (1 << (m_attempts - 1)));
}

std::string StoreListing::findFault(const StorePage& page) const
{
    if (m_pages > 0 && eraOf(m_range.revision) != eraOf(page.range.revision))
        return "the store entered a new era between two pages";
    if (page.hasMore && (page.lastKey <= m_afterKey || !page.lastKey.starts_with(m_prefix)))
        return "a page does not end after the key '" + m_afterKey + "'";
    return {};
}

void StoreListing::finish(StoreReadOutcome outcome)
{
    const auto handler = std::exchange(m_handler, nullptr);
    cancel();
    handler(std::move(outcome));
}

void StoreListing::scheduleRequest(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, timerId = ++m_timerId](const boost::system::error_code& ec) {
        if (!ec && timerId == m_timerId)
            requestPage();
    });
}

} // namespace cyclamenstair
