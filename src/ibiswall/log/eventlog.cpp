// Event log with a rate limit per event and non-blocking writes.

#include <ibiswall/log/eventlog.hpp>

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace ibiswall {

namespace {

// Limit per event in lines per second, above the number of jobs per second that one process accepts.
constexpr double linesPerSecond = 200;
constexpr double burstLines = 200;
// Limit of the text that is buffered for a slow reader.
constexpr std::size_t maxPendingBytes = 256U << 10U;
constexpr std::int64_t nanosPerMilli = 1000000;
constexpr std::int64_t millisPerSecond = 1000;

struct TokenBucket
{
    double tokens_ = burstLines;
    std::int64_t updatedAt_ = 0;
    std::int64_t suppressed_ = 0;
};

struct EventSink
{
    std::string node_;
    std::string pending_;
    std::int64_t dropped_ = 0;
    std::unordered_map<std::string, TokenBucket> buckets_;
};

EventSink &eventSink()
{
    static EventSink instance;
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

// Writes as much as possible without blocking; the rest is written with a later line.
void flush(EventSink &out)
{
    while (!out.pending_.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, out.pending_.data(), out.pending_.size());
        if (written <= 0) {
            return;
        }
        out.pending_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace

void startEventLog(std::string_view node)
{
    eventSink().node_ = node;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    EventSink &out = eventSink();
    const std::int64_t now = wallMillis();
    TokenBucket &bucket = out.buckets_[std::string(event)];
    if (bucket.updatedAt_ != 0) {
        const auto elapsed = static_cast<double>(now - bucket.updatedAt_) / millisPerSecond;
        bucket.tokens_ = std::min(burstLines, bucket.tokens_ + std::max(0.0, elapsed) * linesPerSecond);
    }
    bucket.updatedAt_ = now;
    if (bucket.tokens_ < 1) {
        ++bucket.suppressed_;
        return;
    }
    bucket.tokens_ -= 1;
    std::string line = "{\"at\":" + std::to_string(now) + ",\"node\":";
    appendText(line, out.node_);
    line += ",\"event\":";
    appendText(line, event);
    for (const LogField &field : fields) {
        append(line, field);
    }
    if (bucket.suppressed_ > 0) {
        append(line, {"left_out", std::exchange(bucket.suppressed_, 0)});
    }
    if (out.dropped_ > 0) {
        append(line, {"dropped", std::exchange(out.dropped_, 0)});
    }
    line += "}\n";
    if (out.pending_.size() + line.size() > maxPendingBytes) {
        ++out.dropped_;
    } else {
        out.pending_ += line;
    }
    flush(out);
}

} // namespace ibiswall
