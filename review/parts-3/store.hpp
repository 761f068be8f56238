// Stand-in for the platform's store. Each process gets an address of its own, so that the store can turn away single processes.

#pragma once

#include "http.hpp"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

namespace review {

class Store
{
public:
    /// How the store treats a process.
    enum class Mode {
        Serve,
        /// Neither carries out nor answers any call.
        Silent,
        /// Answers every call with 503.
        Busy,
        /// Answers 50 times as late as usual.
        Slow,
        /// Carries out a share of the writes without an answer.
        LoseWrites,
        /// The same, 1 to 6 s later.
        LateWrites,
    };

    /// Serves a process at a port.
    void serveAt(std::uint16_t port);
    void setMode(std::uint16_t port, Mode mode);
    Server &serverAt(std::uint16_t port);

    /// Writes or removes a key as the operator.
    void put(const std::string &key, const nlohmann::json &value);
    void remove(const std::string &key);

    /// Value of a key; empty if there is none.
    std::string valueOf(const std::string &key);
    std::vector<std::string> keysWith(const std::string &prefix);

private:
    struct Item
    {
        std::string value_;
        std::int64_t revision_ = 0;
        std::int64_t created_ = 0;
    };

    struct Event
    {
        std::int64_t revision_ = 0;
        std::string key_;
        nlohmann::json item_;
    };

    std::optional<Reply> handle(std::uint16_t port, const Request &request);
    Reply execute(const Request &request);
    Reply get(const Request &request);
    Reply range(const Request &request);
    Reply watch(const Request &request);
    Reply commit(const Request &request);
    void write(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    static nlohmann::json toJson(const std::string &key, const Item &item);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> events_;
    std::int64_t revision_ = 1;
    std::mt19937 random_{1};
    std::map<std::uint16_t, Mode> modes_;
    std::map<std::uint16_t, std::unique_ptr<Server>> servers_;
};

} // namespace review
