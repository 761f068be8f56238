// Public header of the base library: addresses, time, result and exit codes, errors and views.

#pragma once

#include <ibiswall/base/address.hpp> // IWYU pragma: export
#include <ibiswall/base/clock.hpp> // IWYU pragma: export
#include <ibiswall/base/code.hpp> // IWYU pragma: export
#include <ibiswall/base/exit.hpp> // IWYU pragma: export
#include <ibiswall/base/result.hpp> // IWYU pragma: export
#include <ibiswall/base/span.hpp> // IWYU pragma: export
