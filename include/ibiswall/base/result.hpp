// A value or a numbered error.

#pragma once

#include <boost/outcome.hpp>
#include <ibiswall/base/code.hpp>
#include <string>

namespace ibiswall {

/// What went wrong: the number, and a text that names the thing and its place.
struct Error
{
    Code code_ = Code::Ok;
    std::string text_;
};

/// A value, or the error that stands in its place.
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

} // namespace ibiswall
