// Stand-in for a target: runs each task for a configurable time, fails tasks on demand, and records every start.

#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <ibiswall/net.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

constexpr int httpOk = 200;
constexpr int httpFailed = 500;

class Target
{
public:
    /// @param record file to which each start is written immediately, so that it survives a kill of the process; empty for none
    Target(boost::asio::io_context &io, std::int64_t runMillis, const std::string &record)
        : io_(io)
        , runMillis_(runMillis)
    {
        if (!record.empty()) {
            record_.open(record, std::ios::app);
        }
    }

    void handle(const HttpRequest &request, const Respond &respond)
    {
        if (request.path_ == "/run") {
            runTask(request, respond);
        } else if (request.path_ == "/standin/starts") {
            respond(jsonReply(httpOk, starts_.dump()));
        } else if (request.path_ == "/standin/mode") {
            const Json json = Json::parse(request.body_);
            runMillis_ = json.value("run_ms", runMillis_);
            failing_ = json.value("failing", failing_);
            recording_ = json.value("recording", recording_);
            respond(jsonReply(httpOk, "{}"));
        } else {
            respond(jsonReply(404, "{}"));
        }
    }

private:
    void runTask(const HttpRequest &request, const Respond &respond)
    {
        if (recording_) {
            const auto &headers = request.customHeaders_;
            const Json start = {
                {"job", headers.at("x-ibiswall-job")}, {"task", std::stoi(headers.at("x-ibiswall-task"))}, {"at_ms", bootClock().count_}};
            starts_.push_back(start);
            record_ << start.dump() << std::endl;
        }
        const HttpReply reply = failing_ ? jsonReply(httpFailed, "refused by the stand-in") : jsonReply(httpOk, "done: " + request.body_);
        if (runMillis_ == 0) {
            respond(reply);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(runMillis_));
        timer->async_wait([timer, reply, respond](boost::system::error_code /*error*/) { respond(reply); });
    }

    boost::asio::io_context &io_;
    std::int64_t runMillis_;
    bool failing_ = false;
    bool recording_ = true;
    Json starts_ = Json::array();
    std::ofstream record_;
};

} // namespace

} // namespace ibiswall

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
    options.add_options()("run-ms", po::value<std::int64_t>()->default_value(0), "run time of a task, in ms");
    options.add_options()("record", po::value<std::string>()->default_value(""), "file that receives a line for each start");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    boost::asio::io_context io(1);
    ibiswall::Target target(io, values["run-ms"].as<std::int64_t>(), values["record"].as<std::string>());
    ibiswall::HttpServer server(
        io, {}, [&target](const ibiswall::HttpRequest &request, const ibiswall::Respond &respond) { target.handle(request, respond); });
    const auto address = ibiswall::parseAddress(values["listen"].as<std::string>());
    const auto port = server.listen(address.value());
    if (port.has_error()) {
        std::cerr << port.error().text_ << '\n';
        return 1;
    }
    std::cout << "port " << port.value() << std::endl;
    io.run();
}
