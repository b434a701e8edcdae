#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <stdexcept>
#include <string>

namespace cyclamenstair {

/// Kind of failure, independent of the protocol that reports it.
enum class ErrorKind : uint8_t {
    InvalidInput,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    KeyReused, ///< The idempotency key was already used for a request with another body.
    LimitExceeded,
    NotRun,
    Unavailable,
    Timeout,
    Unknown,
    Internal,
};

template <> struct EnumNames<ErrorKind> {
    static constexpr auto table = std::to_array<EnumName<ErrorKind>>({
        { ErrorKind::InvalidInput, "invalid_input" },
        { ErrorKind::Unauthorized, "unauthorized" },
        { ErrorKind::Forbidden, "forbidden" },
        { ErrorKind::NotFound, "not_found" },
        { ErrorKind::Conflict, "conflict" },
        { ErrorKind::KeyReused, "key_reused" },
        { ErrorKind::LimitExceeded, "limit_exceeded" },
        { ErrorKind::NotRun, "not_run" },
        { ErrorKind::Unavailable, "unavailable" },
        { ErrorKind::Timeout, "timeout" },
        { ErrorKind::Unknown, "unknown" },
        { ErrorKind::Internal, "internal" },
    });
};

/// Failure with the operation and the peer that it occurred at.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string step; ///< Failed operation, such as "store.transaction".
    std::string peer; ///< Address or id of the remote side; empty if none.
    std::string message;

    /// Returns "kind at step (peer): message" for logs; empty parts are omitted.
    std::string describe() const;
};

/// Exception that carries an Error.
class Exception : public std::runtime_error {
public:
    explicit Exception(Error error);

    const Error& error() const { return m_error; }

private:
    Error m_error;
};

} // namespace cyclamenstair
