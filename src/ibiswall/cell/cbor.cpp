// Checks the structure and the decoded size of CBOR without recursion, so that the decoder, which calls itself for each level and takes
// up to 80 bytes for one byte of input, can be called safely.

#include <ibiswall/cell/cbor.hpp>

#include <optional>
#include <stdexcept>
#include <vector>

namespace ibiswall::cell {

namespace {

using Json = nlohmann::json;

// Frames and records of the cell have fewer than 10 levels.
constexpr std::size_t maxDepth = 32;
// More than the record of the largest request or a list of all peers takes.
constexpr std::size_t maxDecodedBytes = 32U << 20U;
// Memory of a value in a list that has doubled its capacity, and what strings, lists and entries of maps take beside it.
constexpr std::size_t valueBytes = 2 * sizeof(Json);
constexpr std::size_t blockBytes = 48;

// Major types of CBOR (RFC 8949).
enum MajorType : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Other };

// A container that is not complete yet.
struct Container
{
    // Items that are left; unused if it ends with a break.
    std::uint64_t left_ = 0;
    bool indefinite_ = false;
};

// Passes over one value.
class Scanner
{
public:
    explicit Scanner(std::string_view bytes)
        : bytes_(bytes)
    {
    }

    // Returns what is wrong, or an empty string.
    const char *scan()
    {
        do {
            if (const char *error = scanItem(); error[0] != '\0') {
                return error;
            }
            while (!open_.empty() && !open_.back().indefinite_ && open_.back().left_ == 0) {
                open_.pop_back();
            }
        } while (!open_.empty());
        return at_ == bytes_.size() ? "" : "bytes after the value";
    }

private:
    static constexpr std::uint8_t indefinite = 31;
    static constexpr std::uint8_t breakByte = 0xff;
    static constexpr const char *tooLarge = "too large when decoded";

    const char *scanItem()
    {
        if (at_ == bytes_.size()) {
            return "unexpected end";
        }
        const auto head = static_cast<std::uint8_t>(bytes_[at_++]);
        if (head == breakByte) {
            if (open_.empty() || !open_.back().indefinite_) {
                return "unexpected break";
            }
            open_.pop_back();
            return "";
        }
        if (!open_.empty() && !open_.back().indefinite_) {
            --open_.back().left_;
        }
        const auto type = static_cast<MajorType>(head >> 5U);
        const std::uint8_t info = head & 31U;
        if (info == indefinite) {
            // The decoder calls itself for each chunk of a string of indefinite length, and such strings are not used here.
            if (type != Array && type != Map) {
                return "string of indefinite length";
            }
            return count(valueBytes + blockBytes) ? open({0, true}) : tooLarge;
        }
        const std::optional<std::uint64_t> argument = readArgument(info);
        if (!argument) {
            return "unexpected end";
        }
        const bool hasBlock = type == Bytes || type == Text || type == Array || type == Map;
        if (!count(valueBytes + (hasBlock ? blockBytes : 0))) {
            return tooLarge;
        }
        switch (type) {
        case Bytes:
        case Text:
            return skip(*argument);
        case Array:
            return open({*argument, false});
        case Map:
            return *argument > bytes_.size() ? "unexpected end" : open({*argument * 2, false});
        default:
            return "";
        }
    }

    // Whether the values so far are within the limit. Bytes of strings are not counted, as they take no more than in the input.
    bool count(std::size_t bytes)
    {
        decodedBytes_ += bytes;
        return decodedBytes_ <= maxDecodedBytes;
    }

    const char *open(Container container)
    {
        if (open_.size() == maxDepth) {
            return "nested too deeply";
        }
        open_.push_back(container);
        return "";
    }

    const char *skip(std::uint64_t length)
    {
        if (length > bytes_.size() - at_) {
            return "unexpected end";
        }
        at_ += length;
        return "";
    }

    // Reads the number that belongs to the head of an item.
    std::optional<std::uint64_t> readArgument(std::uint8_t info)
    {
        constexpr std::uint8_t oneByte = 24;
        if (info < oneByte) {
            return info;
        }
        const std::size_t size = std::size_t{1} << (info - oneByte);
        constexpr std::size_t largest = 8;
        if (size > largest || size > bytes_.size() - at_) {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i) {
            value = value << 8U | static_cast<std::uint8_t>(bytes_[at_++]);
        }
        return value;
    }

    std::string_view bytes_;
    std::size_t at_ = 0;
    /// Estimate of the memory of the values so far, without the bytes of strings.
    std::size_t decodedBytes_ = 0;
    std::vector<Container> open_;
};

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    if (const char *error = Scanner(bytes).scan(); error[0] != '\0') {
        throw std::out_of_range(error);
    }
    try {
        return Json::from_cbor(bytes);
    } catch (const Json::exception &error) {
        throw std::out_of_range(error.what());
    }
}

} // namespace ibiswall::cell
