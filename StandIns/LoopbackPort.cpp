#include <utility>

#include <StandIns/LoopbackPort.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cyclamenstair {

std::string freeLoopbackAddress()
{
    boost::asio::io_context context;
    using boost::asio::ip::tcp;
    const tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace cyclamenstair
