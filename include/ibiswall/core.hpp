// Public header of the core library: the decision logic of entries and agents, free of I/O.

#pragma once

#include <ibiswall/base.hpp> // IWYU pragma: export
#include <ibiswall/core/agentpool.hpp> // IWYU pragma: export
#include <ibiswall/core/agentscheduler.hpp> // IWYU pragma: export
#include <ibiswall/core/configquorum.hpp> // IWYU pragma: export
#include <ibiswall/core/configuration.hpp> // IWYU pragma: export
#include <ibiswall/core/dedup.hpp> // IWYU pragma: export
#include <ibiswall/core/dispatcher.hpp> // IWYU pragma: export
#include <ibiswall/core/health.hpp> // IWYU pragma: export
#include <ibiswall/core/intent.hpp> // IWYU pragma: export
#include <ibiswall/core/job.hpp> // IWYU pragma: export
#include <ibiswall/core/jobid.hpp> // IWYU pragma: export
#include <ibiswall/core/overload.hpp> // IWYU pragma: export
#include <ibiswall/core/plan.hpp> // IWYU pragma: export
#include <ibiswall/core/platformreadtime.hpp> // IWYU pragma: export
#include <ibiswall/core/queue.hpp> // IWYU pragma: export
#include <ibiswall/core/random.hpp> // IWYU pragma: export
#include <ibiswall/core/subset.hpp> // IWYU pragma: export
#include <ibiswall/core/tombstones.hpp> // IWYU pragma: export
