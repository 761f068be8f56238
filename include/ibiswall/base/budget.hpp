// Accounting of the bytes that a process holds for its clients, with a limit.

#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace ibiswall {

/// Counts bytes in use against a limit. Not thread-safe.
class Budget
{
public:
    /// @param limit bytes
    explicit Budget(std::size_t limit)
        : limit_(limit)
    {
    }

    std::size_t used() const
    {
        return used_;
    }

    std::size_t limit() const
    {
        return limit_;
    }

    /// Whether this many more bytes are within the limit.
    bool hasRoomFor(std::size_t bytes) const
    {
        return used_ <= limit_ && bytes <= limit_ - used_;
    }

private:
    friend class BudgetShare;

    std::size_t limit_;
    /// Sum of the shares; above the limit only through BudgetShare::resize.
    std::size_t used_ = 0;
};

/// Bytes taken from a budget, returned on destruction. Without a budget every size is granted.
class BudgetShare
{
public:
    BudgetShare() = default;

    explicit BudgetShare(std::shared_ptr<Budget> budget)
        : budget_(std::move(budget))
    {
    }

    ~BudgetShare()
    {
        resize(0);
    }

    BudgetShare(BudgetShare &&other) noexcept
        : budget_(std::move(other.budget_))
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }

    BudgetShare &operator=(BudgetShare &&other) noexcept
    {
        if (this != &other) {
            resize(0);
            budget_ = std::move(other.budget_);
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }

    BudgetShare(const BudgetShare &) = delete;
    BudgetShare &operator=(const BudgetShare &) = delete;

    std::size_t bytes() const
    {
        return bytes_;
    }

    /// Changes the size unless that exceeds the limit of the budget.
    /// @return whether the size has been changed
    bool tryResize(std::size_t bytes)
    {
        if (budget_ && bytes > bytes_ && !budget_->hasRoomFor(bytes - bytes_)) {
            return false;
        }
        resize(bytes);
        return true;
    }

    /// Changes the size even beyond the limit, for what cannot be refused any more.
    void resize(std::size_t bytes)
    {
        if (budget_) {
            budget_->used_ = budget_->used_ - bytes_ + bytes;
        }
        bytes_ = bytes;
    }

private:
    std::shared_ptr<Budget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace ibiswall
