// Admission control of new jobs.

#pragma once

#include <ibiswall/core/dispatcher.hpp>

namespace ibiswall {

/// Returns why a new job is refused, or an error with code Ok if it is admitted.
Error admissionError(const Dispatcher &dispatcher, Now now, const Submission &submission);

} // namespace ibiswall
