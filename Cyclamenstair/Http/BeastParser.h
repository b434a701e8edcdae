#pragma once

// With sanitizers, GCC 12 takes an empty boost::optional in Beast's parser for an uninitialized value. The exemption
// from the warning ends with this header.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/beast/http/parser.hpp>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif
