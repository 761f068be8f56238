// The view over contiguous values that signatures use.

#pragma once

#include <boost/core/span.hpp>

namespace ibiswall {

/// A view over contiguous values owned by somebody else.
template<typename T>
using Span = boost::span<T>;

} // namespace ibiswall
