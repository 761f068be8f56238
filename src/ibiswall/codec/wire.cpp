// Encodes messages as CBOR: an array of the message's tag and an array of its fields in order.

#include <ibiswall/codec/wire.hpp>

#include <ibiswall/codec/changes.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

enum class ItemType : std::uint8_t {
    Number,
    Flag,
    Text,
    Array,
};

// One item of a frame. The items of an array follow the array itself.
struct Item
{
    ItemType type_ = ItemType::Number;
    /// Value of a number or flag, or the number of items of an array.
    std::uint64_t number_ = 0;
    std::string text_;
};

// Receives the parser's events and stores them as a flat list instead of a tree. Parsing stops at an event that
// occurs in no message and at an array nested deeper than in any message.
class FrameParser : public nlohmann::json_sax<Json>
{
public:
    bool null() override
    {
        return false;
    }

    bool boolean(bool value) override
    {
        items_.push_back({ItemType::Flag, value ? 1U : 0U, {}});
        return true;
    }

    bool number_integer(std::int64_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }

    bool number_unsigned(std::uint64_t value) override // NOLINT(readability-identifier-naming)
    {
        items_.push_back({ItemType::Number, value, {}});
        return true;
    }

    bool number_float(double /*value*/, const std::string & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }

    bool string(std::string &value) override
    {
        items_.push_back({ItemType::Text, 0, std::move(value)});
        value.clear();
        return true;
    }

    bool binary(Json::binary_t & /*value*/) override
    {
        return false;
    }

    bool start_object(std::size_t /*size*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }

    bool key(std::string & /*name*/) override
    {
        return false;
    }

    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        return false;
    }

    bool start_array(std::size_t size) override // NOLINT(readability-identifier-naming)
    {
        constexpr std::size_t unknownSize = ~std::size_t{0};
        constexpr int maxDepth = 4;
        items_.push_back({ItemType::Array, size, {}});
        return ++depth_ <= maxDepth && size != unknownSize;
    }

    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        --depth_;
        return true;
    }

    bool parse_error(std::size_t position, // NOLINT(readability-identifier-naming)
                     const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        position_ = position;
        return false;
    }

    std::vector<Item> items_;
    /// Byte position at which parsing failed.
    std::size_t position_ = 0;

private:
    int depth_ = 0;
};

// Reads the items of one array in order. Throws std::invalid_argument for a wrong type and a missing or surplus item.
class ArrayReader
{
public:
    /// @param cursor points at the array itself and is advanced past each item that is read
    explicit ArrayReader(Item *&cursor)
        : cursor_(cursor)
    {
        if (cursor->type_ != ItemType::Array) {
            throw std::invalid_argument("not an array");
        }
        remaining_ = cursor++->number_;
    }

    std::uint64_t number()
    {
        return next(ItemType::Number, "not an unsigned number").number_;
    }

    int boundedInt()
    {
        constexpr std::uint64_t maximum = 1000000;
        const std::uint64_t value = number();
        if (value > maximum) {
            throw std::invalid_argument("number too large");
        }
        return static_cast<int>(value);
    }

    Millis millis()
    {
        constexpr std::uint64_t maximum = std::uint64_t{1} << 52U;
        const std::uint64_t value = number();
        if (value > maximum) {
            throw std::invalid_argument("time too large");
        }
        return {static_cast<std::int64_t>(value)};
    }

    std::string text()
    {
        return std::move(next(ItemType::Text, "not a text").text_);
    }

    bool flag()
    {
        return next(ItemType::Flag, "not a flag").number_ != 0;
    }

    ArrayReader array()
    {
        consumeItem();
        return ArrayReader(cursor_);
    }

    bool atEnd() const
    {
        return remaining_ == 0;
    }

    void finish() const
    {
        if (!atEnd()) {
            throw std::invalid_argument("surplus items");
        }
    }

private:
    void consumeItem()
    {
        if (remaining_ == 0) {
            throw std::invalid_argument("item missing");
        }
        --remaining_;
    }

