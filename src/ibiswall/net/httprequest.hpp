// Conversion of parsed HTTP messages into requests for handlers.

#pragma once

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <ibiswall/net/httpserver.hpp>

namespace ibiswall {

/// Body of a request. Unlike string_body it does not reserve the length that a client declares.
struct GrowingBody
{
    using value_type = std::string;

    // Named by the library's concept of a body.
    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &error)
        {
            error = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            error = {};
            std::size_t added = 0;
            for (const auto &buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                added += buffer.size();
            }
            return added;
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        value_type &body_;
    };
};

/// @param extraHeader see HttpLimits::extraHeader_
inline HttpRequest toRequest(boost::beast::http::request<GrowingBody> &&message, std::string_view extraHeader)
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
