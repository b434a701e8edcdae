#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

namespace cyclamenstair {

/// Body type for Boost.Beast parsers that holds the received bytes in a string. Unlike Beast's string_body it reserves
/// no memory for a stated length, which the peer chooses.
struct TextBody {
    using value_type = std::string;

    class reader { // NOLINT(readability-identifier-naming): the name that Beast asks for.
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }

        template <class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& ec)
        {
            ec = {};
            std::size_t bytes = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
                bytes += buffer.size();
            }
            return bytes;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };
};

} // namespace cyclamenstair