    Item &next(ItemType type, const char *mismatch)
    {
        consumeItem();
        if (cursor_->type_ != type) {
            throw std::invalid_argument(mismatch);
        }
        return *cursor_++;
    }

    Item *&cursor_;
    /// Number of unread items of this array. The frame was parsed completely, so that at least as many follow the cursor.
    std::uint64_t remaining_ = 0;
};

std::uint64_t nonNegative(Millis time)
{
    return time.count_ > 0 ? static_cast<std::uint64_t>(time.count_) : 0;
}

Json write(const AgentHello &m)
{
    const AgentInfo &info = m.info_;
    return {m.protocol_,         info.agent_.name_,   info.agent_.number_, info.place_.target_,
            info.place_.worker_, info.place_.domain_, info.slots_,         info.credits_};
}

Json write(const LeaseRenewal &m)
{
    return {m.number_, m.version_};
}

Json write(const TaskReports &m)
{
    Json out = Json::array();
    for (const TaskReport &report : m.reports_) {
        const TaskOutcome &outcome = report.outcome_;
        out.push_back({report.key_.job_, report.key_.task_, static_cast<unsigned>(outcome.state_), static_cast<unsigned>(outcome.code_),
                       outcome.answer_, report.attempt_});
    }
    return out;
}

Json write(const AgentDraining & /*unused*/)
{
    return Json::array();
}

Json write(const Orders &m)
{
    Json out = Json::array();
    for (const Order &order : m.orders_) {
        out.push_back({order.key_.job_, order.key_.task_, order.kind_, order.payload_, nonNegative(order.startWithin_), order.attempt_});
    }
    return out;
}

Json write(const LeaseGrant &m)
{
    return {m.renewal_, m.version_, m.out_, nonNegative(m.duration_)};
}

Json write(const PeerHello &m)
{
    return {m.protocol_, m.entry_.name_, m.entry_.number_};
}

Json write(const RelayRequest &m)
{
    return {m.relayId_, static_cast<unsigned>(m.op_), m.id_, m.member_, m.body_};
}

Json write(const RelayReply &m)
{
    return {m.relayId_, static_cast<unsigned>(m.status_), m.body_};
}

Json write(const PeerStatusRequest &m)
{
    return {m.number_, m.version_};
}

Json write(const PeerStatusReply &m)
{
    return {m.number_, m.version_, m.caughtUp_};
}

Json write(const PeerChanges &m)
{
    Json out = Json::array();
    for (const Change &change : m.changes_) {
        out.push_back(formatChange(change));
    }
    return out;
}

TaskState readFinalState(ArrayReader &in)
{
    const int number = in.boundedInt();
    if (number < static_cast<int>(TaskState::Done) || number > static_cast<int>(TaskState::MayHaveRun)) {
        throw std::invalid_argument("not a final task state");
    }
    return static_cast<TaskState>(number);
}

TaskKey readKey(ArrayReader &in)
{
    std::string job = in.text();
    return {std::move(job), static_cast<std::uint32_t>(in.boundedInt())};
}

void read(ArrayReader &in, AgentHello &m)
{
    m.protocol_ = in.number();
    m.info_.agent_.name_ = in.text();
    m.info_.agent_.number_ = in.number();
    m.info_.place_.target_ = in.text();
    m.info_.place_.worker_ = in.text();
    m.info_.place_.domain_ = in.text();
    m.info_.slots_ = in.boundedInt();
    m.info_.credits_ = in.boundedInt();
    if (m.info_.slots_ < 1 || !isName(m.info_.place_.target_) || !isName(m.info_.place_.domain_)) {
        throw std::invalid_argument("agent announces no slots or a bad name");
    }
}

void read(ArrayReader &in, LeaseRenewal &m)
{
    m.number_ = in.number();
    m.version_ = in.number();
}

