// Reads the system clocks.

#include <ibiswall/base.hpp>

#include <ctime>

namespace ibiswall {

namespace {

Millis read(clockid_t clock)
{
    constexpr std::int64_t millisPerSecond = 1000;
    constexpr std::int64_t nanosPerMilli = 1000000;
    timespec value{};
    clock_gettime(clock, &value);
    return {value.tv_sec * millisPerSecond + value.tv_nsec / nanosPerMilli};
}

} // namespace

Millis bootClock()
{
    return read(CLOCK_BOOTTIME);
}

Millis wallClock()
{
    return read(CLOCK_REALTIME);
}

} // namespace ibiswall
