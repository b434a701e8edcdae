#include <Cyclamenstair/Core/Error.h>

namespace cyclamenstair {

std::string Error::describe() const
{
    std::string text { nameOf(kind) };
    if (!step.empty())
        text += " at " + step;
    if (!peer.empty())
        text += " (" + peer + ")";
    return text + ": " + message;
}

Exception::Exception(Error error)
    : std::runtime_error(error.describe())
    , m_error(std::move(error))
{
}

} // namespace cyclamenstair
