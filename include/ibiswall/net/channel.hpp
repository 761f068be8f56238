// Bounded single-producer queue that passes values to the event loop of another thread.

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <optional>

namespace ibiswall {

/// A bounded queue with one sending thread. Values are handled in order on the receiver's event loop.
template<typename T>
class Channel
{
public:
    /// @param receiver event loop of the receiving thread
    /// @param capacity maximum number of waiting values
    /// @param onValue called on the receiving thread for each value
    /// @param onBatchEnd called after each batch of values that waited together; may be empty
    Channel(boost::asio::io_context &receiver,
            std::size_t capacity,
            std::function<void(T &&)> onValue,
            std::function<void()> onBatchEnd = {})
        : receiver_(receiver)
        , queue_(capacity)
        , onValue_(std::move(onValue))
        , onBatchEnd_(std::move(onBatchEnd))
    {
    }

    /// Sends a value. Only one thread may call this.
    /// @return false if the queue is full
    bool push(T value)
    {
        if (!queue_.push(std::move(value))) {
            return false;
        }
        if (!drainScheduled_.exchange(true)) {
            boost::asio::post(receiver_, [this] { drain(); });
        }
        return true;
    }

private:
    // Removes each value from the queue before handling it, because the handler may cause the sender to push more.
    void drain()
    {
        drainScheduled_.store(false);
        for (std::size_t remaining = queue_.read_available(); remaining > 0; --remaining) {
            std::optional<T> value;
            queue_.consume_one([&value](T &front) { value.emplace(std::move(front)); });
            onValue_(std::move(*value));
        }
        if (onBatchEnd_) {
            onBatchEnd_();
        }
    }

    boost::asio::io_context &receiver_;
    boost::lockfree::spsc_queue<T> queue_;
    std::function<void(T &&)> onValue_;
    std::function<void()> onBatchEnd_;
    /// True while a drain is posted and has not started.
    std::atomic<bool> drainScheduled_{false};
};

} // namespace ibiswall
