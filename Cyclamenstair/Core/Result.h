#pragma once

#include <Cyclamenstair/Core/Error.h>

#include <utility>
#include <variant>

namespace cyclamenstair {

/// Holds either a value or an Error; returned by static factory functions.
template <typename Value> class Result {
public:
    Result(Value value)
        : m_valueOrError(std::in_place_index<0>, std::move(value))
    {
    }

    Result(Error error)
        : m_valueOrError(std::in_place_index<1>, std::move(error))
    {
    }

    explicit operator bool() const { return m_valueOrError.index() == 0; }

    /// Returns the value, or throws Exception if the result holds an error.
    Value& value() &
    {
        throwIfError();
        return std::get<0>(m_valueOrError);
    }

    const Value& value() const&
    {
        throwIfError();
        return std::get<0>(m_valueOrError);
    }

    Value&& value() &&
    {
        throwIfError();
        return std::get<0>(std::move(m_valueOrError));
    }

    /// Returns the error. The result must hold one.
    const Error& error() const { return std::get<1>(m_valueOrError); }

private:
    void throwIfError() const
    {
        if (m_valueOrError.index() == 1)
            throw Exception(std::get<1>(m_valueOrError));
    }

    std::variant<Value, Error> m_valueOrError;
};

} // namespace cyclamenstair
