#include <utility>

#include <Cyclamenstair/Http/SocketOptions.h>

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cyclamenstair {

namespace {

    /// Unacknowledged keep-alive probes after which the connection counts as dead.
    constexpr int keepAliveProbes = 2;

    void setOption(int descriptor, int level, int name, int value)
    {
        (void)setsockopt(descriptor, level, name, &value, sizeof(value));
    }

} // namespace

void configureSocket(boost::asio::ip::tcp::socket& socket, Duration deadPeerTimeout)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    const int descriptor = socket.native_handle();
    const int seconds = std::max(1, static_cast<int>(toSeconds(deadPeerTimeout)) / (keepAliveProbes + 1));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(toMilliseconds(deadPeerTimeout)));
}

void openClientSocket(
    boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp& protocol, boost::system::error_code& ec)
{
    socket.open(protocol, ec);
    if (!ec)
        socket.set_option(boost::asio::socket_base::reuse_address(true), ec);
}

} // namespace cyclamenstair
