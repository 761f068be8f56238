// A bounded ring that carries values from one thread to another and wakes the receiver.

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <optional>

namespace ibiswall {

/// A ring with one sending thread; values are handled on the receiver's event loop, in order.
template<typename T>
class Channel
{
public:
    /// @param receiver event loop of the receiving thread
    /// @param capacity most values that wait at a time
    /// @param handle called on the receiving thread for each value
    /// @param handled called after the values that were waiting together, unless empty
    Channel(boost::asio::io_context &receiver, std::size_t capacity, std::function<void(T &&)> handle, std::function<void()> handled = {})
        : receiver_(receiver)
        , ring_(capacity)
        , handle_(std::move(handle))
        , handled_(std::move(handled))
    {
    }

    /// Sends a value. Only one thread may call this.
    /// @return false when the ring is full
    bool push(T value)
    {
        if (!ring_.push(std::move(value))) {
            return false;
        }
        if (!scheduled_.exchange(true)) {
            boost::asio::post(receiver_, [this] { drain(); });
        }
        return true;
    }

private:
    // Frees the place of each value before handling it, for handling may make the sender send more.
    void drain()
    {
        scheduled_.store(false);
        for (std::size_t left = ring_.read_available(); left > 0; --left) {
            std::optional<T> value;
            ring_.consume_one([&value](T &taken) { value.emplace(std::move(taken)); });
            handle_(std::move(*value));
        }
        if (handled_) {
            handled_();
        }
    }

    boost::asio::io_context &receiver_;
    boost::lockfree::spsc_queue<T> ring_;
    std::function<void(T &&)> handle_;
    std::function<void()> handled_;
    /// True while a drain is posted that has not begun.
    std::atomic<bool> scheduled_{false};
};

} // namespace ibiswall
