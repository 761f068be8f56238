// Accounts for the memory of a link's frames, by means of a message type for websocketpp: frames that are being received, which the library
// does not show until they are complete, and frames that are not sent yet.

#pragma once

#include <functional>
#include <ibiswall/base/budget.hpp>
#include <memory>
#include <utility>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>

namespace ibiswall {

/// Bytes of the frames of one link.
class LinkBuffers
{
public:
    /// Takes the bytes from a budget from now on, even beyond its limit.
    /// @param exceeded called when they have grown and the budget is exceeded; may be empty
    void attach(const std::shared_ptr<Budget> &budget, std::function<void()> exceeded)
    {
        budget_ = budget;
        exceeded_ = std::move(exceeded);
        share_ = BudgetShare(budget);
        share_.resize(bytes_);
    }

    /// Returns the bytes to the budget, of a link whose socket is closed and whose frames are about to be destroyed.
    void detach()
    {
        share_ = {};
        budget_.reset();
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

    /// Replaces the size of one message by another one.
    void change(std::size_t from, std::size_t to)
    {
        bytes_ = bytes_ - from + to;
        share_.resize(bytes_);
        if (to > from && budget_ && budget_->used() > budget_->limit() && exceeded_) {
            exceeded_();
        }
    }

private:
    std::shared_ptr<Budget> budget_;
    BudgetShare share_;
    std::function<void()> exceeded_;
    /// Sum over the messages of the link.
    std::size_t bytes_ = 0;
};

/// A message whose payload is counted. websocketpp calls the functions with its names on this type, so they need not be virtual.
class LinkMessage : public websocketpp::message_buffer::message<websocketpp::message_buffer::alloc::con_msg_manager>
{
    using Base = websocketpp::message_buffer::message<websocketpp::message_buffer::alloc::con_msg_manager>;

public:
    using ptr = std::shared_ptr<LinkMessage>; // NOLINT(readability-identifier-naming)

    explicit LinkMessage(std::shared_ptr<LinkBuffers> buffers)
        : Base(con_msg_man_ptr())
        , buffers_(std::move(buffers))
    {
    }

    /// @param size bytes of the payload to make room for
    LinkMessage(std::shared_ptr<LinkBuffers> buffers, websocketpp::frame::opcode::value opcode, std::size_t size)
        : Base(con_msg_man_ptr(), opcode, size)
        , buffers_(std::move(buffers))
    {
        count();
    }

    ~LinkMessage()
    {
        buffers_->change(counted_, 0);
    }

    LinkMessage(const LinkMessage &) = delete;
    LinkMessage &operator=(const LinkMessage &) = delete;

    /// Called before bytes are appended and after room was made for those of another fragment.
    std::string &get_raw_payload() // NOLINT(readability-identifier-naming)
    {
        count();
        return Base::get_raw_payload();
    }

    /// Called when the payload of a message to be sent is complete.
    void set_prepared(bool value) // NOLINT(readability-identifier-naming)
    {
        Base::set_prepared(value);
        count();
    }

    const std::shared_ptr<LinkBuffers> &buffers() const
    {
        return buffers_;
    }

private:
    void count()
    {
        const std::size_t bytes = Base::get_raw_payload().capacity();
        buffers_->change(std::exchange(counted_, bytes), bytes);
    }

    std::shared_ptr<LinkBuffers> buffers_;
    /// Bytes that are contained in buffers_.
    std::size_t counted_ = 0;
};

/// Creates the messages of one connection.
class LinkMessages
{
public:
    using ptr = std::shared_ptr<LinkMessages>; // NOLINT(readability-identifier-naming)
    using weak_ptr = std::weak_ptr<LinkMessages>; // NOLINT(readability-identifier-naming)
    using message_ptr = LinkMessage::ptr; // NOLINT(readability-identifier-naming)

    message_ptr get_message() // NOLINT(readability-identifier-naming)
    {
        return std::make_shared<LinkMessage>(buffers_);
    }

    message_ptr get_message(websocketpp::frame::opcode::value opcode, std::size_t size) // NOLINT(readability-identifier-naming)
    {
        return std::make_shared<LinkMessage>(buffers_, opcode, size);
    }

private:
    std::shared_ptr<LinkBuffers> buffers_ = std::make_shared<LinkBuffers>();
};

/// Bytes of the frames of a connection of a LinkConfig.
template<typename Connection>
std::shared_ptr<LinkBuffers> buffersOf(Connection &connection)
{
    return connection.get_message(websocketpp::frame::opcode::binary, 0)->buffers();
}

/// A configuration of websocketpp with these messages.
template<typename Base>
struct LinkConfig : Base
{
    using message_type = LinkMessage; // NOLINT(readability-identifier-naming)
    using con_msg_manager_type = LinkMessages; // NOLINT(readability-identifier-naming)
    using endpoint_msg_manager_type // NOLINT(readability-identifier-naming)
        = websocketpp::message_buffer::alloc::endpoint_msg_manager<LinkMessages>;
};

} // namespace ibiswall
