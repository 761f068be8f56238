// Public header of the platform library: the platform's key-value service and the change log kept in it.

#pragma once

#include <ibiswall/platform/changelog.hpp> // IWYU pragma: export
#include <ibiswall/platform/store.hpp> // IWYU pragma: export
