// Formatting, parsing and validation of job ids.

#include <ibiswall/core/jobid.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace ibiswall {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr int hexBase = 16;

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, hexBase).ptr;
    return {buffer.data(), end};
}

bool consumeField(std::string_view &text, std::string_view &field)
{
    if (text.empty()) {
        return false;
    }
    const auto dot = text.find('.');
    field = text.substr(0, dot);
    text = dot == std::string_view::npos ? std::string_view() : text.substr(dot + 1);
    return !field.empty();
}

bool consumeNumber(std::string_view &text, std::uint64_t &number)
{
    std::string_view field;
    if (!consumeField(text, field)) {
        return false;
    }
    const auto end = field.data() + field.size();
    const auto parsed = std::from_chars(field.data(), end, number, hexBase);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

} // namespace

bool operator==(const Incarnation &a, const Incarnation &b)
{
    return a.number_ == b.number_ && a.name_ == b.name_;
}

bool operator!=(const Incarnation &a, const Incarnation &b)
{
    return !(a == b);
}

std::uint64_t makeIncarnationNumber(Millis wallNow, std::uint64_t randomBits)
{
    constexpr unsigned randomBitCount = 12;
    const std::uint64_t mask = (1U << randomBitCount) - 1;
    return (static_cast<std::uint64_t>(wallNow.count_) << randomBitCount) | (randomBits & mask);
}

std::string format(const JobId &id)
{
    return id.owner_.name_ + '.' + toHex(id.owner_.number_) + '.' + toHex(static_cast<std::uint64_t>(id.issued_.count_)) + '.'
        + toHex(id.serial_) + '.' + toHex(id.secret_);
}

Result<JobId> parseJobId(std::string_view text)
{
    const std::string_view fullText = text;
    JobId id;
    std::string_view name;
    std::uint64_t issued = 0;
    const bool ok = consumeField(text, name) && isName(name) && consumeNumber(text, id.owner_.number_) && consumeNumber(text, issued)
        && consumeNumber(text, id.serial_) && consumeNumber(text, id.secret_) && text.empty();
    if (!ok) {
        return Error{Code::UnknownJob, "\"" + std::string(fullText) + "\" is not a job id"};
    }
    id.owner_.name_ = std::string(name);
    id.issued_ = {static_cast<std::int64_t>(issued)};
    return id;
}

bool isExpired(const JobId &id, Millis wallNow, Millis lifetime)
{
    return wallNow > id.issued_ + lifetime;
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

} // namespace ibiswall
