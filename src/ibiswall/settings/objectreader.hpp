// Reads typed values out of a JSON object and gathers every problem.

#pragma once

#include <ibiswall/settings.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace ibiswall {

/// Reads the keys of one JSON object. Problems are added to a list shared by a whole file.
class ObjectReader
{
public:
    /// @param place prefix that names the object in problems, such as "peers[0]."
    ObjectReader(const nlohmann::json &object, std::string place, std::vector<std::string> &problems);

    /// Reads a required string.
    std::string text(const char *key);

    /// Reads a required name.
    std::string name(const char *key);

    /// Reads a required `IP:PORT`.
    Address address(const char *key);

    /// Reads a whole number, or the fallback when the key is absent.
    std::int64_t number(const char *key, std::int64_t least, std::int64_t most, std::int64_t fallback);

    /// Reads a number that need not be whole, or the fallback when the key is absent.
    double fraction(const char *key, double least, double most, double fallback);

    /// Reads a required whole number.
    std::int64_t requiredNumber(const char *key, std::int64_t least, std::int64_t most);

    /// Reads one of several words, or the fallback when the key is absent.
    std::string word(const char *key, std::initializer_list<const char *> words, const char *fallback);

    /// Reads an array of objects; the function reads each.
    template<typename T, typename Read>
    std::vector<T> objects(const char *key, bool required, Read read)
    {
        std::vector<T> out;
        const nlohmann::json *array = find(key, required);
        if (array == nullptr || !isArray(key, *array)) {
            return out;
        }
        for (std::size_t i = 0; i < array->size(); ++i) {
            const std::string inner = place_ + key + '[' + std::to_string(i) + ']';
            if (!(*array)[i].is_object()) {
                problems_.push_back(inner + ": an object is required");
                continue;
            }
            ObjectReader item((*array)[i], inner + '.', problems_);
            out.push_back(read(item));
            item.refuseUnknown();
        }
        return out;
    }

    /// Reads a required, non-empty array of `IP:PORT`.
    std::vector<Address> addresses(const char *key);

    /// Reports every key that nobody asked for.
    void refuseUnknown();

    /// Reports a problem with a key.
    void problem(const std::string &key, const std::string &reason);

private:
    const nlohmann::json *find(const char *key, bool required);
    bool isArray(const char *key, const nlohmann::json &value);
    Address readAddress(const std::string &key, const nlohmann::json &value);

    const nlohmann::json &object_;
    std::string place_;
    std::vector<std::string> &problems_;
    std::set<std::string> known_;
};

} // namespace ibiswall
