// Public header of the platform library: client of the platform's key-value store, and the change log in it.

#pragma once

#include <ibiswall/platform/changelog.hpp> // IWYU pragma: export
#include <ibiswall/platform/store.hpp> // IWYU pragma: export
