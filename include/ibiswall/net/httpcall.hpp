// One blocking HTTP call, for threads that have nothing else to do meanwhile.

#pragma once

#include <ibiswall/base.hpp>

namespace ibiswall {

/// A request to send.
struct HttpCall
{
    std::string method_ = "GET";
    std::string target_ = "/";
    std::string body_;
    /// Sent as the Authorization header unless empty.
    std::string authorization_;
    /// The whole call must end within this time.
    Millis timeout_{5000};
    /// Sent as the Host header; empty for the address.
    std::string host_ = {};
};

/// A reply received.
struct HttpAnswer
{
    int status_ = 0;
    std::string body_;
    /// Time after which to ask again, zero when the reply names none.
    Millis retryAfter_;
};

/// Sends a request and waits for the whole reply.
/// @return CannotConnect when nothing was sent, ConnectionLost or CallTimeout when the request may have been received
Result<HttpAnswer> callHttp(const Address &address, const HttpCall &call);

} // namespace ibiswall
