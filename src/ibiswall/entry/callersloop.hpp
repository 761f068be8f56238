// Event loop that serves the HTTP API for callers and operators.

#pragma once

#include "httpmetrics.hpp"
#include "messages.hpp"

#include <ibiswall/settings.hpp>
#include <unordered_map>

namespace ibiswall {

/// Authenticates and validates HTTP requests, forwards them to the dispatch loop, and writes the replies.
class CallersLoop
{
public:
    /// @param forward sends a message to the dispatch loop; returns false when its queue is full
    CallersLoop(boost::asio::io_context &io, const EntrySettings &settings, std::function<bool(DispatchMessage)> forward);

    /// Starts to accept connections.
    /// @return the bound port
    Result<std::uint16_t> listen(const Address &address);

    /// Sends the reply to a request that was forwarded.
    void reply(CallerReply &&reply);

    /// Lets the health check succeed, unless the entry is stopping.
    void markCaughtUp();

    /// Makes the health check fail for good, so that the load balancer stops sending callers here.
    void markStopping();

    /// Closes idle connections now, and each other connection after its current reply.
    void closeIdle();

    /// Stops accepting connections.
    void stopAccepting();

    /// Number of requests without a reply.
    std::size_t pending() const;

private:
    void handleMeasured(const HttpRequest &request, const Respond &respond);
    void handle(const HttpRequest &request, const Respond &respond);
    void handleJob(const HttpRequest &request, const std::string &member, const Respond &respond);
    void handleOperator(const HttpRequest &request, const std::string &name, const Respond &respond);
    void forward(const Respond &respond, const std::function<DispatchMessage(CallerRef)> &make);

    std::function<bool(DispatchMessage)> forward_;
    /// Member and operator names by Authorization header (`Bearer TOKEN`).
    std::unordered_map<std::string, std::string> members_;
    std::unordered_map<std::string, std::string> operators_;
    std::string self_;
    HttpMetrics metrics_;
    HttpServer server_;
    /// Reply callbacks of forwarded requests.
    std::unordered_map<CallerRef, Respond> pendingReplies_;
    /// Descriptions of the confirmations in pendingReplies_, for the log.
    std::unordered_map<CallerRef, std::string> pendingIntents_;
    CallerRef nextCaller_ = 1;
    bool caughtUp_ = false;
    bool stopping_ = false;
};

} // namespace ibiswall
