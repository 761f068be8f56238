// Whether a new job is taken in.

#pragma once

#include <ibiswall/core/dispatcher.hpp>

namespace ibiswall {

/// Tells why a new job cannot be taken in; Ok when it can.
Error admissionError(const Dispatcher &dispatcher, Now now, const Submission &submission);

} // namespace ibiswall
