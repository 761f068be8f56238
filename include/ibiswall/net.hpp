// Public header of the net library: HTTP client and server, links between processes, and channels between threads.

#pragma once

#include <ibiswall/net/channel.hpp> // IWYU pragma: export
#include <ibiswall/net/httpcall.hpp> // IWYU pragma: export
#include <ibiswall/net/httppool.hpp> // IWYU pragma: export
#include <ibiswall/net/httpserver.hpp> // IWYU pragma: export
#include <ibiswall/net/link.hpp> // IWYU pragma: export
