#include <StandIns/ScriptedHttpServer.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace cyclamenstair {

using boost::asio::ip::tcp;

std::string ScriptedRequest::field(const std::string& name) const
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto valueStart = start + name.size() + 4;
    return head.substr(valueStart, head.find("\r\n", valueStart) - valueStart);
}

/// One connection: reads a request, writes its answer, and reads the next request.
class ScriptedHttpServer::Session : public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, ScriptedHttpServer& server)
        : m_socket(std::move(socket))
        , m_server(&server)
    {
    }

    void readHead()
    {
        boost::asio::async_read_until(m_socket, boost::asio::dynamic_buffer(m_input), "\r\n\r\n",
            [self = shared_from_this()](const boost::system::error_code& ec, size_t bytes) {
                if (ec)
                    return;
                auto& request = self->m_request;
                request.head = self->m_input.substr(0, bytes);
                self->m_input.erase(0, bytes);
                const auto start = request.head.find(' ') + 1;
                request.target = request.head.substr(start, request.head.find(' ', start) - start);
                const auto length = request.field("Content-Length");
                self->readBody(length.empty() ? 0 : std::stoul(length));
            });
    }

private:
    void readBody(size_t length)
    {
        if (m_input.size() >= length) {
            m_request.body = m_input.substr(0, length);
            m_input.erase(0, length);
            answer();
            return;
        }
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
            [self = shared_from_this(), length](const boost::system::error_code& ec, size_t bytes) {
                if (ec)
                    return;
                self->m_input.append(self->m_buffer.data(), bytes);
                self->readBody(length);
            });
    }

    void answer()
    {
        m_answer = m_server->respond(m_request);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_answer),
            [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
                const bool closes = self->m_answer.find("Connection: close\r\n") != std::string::npos;
                boost::system::error_code ignored;
                if (closes)
                    self->m_socket.shutdown(tcp::socket::shutdown_both, ignored);
                else if (!ec)
                    self->readHead();
            });
    }

    tcp::socket m_socket;
    ScriptedHttpServer* m_server;
    std::string m_input;
    std::array<char, 4096> m_buffer {};
    ScriptedRequest m_request;
    std::string m_answer;
};

ScriptedHttpServer::ScriptedHttpServer(Responder respond)
    : m_respond(std::move(respond))
    , m_acceptor(m_loop.context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
{
    accept();
    m_loop.start();
}

ScriptedHttpServer::~ScriptedHttpServer() { m_loop.stop(); }

std::vector<ScriptedRequest> ScriptedHttpServer::requests()
{
    std::lock_guard lock(m_mutex);
    return m_requests;
}

int ScriptedHttpServer::connectionCount()
{
    std::lock_guard lock(m_mutex);
    return m_connections;
}

void ScriptedHttpServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec)
            return;
        {
            std::lock_guard lock(m_mutex);
            ++m_connections;
        }
        std::make_shared<Session>(std::move(socket), *this)->readHead();
        accept();
    });
}

std::string ScriptedHttpServer::respond(const ScriptedRequest& request)
{
    {
        std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
    }
    return m_respond(request);
}

} // namespace cyclamenstair
