// Blocking HTTP client for threads that may wait for the response.

#pragma once

#include <ibiswall/base.hpp>

namespace ibiswall {

/// A request to send.
struct HttpCall
{
    std::string method_ = "GET";
    std::string target_ = "/";
    std::string body_;
    /// Value of the Authorization header; empty for none.
    std::string authorization_;
    /// Limit of the whole call, from connecting to the end of the response.
    Millis timeout_{5000};
    /// Value of the Host header; empty for the address.
    std::string host_ = {};
};

/// A received response.
struct HttpResponse
{
    int status_ = 0;
    std::string body_;
    /// Value of the Retry-After header; 0 if there is none.
    Millis retryAfter_;
};

/// Sends a request and waits for the whole response.
/// @return CannotConnect if nothing was sent, ConnectionLost or CallTimeout if the server may have received the request
Result<HttpResponse> callHttp(const Address &address, const HttpCall &call);

} // namespace ibiswall
