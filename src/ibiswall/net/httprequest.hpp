// Conversion of parsed HTTP messages into requests for handlers.

#pragma once

#include <algorithm>
#include <boost/beast/http.hpp>
#include <ibiswall/net/httpserver.hpp>

namespace ibiswall {

/// @param extraHeader see HttpLimits::extraHeader_
inline HttpRequest toRequest(boost::beast::http::request<boost::beast::http::string_body> &&message, std::string_view extraHeader)
{
    const std::string target(message.target());
    const auto queryStart = target.find('?');
    HttpRequest request;
    request.method_ = std::string(message.method_string());
    request.path_ = target.substr(0, queryStart);
    request.query_ = queryStart == std::string::npos ? std::string() : target.substr(queryStart + 1);
    request.authorization_ = std::string(message[boost::beast::http::field::authorization]);
    request.host_ = std::string(message[boost::beast::http::field::host]);
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        if (name.compare(0, 2, "x-") == 0 || name == extraHeader) {
            request.customHeaders_[name] = std::string(field.value());
        }
    }
    request.body_ = std::move(message.body());
    return request;
}

} // namespace ibiswall
