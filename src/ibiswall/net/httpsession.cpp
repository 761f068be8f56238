// Reads requests from one connection and writes their replies.

#include "httpsession.hpp"

namespace ibiswall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// How long a connection is still read after a refusal. Closing it with unread input would reset it, and the client could
// lose the reply.
constexpr std::chrono::milliseconds maxLinger(2000);
constexpr std::size_t discardBufferBytes = 16384;
// Trailers and chunk extensions are parsed from the buffer and count against its size only.
constexpr std::size_t minBufferBytes = 8192;
// A chunk of one byte takes six; more than eight bytes for each byte of the body are extensions and trailers.
constexpr std::size_t maxFramingFactor = 8;
// Larger buffers are released while a connection waits for its next request.
constexpr std::size_t maxIdleBufferBytes = 2048;
constexpr Millis noRoomRetryAfter{1000};

std::chrono::milliseconds toChrono(Millis time)
{
    return std::chrono::milliseconds(time.count_);
}

// Body of a refusal by the server itself, in the same format as other errors.
std::string errorBody(Code code)
{
    return "{\"state\":\"failed\",\"code\":" + std::to_string(static_cast<int>(code)) + ",\"reason\":\"" + std::string(describe(code))
        + "\"}";
}

} // namespace

HttpSession::HttpSession(tcp::socket socket, std::shared_ptr<HttpSessions> server)
    : stream_(std::move(socket))
    , buffer_(std::max(server->limits_.maxHeader_, minBufferBytes) + 1)
    , server_(std::move(server))
    , share_(server_->limits_.budget_)
{
    server_->sessions_.insert(this);
}

HttpSession::~HttpSession()
{
    server_->stopWaiting(*this);
    server_->sessions_.erase(this);
}

void HttpSession::start()
{
    read();
}

void HttpSession::refuseForLackOfRoom()
{
    refuse(http::status::service_unavailable, Code::TooManyConnections, "too_many", noRoomRetryAfter);
}

bool HttpSession::isBusy() const
{
    return phase_ == Phase::Handling || (phase_ == Phase::Reading && (parser_->got_some() || buffer_.size() > 0));
}

void HttpSession::closeIdle()
{
    if (phase_ == Phase::Reading && !isBusy()) {
        stream_.cancel();
    }
}

void HttpSession::drop(std::string_view reason)
{
    server_->report(reason);
    server_->stopWaiting(*this);
    server_->sessions_.erase(this);
    phase_ = Phase::Closing;
    share_.resize(0);
    stream_.close();
}

void HttpSession::expire()
{
    if (phase_ == Phase::Reading) {
        server_->stopWaiting(*this);
        expired_ = true;
        stream_.cancel();
    }
}

std::size_t HttpSession::heldBytes() const
{
    return share_.bytes();
}

void HttpSession::read()
{
    phase_ = Phase::Reading;
    parser_.emplace();
    parser_->body_limit(server_->limits_.maxBody_);
    parser_->header_limit(static_cast<std::uint32_t>(server_->limits_.maxHeader_));
    parser_->eager(true);
    requestBytes_ = 0;
    if (buffer_.capacity() > maxIdleBufferBytes) {
        buffer_.shrink_to_fit();
    }
    share_.resize(sizeof(HttpSession) + buffer_.capacity());
    stream_.expires_never();
    server_->startWaiting(*this, hasCompleted_ ? HttpWait::Next : HttpWait::NeverCompleted);
    if (buffer_.size() > 0) {
        parse();
    } else {
        readSome();
    }
}

// Reads and parses in steps, since http::async_read_some does not return while chunk headers or trailers are incomplete.
void HttpSession::readSome()
{
    constexpr std::size_t maxReadBytes = 16384;
    const std::size_t size = beast::read_size(buffer_, maxReadBytes);
    if (size == 0) {
        onReadError(http::error::buffer_overflow);
        return;
    }
    stream_.async_read_some(buffer_.prepare(size),
                            [self = shared_from_this()](beast::error_code error, std::size_t bytes) { self->onReadSome(error, bytes); });
}

void HttpSession::onReadSome(beast::error_code error, std::size_t bytes)
{
    if (phase_ == Phase::Closing) {
        return;
    }
    buffer_.commit(bytes);
    requestBytes_ += bytes;
    if (error == asio::error::eof && parser_->got_some()) {
        error = {};
        parser_->put_eof(error);
        if (!error && !parser_->is_done()) {
            error = http::error::partial_message;
        }
    }
    if (error) {
        onReadError(error);
    } else {
        parse();
    }
}

void HttpSession::parse()
{
    beast::error_code error;
    if (buffer_.size() > 0 && !parser_->is_done()) {
        buffer_.consume(parser_->put(buffer_.data(), error));
    }
    if (error && error != http::error::need_more) {
        onReadError(error);
        return;
    }
    const std::string &body = parser_->get().body();
    if (requestBytes_ > 2 * buffer_.max_size() + maxFramingFactor * body.size()) {
        refuse(http::status::bad_request, Code::BadRequest, "framing");
    } else if (!hold(sizeof(HttpSession) + buffer_.capacity() + body.capacity())) {
        refuse(http::status::service_unavailable, Code::Overloaded, "memory", noRoomRetryAfter);
    } else if (parser_->is_done()) {
        onRequest();
    } else if (expired_) {
        onReadError(asio::error::operation_aborted);
    } else {
        readSome();
    }
}

// Takes bytes from the budget, if needed from larger requests that are incomplete.
bool HttpSession::hold(std::size_t bytes)
{
    bool granted = share_.tryResize(bytes);
    while (!granted && server_->closeLargest(bytes, *this)) {
        granted = share_.tryResize(bytes);
    }
    return granted;
}

