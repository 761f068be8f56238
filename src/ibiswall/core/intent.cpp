// Names of operations.

#include <ibiswall/core/intent.hpp>

#include <array>

namespace ibiswall {

namespace {

constexpr std::array<std::string_view, 6> opNames = {"domain-out", "domain-in", "target-out", "target-in", "set-kind", "set-member"};

} // namespace

std::string_view opName(IntentOp op)
{
    return opNames.at(static_cast<std::size_t>(op));
}

Result<IntentOp> parseOp(std::string_view text)
{
    for (std::size_t i = 0; i < opNames.size(); ++i) {
        if (opNames.at(i) == text) {
            return static_cast<IntentOp>(i);
        }
    }
    return Error{Code::BadIntent, "unknown operation \"" + std::string(text) + "\""};
}

std::string describe(const Intent &intent)
{
    return std::string(opName(intent.op_)) + ' ' + intent.name_;
}

} // namespace ibiswall
