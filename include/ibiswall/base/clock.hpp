// Millisecond type for durations and points in time, and the system clocks.

#pragma once

#include <cstdint>

namespace ibiswall {

/// A duration, or a point in time as the duration since a clock's origin, in milliseconds.
struct Millis
{
    std::int64_t count_ = 0;
};

constexpr Millis operator+(Millis a, Millis b)
{
    return {a.count_ + b.count_};
}

constexpr Millis operator-(Millis a, Millis b)
{
    return {a.count_ - b.count_};
}

constexpr bool operator==(Millis a, Millis b)
{
    return a.count_ == b.count_;
}

constexpr bool operator!=(Millis a, Millis b)
{
    return a.count_ != b.count_;
}

constexpr bool operator<(Millis a, Millis b)
{
    return a.count_ < b.count_;
}

constexpr bool operator<=(Millis a, Millis b)
{
    return a.count_ <= b.count_;
}

constexpr bool operator>(Millis a, Millis b)
{
    return a.count_ > b.count_;
}

constexpr bool operator>=(Millis a, Millis b)
{
    return a.count_ >= b.count_;
}

/// Reads the monotonic clock (CLOCK_BOOTTIME), which also counts while the machine is suspended.
Millis bootClock();

/// Reads the wall clock in milliseconds since 1970-01-01 UTC.
Millis wallClock();

} // namespace ibiswall
