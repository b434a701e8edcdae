#include <Cyclamenstair/Http/OptionalListener.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

OptionalListener::OptionalListener(boost::asio::io_context& context, std::string address, Factory factory)
    : m_timer(context)
    , m_address(std::move(address))
    , m_factory(std::move(factory))
{
}

void OptionalListener::start(ListeningHandler onListening)
{
    m_onListening = std::move(onListening);
    tryToListen();
}

void OptionalListener::stopTrying()
{
    boost::system::error_code ec;
    m_timer.cancel(ec);
}

void OptionalListener::drainConnections()
{
    if (m_listener)
        m_listener->drainConnections();
}

void OptionalListener::tryToListen()
{
    // Before the attempt, so that another one follows an exception in it.
    m_timer.expires_after(retryInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tryToListen();
    });
    if (!m_listener) {
        if (const auto error = createListener()) {
            if (!std::exchange(m_hasFailed, true))
                logError(LogSeverity::Warning, "listener_unavailable", *error);
            return;
        }
        if (m_hasFailed)
            logEvent(LogSeverity::Info, "listener_available", { { "address", m_address } });
    }
    m_onListening();
    stopTrying();
}

std::optional<Error> OptionalListener::createListener()
{
    auto listener = m_factory();
    if (!listener)
        return listener.error();
    if (auto error = listener.value()->listen())
        return error;
    listener.value()->start();
    m_listener = std::move(listener).value();
    return std::nullopt;
}

} // namespace cyclamenstair
