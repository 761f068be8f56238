// View type for function parameters.

#pragma once

#include <boost/core/span.hpp>

namespace ibiswall {

/// A non-owning view of contiguous values.
template<typename T>
using Span = boost::span<T>;

} // namespace ibiswall