void read(ArrayReader &in, TaskReports &m)
{
    while (!in.atEnd()) {
        ArrayReader item = in.array();
        TaskReport report;
        report.key_ = readKey(item);
        report.outcome_.state_ = readFinalState(item);
        report.outcome_.code_ = static_cast<Code>(item.boundedInt());
        report.outcome_.answer_ = item.text();
        report.attempt_ = static_cast<std::uint32_t>(item.boundedInt());
        item.finish();
        m.reports_.push_back(std::move(report));
    }
}

void read(ArrayReader & /*unused*/, AgentDraining & /*unused*/)
{
}

void read(ArrayReader &in, Orders &m)
{
    while (!in.atEnd()) {
        ArrayReader item = in.array();
        Order order;
        order.key_ = readKey(item);
        order.kind_ = item.text();
        order.payload_ = item.text();
        order.startWithin_ = item.millis();
        order.attempt_ = static_cast<std::uint32_t>(item.boundedInt());
        item.finish();
        m.orders_.push_back(std::move(order));
    }
}

void read(ArrayReader &in, LeaseGrant &m)
{
    m.renewal_ = in.number();
    m.version_ = in.number();
    m.out_ = in.flag();
    m.duration_ = in.millis();
}

void read(ArrayReader &in, PeerHello &m)
{
    m.protocol_ = in.number();
    m.entry_.name_ = in.text();
    m.entry_.number_ = in.number();
}

void read(ArrayReader &in, RelayRequest &m)
{
    m.relayId_ = in.number();
    const int op = in.boundedInt();
    if (op > static_cast<int>(RelayOp::Cancel)) {
        throw std::invalid_argument("unknown relay operation");
    }
    m.op_ = static_cast<RelayOp>(op);
    m.id_ = in.text();
    m.member_ = in.text();
    m.body_ = in.text();
}

void read(ArrayReader &in, RelayReply &m)
{
    m.relayId_ = in.number();
    m.status_ = in.boundedInt();
    m.body_ = in.text();
}

void read(ArrayReader &in, PeerStatusRequest &m)
{
    m.number_ = in.number();
    m.version_ = in.number();
}

void read(ArrayReader &in, PeerStatusReply &m)
{
    m.number_ = in.number();
    m.version_ = in.number();
    m.caughtUp_ = in.flag();
}

void read(ArrayReader &in, PeerChanges &m)
{
    while (!in.atEnd()) {
        auto change = parseChange(in.text());
        if (change.has_error()) {
            throw std::invalid_argument(change.error().text_);
        }
        m.changes_.push_back(std::move(change).value());
    }
}

template<typename T>
Message readAs(ArrayReader &in)
{
    T message;
    read(in, message);
    in.finish();
    return message;
}

template<std::size_t... Index>
Message readTagged(std::size_t tag, ArrayReader &in, std::index_sequence<Index...> /*unused*/)
{
    using ReadFunction = Message (*)(ArrayReader &);
    constexpr std::array<ReadFunction, sizeof...(Index)> readers = {&readAs<std::variant_alternative_t<Index, Message>>...};
    return readers.at(tag)(in);
}

} // namespace

std::string encode(const Message &message)
{
    Json frame = Json::array({message.index()});
    std::visit([&frame](const auto &m) { frame.push_back(write(m)); }, message);
    std::string out;
    Json::to_cbor(frame, out);
    return out;
}

Result<Message> decode(std::string_view frame)
{
    FrameParser parser;
    if (!Json::sax_parse(frame.begin(), frame.end(), &parser, Json::input_format_t::cbor)) {
        return Error{Code::BadFrame,
                     "frame of " + std::to_string(frame.size()) + " bytes: not a message, error near byte "
                         + std::to_string(parser.position_)};
    }
    try {
        Item *cursor = parser.items_.data();
        ArrayReader outer(cursor);
        const std::uint64_t tag = outer.number();
        ArrayReader fields = outer.array();
        Message message = readTagged(tag, fields, std::make_index_sequence<std::variant_size_v<Message>>());
        outer.finish();
        return message;
    } catch (const std::exception &error) {
        return Error{Code::BadFrame, "frame of " + std::to_string(frame.size()) + " bytes: " + error.what()};
    }
}

} // namespace ibiswall
