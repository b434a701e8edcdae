#include <StandIns/LoopbackPort.h>

#include <arpa/inet.h>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    /// Ports of the blocks: above the usual services, below 32768, where Linux starts to number outgoing connections.
    constexpr int firstPort = 10000;
    constexpr int endPort = 32700;

    /// Ports of a block, including the one that claims it. A fleet of a test uses about 20 ports.
    constexpr int blockSize = 100;
    constexpr int blockCount = (endPort - firstPort) / blockSize;

    /// Binds a socket to the port; returns its descriptor, or -1 if the port is in use. A child process does not
    /// inherit it.
    int bindPort(int port)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            throw std::runtime_error("cannot open a socket to look for a free port");
        sockaddr_in bound {};
        bound.sin_family = AF_INET;
        bound.sin_port = htons(static_cast<uint16_t>(port));
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) == 0)
            return descriptor;
        ::close(descriptor);
        return -1;
    }

    /// The blocks of this process. Claimed blocks stay claimed until the process ends.
    class PortBlocks {
    public:
        uint16_t next()
        {
            const std::lock_guard lock(m_mutex);
            while (true) {
                if (m_next == m_end)
                    claimBlock();
                const int port = m_next++;
                if (const int descriptor = bindPort(port); descriptor >= 0) {
                    ::close(descriptor);
                    return static_cast<uint16_t>(port);
                }
            }
        }

    private:
        void claimBlock()
        {
            // Processes start at different blocks, so that a claim rarely meets another.
            for (; m_tried < blockCount; ++m_tried) {
                const int block = (static_cast<int>(::getpid()) + m_tried) % blockCount;
                const int port = firstPort + block * blockSize;
                if (bindPort(port) < 0)
                    continue;
                m_next = port + 1;
                m_end = port + blockSize;
                ++m_tried;
                return;
            }
            throw std::runtime_error("no block of free loopback ports is left");
        }

        std::mutex m_mutex;
        int m_next { 0 };
        int m_end { 0 };
        int m_tried { 0 }; ///< Blocks that this process has tried to claim.
    };

} // namespace

uint16_t freeLoopbackPort()
{
    static PortBlocks s_blocks;
    return s_blocks.next();
}

std::string freeLoopbackAddress() { return "127.0.0.1:" + std::to_string(freeLoopbackPort()); }

} // namespace cyclamenstair
