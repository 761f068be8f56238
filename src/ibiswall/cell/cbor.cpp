// Builds a JSON value from the events of the CBOR decoder, and stops it at a bounded depth.

#include <ibiswall/cell/cbor.hpp>

#include <stdexcept>

namespace ibiswall::cell {

namespace {

using Json = nlohmann::json;

// Frames and records of the cell have fewer than 10 levels.
constexpr std::size_t maxDepth = 32;

class Builder : public nlohmann::json_sax<Json>
{
public:
    Json takeRoot()
    {
        return std::move(root_);
    }

    const std::string &error() const
    {
        return error_;
    }

    bool null() override
    {
        return add(nullptr) != nullptr;
    }

    bool boolean(bool value) override
    {
        return add(value) != nullptr;
    }

    bool number_integer(number_integer_t value) override
    {
        return add(value) != nullptr;
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value) != nullptr;
    }

    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return add(value) != nullptr;
    }

    bool string(string_t &value) override
    {
        return add(std::move(value)) != nullptr;
    }

    bool binary(binary_t &value) override
    {
        return add(std::move(value)) != nullptr;
    }

    bool start_object(std::size_t /*elements*/) override
    {
        return open(Json::object());
    }

    bool key(string_t &value) override
    {
        key_ = std::move(value);
        return true;
    }

    bool end_object() override
    {
        open_.pop_back();
        return true;
    }

    bool start_array(std::size_t /*elements*/) override
    {
        return open(Json::array());
    }

    bool end_array() override
    {
        open_.pop_back();
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception &error) override
    {
        error_ = error.what();
        return false;
    }

private:
    Json *add(Json value)
    {
        if (open_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        Json &parent = *open_.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        return &(parent[key_] = std::move(value));
    }

    bool open(Json container)
    {
        if (open_.size() == maxDepth) {
            error_ = "nested more than " + std::to_string(maxDepth) + " levels deep";
            return false;
        }
        open_.push_back(add(std::move(container)));
        return true;
    }

    Json root_;
    /// Containers that are not complete yet, outermost first. Only the last one grows, so the pointers stay valid.
    std::vector<Json *> open_;
    /// Key of the next value in the innermost object.
    std::string key_;
    std::string error_;
};

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    Builder builder;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor)) {
        throw std::out_of_range(builder.error());
    }
    return builder.takeRoot();
}

} // namespace ibiswall::cell
