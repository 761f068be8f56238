// How often an agent asks the leader to renew its lease.

#pragma once

#include <ibiswall/base.hpp>

namespace ibiswall::node {

/// State of an agent's lease.
struct LeaseState
{
    /// Time until the lease expires; 0 or less when it has expired.
    Millis remaining_;
    /// Whether the latest ping has been answered with a lease.
    bool answered_ = false;
};

/// Time between the latest ping and the next one. Rare while the lease is long, so that the leader of a large cell has few
/// pings to answer; frequent while it is short: during an outage of the store, leases end with the hold-offs of the entries.
Millis pingInterval(const LeaseState &lease);

} // namespace ibiswall::node
