// The duty that serves callers and operators by HTTP.

#pragma once

#include "httpmetrics.hpp"
#include "messages.hpp"

#include <ibiswall/settings.hpp>
#include <unordered_map>

namespace ibiswall {

/// Checks requests, passes them on, and writes the replies.
class CallersLoop
{
public:
    /// @param forward passes a message to the dispatch duty; false when its ring is full
    CallersLoop(boost::asio::io_context &io, const EntrySettings &settings, std::function<bool(DispatchMessage)> forward);

    /// Starts to listen.
    Result<std::uint16_t> listen(const Address &address);

    /// Sends the reply to a request that was forwarded.
    void reply(CallerReply &&reply);

    /// Makes the health check fail, so that the balancer sends no more callers.
    void turnUnhealthy();

    /// Closes connections without a request, and every other one after the reply in progress.
    void closeIdle();

    /// Stops to accept connections.
    void stopAccepting();

    /// Requests without a reply.
    std::size_t pending() const;

private:
    void measure(const HttpRequest &request, const Respond &respond);
    void handle(const HttpRequest &request, const Respond &respond);
    void handleJob(const HttpRequest &request, const std::string &member, const Respond &respond);
    void handleOperator(const HttpRequest &request, const std::string &name, const Respond &respond);
    void forward(const Respond &respond, const std::function<DispatchMessage(CallerRef)> &make);

    std::function<bool(DispatchMessage)> forward_;
    /// Names by `Bearer TOKEN`.
    std::unordered_map<std::string, std::string> members_;
    std::unordered_map<std::string, std::string> operators_;
    std::string self_;
    HttpMetrics metrics_;
    HttpServer server_;
    /// Requests passed on and not yet answered.
    std::unordered_map<CallerRef, Respond> waiting_;
    /// What the confirmations among waiting_ ask for, for the log.
    std::unordered_map<CallerRef, std::string> confirming_;
    CallerRef nextCaller_ = 1;
    bool healthy_ = true;
};

} // namespace ibiswall
