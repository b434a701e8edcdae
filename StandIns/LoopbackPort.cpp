#include <StandIns/LoopbackPort.h>

#include <arpa/inet.h>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    /// Range of the port blocks: above the usual service ports and below 32768, the start of Linux's ephemeral ports.
    constexpr int firstPort = 10000;
    constexpr int endPort = 32700;

    /// Number of ports in a block, including the one that reserves it. A test fleet uses about 20 ports.
    constexpr int blockSize = 100;
    constexpr int blockCount = (endPort - firstPort) / blockSize;

    /// Binds a socket to the port and returns its descriptor, or -1 if the port is in use. The descriptor is closed on
    /// exec, so that a reservation does not outlive this process.
    int tryBindPort(int port)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            throw std::runtime_error("cannot open a socket for finding a free loopback port");
        sockaddr_in bound {};
        bound.sin_family = AF_INET;
        bound.sin_port = htons(static_cast<uint16_t>(port));
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) == 0)
            return descriptor;
        ::close(descriptor);
        return -1;
    }

    /// Port blocks that this process has reserved. They stay reserved until the process exits.
    class PortBlocks {
    public:
        uint16_t allocate()
        {
            const std::lock_guard lock(m_mutex);
            while (true) {
                if (m_nextPort == m_endPort)
                    reserveBlock();
                const int port = m_nextPort++;
                if (const int descriptor = tryBindPort(port); descriptor >= 0) {
                    ::close(descriptor);
                    return static_cast<uint16_t>(port);
                }
            }
        }

    private:
        void reserveBlock()
        {
            // The start depends on the process id, so that processes rarely compete for the same block.
            for (; m_triedBlocks < blockCount; ++m_triedBlocks) {
                const int block = (static_cast<int>(::getpid()) + m_triedBlocks) % blockCount;
                const int port = firstPort + block * blockSize;
                if (tryBindPort(port) < 0)
                    continue;
                m_nextPort = port + 1;
                m_endPort = port + blockSize;
                ++m_triedBlocks;
                return;
            }
            throw std::runtime_error("all blocks of loopback ports are in use");
        }

        std::mutex m_mutex;
        int m_nextPort { 0 };
        int m_endPort { 0 };
        int m_triedBlocks { 0 }; ///< Number of blocks that this process has tried to reserve.
    };

} // namespace

uint16_t allocateLoopbackPort()
{
    static PortBlocks s_portBlocks;
    return s_portBlocks.allocate();
}

std::string allocateLoopbackAddress() { return "127.0.0.1:" + std::to_string(allocateLoopbackPort()); }

} // namespace cyclamenstair
