// Connections of one HTTP server: which of them are closed when others need the room, or when they take too long.

#include "httpsession.hpp"

namespace ibiswall {

namespace {

// Refusals are still written to this many connections beyond the limit; further ones are closed without a reply.
constexpr std::size_t maxRefusedConnections = 16;
// Requests may exceed their time limit by up to a quarter, or by this.
constexpr std::int64_t maxSweepMillis = 1000;
constexpr std::int64_t sweepsPerTimeout = 4;

} // namespace

HttpSessions::HttpSessions(boost::asio::io_context &io, HttpLimits limits, HttpHandler handler)
    : limits_(std::move(limits))
    , handler_(std::move(handler))
    , sweepTimer_(io)
{
}

void HttpSessions::add(boost::asio::ip::tcp::socket socket)
{
    const bool full = sessions_.size() >= limits_.maxConnections_ && !closeLongestWaiting();
    if (sessions_.size() >= limits_.maxConnections_ + maxRefusedConnections) {
        report("dropped");
        return;
    }
    const auto session = std::make_shared<HttpSession>(std::move(socket), shared_from_this());
    if (full) {
        session->refuseForLackOfRoom();
    } else {
        session->start();
    }
}

void HttpSessions::startWaiting(HttpSession &session, HttpWait wait)
{
    stopWaiting(session);
    session.wait_ = {wait, nextWait_++};
    session.waitingSince_ = bootClock();
    waiting_.insert({wait, session.wait_->second, &session});
    scheduleSweep();
}

void HttpSessions::stopWaiting(HttpSession &session)
{
    if (session.wait_) {
        waiting_.erase({session.wait_->first, session.wait_->second, &session});
        session.wait_.reset();
    }
}

bool HttpSessions::closeLongestWaiting()
{
    if (waiting_.empty()) {
        return false;
    }
    std::get<HttpSession *>(*waiting_.begin())->drop("replaced");
    return true;
}

bool HttpSessions::closeLargest(std::size_t moreThan, const HttpSession &except)
{
    HttpSession *largest = nullptr;
    for (const auto &[wait, number, session] : waiting_) {
        if (session != &except && session->heldBytes() > (largest == nullptr ? moreThan : largest->heldBytes())) {
            largest = session;
        }
    }
    if (largest == nullptr) {
        return false;
    }
    largest->drop("memory");
    return true;
}

void HttpSessions::report(std::string_view reason) const
{
    if (limits_.onClosed_) {
        limits_.onClosed_(reason);
    }
}

void HttpSessions::scheduleSweep()
{
    if (std::exchange(sweepScheduled_, true)) {
        return;
    }
    const std::int64_t period = std::clamp<std::int64_t>(limits_.idleTimeout_.count_ / sweepsPerTimeout, 1, maxSweepMillis);
    sweepTimer_.expires_after(std::chrono::milliseconds(period));
    sweepTimer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->sweep();
        }
    });
}

// Expires requests that take too long. Replies and refusals have a timer of their own.
void HttpSessions::sweep()
{
    const Millis now = bootClock();
    std::vector<std::shared_ptr<HttpSession>> expired;
    for (const HttpWait wait : {HttpWait::NeverCompleted, HttpWait::Next}) {
        for (auto each = waiting_.lower_bound({wait, 0, nullptr}); each != waiting_.end() && std::get<HttpWait>(*each) == wait; ++each) {
            HttpSession *session = std::get<HttpSession *>(*each);
            if (now < session->waitingSince_ + limits_.idleTimeout_) {
                break;
            }
            if (auto alive = session->weak_from_this().lock()) {
                expired.push_back(std::move(alive));
            }
        }
    }
    for (const auto &session : expired) {
        session->expire();
    }
    sweepScheduled_ = false;
    if (!waiting_.empty()) {
        scheduleSweep();
    }
}

} // namespace ibiswall
