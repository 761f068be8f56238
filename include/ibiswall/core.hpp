// Public header of the core library: every decision, without input or output.

#pragma once

#include <ibiswall/base.hpp> // IWYU pragma: export
#include <ibiswall/core/configuration.hpp> // IWYU pragma: export
#include <ibiswall/core/dispatcher.hpp> // IWYU pragma: export
#include <ibiswall/core/electorate.hpp> // IWYU pragma: export
#include <ibiswall/core/ended.hpp> // IWYU pragma: export
#include <ibiswall/core/fleet.hpp> // IWYU pragma: export
#include <ibiswall/core/freshness.hpp> // IWYU pragma: export
#include <ibiswall/core/gate.hpp> // IWYU pragma: export
#include <ibiswall/core/health.hpp> // IWYU pragma: export
#include <ibiswall/core/intent.hpp> // IWYU pragma: export
#include <ibiswall/core/job.hpp> // IWYU pragma: export
#include <ibiswall/core/jobid.hpp> // IWYU pragma: export
#include <ibiswall/core/overload.hpp> // IWYU pragma: export
#include <ibiswall/core/plan.hpp> // IWYU pragma: export
#include <ibiswall/core/queue.hpp> // IWYU pragma: export
#include <ibiswall/core/random.hpp> // IWYU pragma: export
#include <ibiswall/core/seen.hpp> // IWYU pragma: export
#include <ibiswall/core/subset.hpp> // IWYU pragma: export
