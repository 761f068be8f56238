// The project's one type for points in time and for durations: whole milliseconds.

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

/// Reads the monotonic clock that goes on counting while the machine is suspended.
Millis bootClock();

/// Reads the wall clock, as milliseconds since 1970 UTC.
Millis wallClock();

} // namespace ibiswall
