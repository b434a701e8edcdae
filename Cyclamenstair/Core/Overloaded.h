#pragma once

namespace cyclamenstair {

/// Combines several lambdas into one visitor for `std::visit`.
template <typename... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};

template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace cyclamenstair
