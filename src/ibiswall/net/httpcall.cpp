// Blocking HTTP client based on Boost.Beast.

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
constexpr std::uint64_t maxResponseBytes = 64U << 20U;

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

// Parses a Retry-After header in seconds; the date form is not supported.
Millis parseRetryAfter(beast::string_view text)
{
    constexpr std::int64_t millisPerSecond = 1000;
    std::int32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return {seconds * millisPerSecond};
}

// The event loop and socket of one call.
struct Transport
{
    asio::io_context io_;
    beast::tcp_stream stream_{io_};
};

// Fails if the process has no file descriptors left.
Result<std::unique_ptr<Transport>> makeTransport(const Address &address)
{
    try {
        return std::make_unique<Transport>();
    } catch (const boost::system::system_error &error) {
        return Error{Code::CannotConnect, format(address) + ": " + error.what()};
    }
}

} // namespace

Result<HttpResponse> callHttp(const Address &address, const HttpCall &call)
{
    beast::error_code addressError;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host_, addressError), address.port_);
    if (addressError) {
        return Error{Code::CannotConnect, format(address) + ": " + addressError.message()};
    }
    BOOST_OUTCOME_TRY(const auto transport, makeTransport(address));
    beast::tcp_stream &stream = transport->stream_;
    beast::flat_buffer buffer;
    http::request<http::string_body> request = makeRequest(address, call);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    std::optional<Error> error;
    const auto fail = [&](Code code, beast::error_code reason) {
        error = Error{reason == beast::error::timeout && code != Code::CannotConnect ? Code::CallTimeout : code,
                      format(address) + ": " + reason.message()};
    };
    stream.expires_after(std::chrono::milliseconds(call.timeout_.count_));
    stream.async_connect(endpoint, [&](beast::error_code connectFailed) {
        if (connectFailed) {
            return fail(Code::CannotConnect, connectFailed);
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
    const Millis retryAfter = parseRetryAfter(parser.get()[http::field::retry_after]);
    return HttpResponse{static_cast<int>(parser.get().result_int()), std::move(parser.get().body()), retryAfter};
}

} // namespace ibiswall
