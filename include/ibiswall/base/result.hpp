// Return type of functions that can fail.

#pragma once

#include <boost/outcome.hpp>
#include <ibiswall/base/code.hpp>
#include <string>

namespace ibiswall {

/// An error: its code and a message.
struct Error
{
    Code code_ = Code::Ok;
    /// Names what is wrong and where.
    std::string text_;
};

/// A value or an error.
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

} // namespace ibiswall