void HttpSession::onRequest()
{
    server_->stopWaiting(*this);
    phase_ = Phase::Handling;
    hasCompleted_ = true;
    expired_ = false;
    keepAlive_ = parser_->get().keep_alive();
    version_ = parser_->get().version();
    isHeadRequest_ = parser_->get().method() == http::verb::head;
    HttpRequest request = toRequest(parser_->release(), server_->limits_.extraHeader_);
    if (server_->limits_.detectPeerClose_) {
        onPeerClosed_ = std::make_shared<std::function<void()>>();
        request.onPeerClosed_ = onPeerClosed_;
    }
    handle(std::move(request));
    watchForClose();
}

// Passes the request to the handler. If the handler fails, its request alone is answered with an error.
void HttpSession::handle(HttpRequest &&request)
{
    const auto replied = std::make_shared<bool>(false);
    const auto respond = [self = shared_from_this(), replied](HttpReply reply) {
        if (!std::exchange(*replied, true)) {
            self->send(std::move(reply));
        }
    };
    try {
        server_->handler_(std::move(request), respond);
    } catch (const std::exception &error) {
        if (server_->limits_.onHandlerFailure_) {
            server_->limits_.onHandlerFailure_(error.what());
        }
        respond(jsonReply(static_cast<int>(http::status::gateway_timeout), errorBody(Code::HandlerFailed)));
    }
}

// Detects that the client closes the connection while the request is being handled.
void HttpSession::watchForClose()
{
    if (phase_ != Phase::Handling || !onPeerClosed_ || !*onPeerClosed_) {
        return;
    }
    stream_.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this(), callback = onPeerClosed_](beast::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->onPeerClosed_ != callback) {
            return;
        }
        char byte = 0;
        beast::error_code peekError;
        self->stream_.socket().non_blocking(true, peekError);
        const std::size_t waiting = self->stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
        const bool open = waiting > 0 || peekError == asio::error::would_block;
        if (!open) {
            (*callback)();
        }
    });
}

void HttpSession::onReadError(beast::error_code error)
{
    if (expired_ && parser_->is_header_done()) {
        refuse(http::status::request_timeout, Code::DeadlinePassed, "timeout");
    } else if (expired_) {
        server_->report("timeout");
        close();
    } else if (error == http::error::body_limit) {
        refuse(http::status::payload_too_large, Code::TooLarge, "body");
    } else if (error == http::error::header_limit || (error == http::error::buffer_overflow && !parser_->is_header_done())) {
        refuse(http::status::request_header_fields_too_large, Code::TooLarge, "header");
    } else if (error == http::error::buffer_overflow) {
        refuse(http::status::bad_request, Code::BadRequest, "framing");
    } else if (error != http::error::end_of_stream && error.category() == make_error_code(http::error::bad_method).category()) {
        refuse(http::status::bad_request, Code::BadRequest, "malformed");
    } else {
        close();
    }
}

// Replies with an error to a request that is not passed to the handler, and closes the connection.
void HttpSession::refuse(http::status status, Code code, std::string_view reason, Millis retryAfter)
{
    server_->report(reason);
    keepAlive_ = false;
    refused_ = true;
    parser_.reset();
    HttpReply reply = jsonReply(static_cast<int>(status), errorBody(code));
    reply.retryAfter_ = retryAfter;
    send(std::move(reply));
}

void HttpSession::send(HttpReply reply)
{
    phase_ = Phase::Handling;
    onPeerClosed_.reset();
    reply_ = {static_cast<http::status>(reply.status_), version_};
    reply_.set(http::field::content_type, reply.contentType_);
    if (reply.retryAfter_ > Millis{0}) {
        constexpr std::int64_t millisPerSecond = 1000;
        reply_.set(http::field::retry_after, std::to_string((reply.retryAfter_.count_ + millisPerSecond - 1) / millisPerSecond));
    }
    keepAlive_ = keepAlive_ && !server_->stopping_;
    reply_.keep_alive(keepAlive_);
    if (!isHeadRequest_) {
        reply_.body() = std::move(reply.body_);
    }
    reply_.prepare_payload();
    // The request has been handled, so its reply is written whatever is in use.
    share_.resize(sizeof(HttpSession) + buffer_.capacity() + reply_.body().size());
    server_->startWaiting(*this, HttpWait::Writing);
    stream_.expires_after(toChrono(server_->limits_.idleTimeout_));
    http::async_write(stream_, reply_,
                      [self = shared_from_this()](beast::error_code error, std::size_t /*bytes*/) { self->onWritten(error); });
}

void HttpSession::onWritten(beast::error_code error)
{
    if (phase_ == Phase::Closing) {
        return;
    }
    server_->stopWaiting(*this);
    reply_ = {};
    if (error || !keepAlive_) {
        close();
        return;
    }
    read();
}

void HttpSession::close()
{
    phase_ = Phase::Closing;
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (refused_ && server_->sessions_.size() <= server_->limits_.maxConnections_) {
        server_->startWaiting(*this, HttpWait::Refused);
        stream_.expires_after(maxLinger);
        discardInput();
    }
}

// Discards input until the client closes the connection or the linger time ends.
void HttpSession::discardInput()
{
    buffer_.clear();
    stream_.async_read_some(buffer_.prepare(std::min(discardBufferBytes, buffer_.max_size())),
                            [self = shared_from_this()](beast::error_code error, std::size_t /*bytes*/) {
                                if (!error) {
                                    self->discardInput();
                                }
                            });
}

} // namespace ibiswall
