// Blocking HTTP call on Boost.Beast.

#include <ibiswall/net/httpcall.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <memory>
#include <optional>

namespace ibiswall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr unsigned httpVersion11 = 11;
constexpr std::uint64_t maxReply = 64U << 20U;

http::request<http::string_body> makeRequest(const Address &address, const HttpCall &call)
{
    http::request<http::string_body> request(http::string_to_verb(call.method_), call.target_, httpVersion11);
    request.set(http::field::host, call.host_.empty() ? format(address) : call.host_);
    request.set(http::field::content_type, "application/json");
    if (!call.authorization_.empty()) {
        request.set(http::field::authorization, call.authorization_);
    }
    request.keep_alive(false);
    request.body() = call.body_;
    request.prepare_payload();
    return request;
}

// Reads the seconds of a Retry-After header; the form with a date is not used here.
Millis readRetryAfter(beast::string_view text)
{
    constexpr std::int64_t millisPerSecond = 1000;
    std::int32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return {seconds * millisPerSecond};
}

// What one call needs of the operating system.
struct Transport
{
    asio::io_context io_;
    beast::tcp_stream stream_{io_};
};

// Opens descriptors, and fails where the process has none left.
Result<std::unique_ptr<Transport>> makeTransport(const Address &address)
{
    try {
        return std::make_unique<Transport>();
    } catch (const boost::system::system_error &error) {
        return Error{Code::CannotConnect, format(address) + ": " + error.what()};
    }
}

} // namespace

Result<HttpAnswer> callHttp(const Address &address, const HttpCall &call)
{
    beast::error_code bad;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host_, bad), address.port_);
    if (bad) {
        return Error{Code::CannotConnect, format(address) + ": " + bad.message()};
    }
    BOOST_OUTCOME_TRY(const auto transport, makeTransport(address));
    beast::tcp_stream &stream = transport->stream_;
    beast::flat_buffer buffer;
    http::request<http::string_body> request = makeRequest(address, call);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReply);
    std::optional<Error> error;
    const auto fail = [&](Code code, beast::error_code reason) {
        error = Error{reason == beast::error::timeout && code != Code::CannotConnect ? Code::CallTimeout : code,
                      format(address) + ": " + reason.message()};
    };
    stream.expires_after(std::chrono::milliseconds(call.timeout_.count_));
    stream.async_connect(endpoint, [&](beast::error_code failed) {
        if (failed) {
            return fail(Code::CannotConnect, failed);
        }
        http::async_write(stream, request, [&](beast::error_code writeFailed, std::size_t /*bytes*/) {
            if (writeFailed) {
                return fail(Code::ConnectionLost, writeFailed);
            }
            http::async_read(stream, buffer, parser, [&](beast::error_code readFailed, std::size_t /*bytes*/) {
                if (readFailed) {
                    fail(Code::ConnectionLost, readFailed);
                }
            });
        });
    });
    transport->io_.run();
    if (error) {
        return *error;
    }
    const Millis retryAfter = readRetryAfter(parser.get()[http::field::retry_after]);
    return HttpAnswer{static_cast<int>(parser.get().result_int()), std::move(parser.get().body()), retryAfter};
}

} // namespace ibiswall
