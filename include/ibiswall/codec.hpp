// Public header of the codec library: JSON for callers, operators and the platform; CBOR between processes.

#pragma once

#include <ibiswall/codec/api.hpp> // IWYU pragma: export
#include <ibiswall/codec/changes.hpp> // IWYU pragma: export
#include <ibiswall/codec/wire.hpp> // IWYU pragma: export
#include <ibiswall/core.hpp> // IWYU pragma: export
