// How often an agent asks the leader to renew its lease.

#include "pinginterval.hpp"

namespace ibiswall::node {

namespace {

constexpr Millis rareInterval{300};
constexpr Millis frequentInterval{150};
constexpr Millis unleasedInterval{60};
// Leases with less time left are renewed frequently. Leaves time for two lost pings.
constexpr Millis shortLease{500};

} // namespace

Millis pingInterval(const LeaseState &lease)
{
    if (lease.remaining_ <= Millis{0}) {
        return unleasedInterval;
    }
    return lease.answered_ && lease.remaining_ > shortLease ? rareInterval : frequentInterval;
}

} // namespace ibiswall::node
