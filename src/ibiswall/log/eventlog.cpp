// Writes event lines without blocking.

#include <ibiswall/log/eventlog.hpp>

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace ibiswall {

namespace {

// Lines a second of one event: above the jobs a second that one process takes today.
constexpr double linesPerSecond = 200;
constexpr double burst = 200;
// Text that may wait for a reader who is slow.
constexpr std::size_t maxWaiting = 256U << 10U;
constexpr std::int64_t nanosPerMilli = 1000000;
constexpr std::int64_t millisPerSecond = 1000;

struct Rate
{
    double left_ = burst;
    std::int64_t at_ = 0;
    std::int64_t suppressed_ = 0;
};

struct Sink
{
    std::string node_;
    std::string waiting_;
    std::int64_t dropped_ = 0;
    std::unordered_map<std::string, Rate> rates_;
};

Sink &sink()
{
    static Sink instance;
    return instance;
}

std::int64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count() / nanosPerMilli;
}

void appendText(std::string &line, std::string_view text)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned char firstPrintable = 0x20;
    line += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < firstPrintable || byte > '~') {
            line += "\\u00";
            line += digits[byte >> 4U];
            line += digits[byte & 15U];
        } else {
            line += c;
        }
    }
    line += '"';
}

void append(std::string &line, const LogField &field)
{
    line += ',';
    appendText(line, field.name_);
    line += ':';
    if (const auto *number = std::get_if<std::int64_t>(&field.value_)) {
        line += std::to_string(*number);
    } else {
        appendText(line, std::get<std::string_view>(field.value_));
    }
}

// Writes what the reader takes now; the rest waits for the next line.
void flush(Sink &out)
{
    while (!out.waiting_.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, out.waiting_.data(), out.waiting_.size());
        if (written <= 0) {
            return;
        }
        out.waiting_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace

void startEventLog(std::string_view node)
{
    sink().node_ = node;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    Sink &out = sink();
    const std::int64_t now = wallMillis();
    Rate &rate = out.rates_[std::string(event)];
    if (rate.at_ != 0) {
        const auto elapsed = static_cast<double>(now - rate.at_) / millisPerSecond;
        rate.left_ = std::min(burst, rate.left_ + std::max(0.0, elapsed) * linesPerSecond);
    }
    rate.at_ = now;
    if (rate.left_ < 1) {
        ++rate.suppressed_;
        return;
    }
    rate.left_ -= 1;
    std::string line = "{\"at\":" + std::to_string(now) + ",\"node\":";
    appendText(line, out.node_);
    line += ",\"event\":";
    appendText(line, event);
    for (const LogField &field : fields) {
        append(line, field);
    }
    if (rate.suppressed_ > 0) {
        append(line, {"left_out", std::exchange(rate.suppressed_, 0)});
    }
    if (out.dropped_ > 0) {
        append(line, {"dropped", std::exchange(out.dropped_, 0)});
    }
    line += "}\n";
    if (out.waiting_.size() + line.size() > maxWaiting) {
        ++out.dropped_;
    } else {
        out.waiting_ += line;
    }
    flush(out);
}

} // namespace ibiswall
