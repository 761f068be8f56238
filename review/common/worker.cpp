// Stand-in for a worker of the users' platform. It guards its room, checks fences and run numbers, shortens leases to their maximum,
// and lists at most 500 ends at a time.
//
// A task runs for the number of milliseconds after "ms=" in its payload and needs the thousandths of a core after "cpu=".
// Records each start, each end, each lapse of the lease and each end that is taken note of, one line each.

#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <ibiswall/net/httppool.hpp>
#include <ibiswall/net/httpserver.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace ibiswall::review {

namespace {

using Json = nlohmann::json;

enum HttpStatus { Ok = 200, MalformedRequest = 400, NotFound = 404, Rejected = 409, MisdirectedRequest = 421 };

constexpr std::int64_t maxLeaseMillis = 1000;
constexpr std::size_t maxListedEnds = 500;
constexpr std::chrono::milliseconds heartbeatInterval(1500);
constexpr std::chrono::milliseconds tickInterval(2);

struct WorkerOptions
{
    std::string id_;
    std::string address_;
    std::string control_;
    std::string zone_;
    std::vector<std::string> labels_;
    std::string recordFile_;
    std::int64_t cpu_ = 32000;
};

// Number that follows a name in a payload.
std::int64_t numberAfter(const std::string &payload, const std::string &name, std::int64_t otherwise)
{
    const auto at = payload.find(name);
    return at == std::string::npos ? otherwise : std::stoll(payload.substr(at + name.size()));
}

class Worker
{
public:
    Worker(boost::asio::io_context &io, WorkerOptions options)
        : options_(std::move(options))
        , heartbeatTimer_(io)
        , tickTimer_(io)
        , agent_(io, parseAddress(options_.control_).value(), 1)
        , born_(wallClock().count_)
        , startedAt_(bootClock())
        , record_(options_.recordFile_, std::ios::app)
    {
        record("born", {}, 0);
        sendHeartbeat();
        tick();
    }

    void handle(const HttpRequest &request, const Respond &respond)
    {
        const auto expected = request.customHeaders_.find("expect-instance");
        if (expected != request.customHeaders_.end() && expected->second != options_.id_) {
            reply(respond, MisdirectedRequest, Json::object());
            return;
        }
        const Json body = Json::parse(request.body_, nullptr, false);
        if (!body.is_object()) {
            reply(respond, MalformedRequest, Json::object());
            return;
        }
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < fence_) {
            reply(respond, Rejected, {{"reason", "fence"}});
            return;
        }
        fence_ = fence;
        const auto deadline = body.value("deadline_ms", std::int64_t{0});
        expireLease();
        leaseUntil_ = std::max(leaseUntil_, std::min(deadline, clock() + maxLeaseMillis));
        if (request.path_ == "/run-start") {
            start(body, deadline, respond);
        } else if (request.path_ == "/run-stop") {
            stop(body, respond);
        } else if (request.path_ == "/hold") {
            hold(body, respond);
        } else {
            reply(respond, NotFound, Json::object());
        }
    }

private:
    struct Run
    {
        std::uint64_t number_ = 0;
        std::int64_t endsAt_ = 0;
        std::int64_t cpu_ = 0;
    };

    struct End
    {
        std::uint64_t number_ = 0;
        std::string task_;
        std::uint64_t run_ = 0;
        std::string how_;
    };

    struct WaitingHold
    {
        Respond respond_;
        std::int64_t until_ = 0;
    };

    std::int64_t clock() const
    {
        return (bootClock() - startedAt_).count_;
    }

    void record(const std::string &what, const std::string &task, std::uint64_t run)
    {
        const Json line = {{"at", wallClock().count_}, {"worker", options_.id_}, {"what", what}, {"task", task}, {"run", run}};
        record_ << line.dump() << std::endl;
    }

    void reply(const Respond &respond, int status, Json body) const
    {
        body["clock_ms"] = clock();
        body["born"] = born_;
        respond(jsonReply(status, body.dump()));
    }

    void start(const Json &body, std::int64_t deadline, const Respond &respond)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        const auto payload = body.value("spec", std::string());
        const std::int64_t cpu = numberAfter(payload, "cpu=", 0);
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number_ == run) {
            reply(respond, Ok, Json::object());
        } else if (found != running_.end() || run <= highestEnded_[task]) {
            reply(respond, Rejected, {{"reason", "old"}});
        } else if (deadline <= clock()) {
            reply(respond, Rejected, {{"reason", "late"}});
        } else if (usedCpu_ + cpu > options_.cpu_) {
            reply(respond, Rejected, {{"reason", "room"}});
        } else {
            running_[task] = {run, clock() + numberAfter(payload, "ms=", 1), cpu};
            usedCpu_ += cpu;
            record("start", task, run);
            reply(respond, Ok, Json::object());
        }
    }

    void stop(const Json &body, const Respond &respond)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        highestEnded_[task] = std::max(highestEnded_[task], run);
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number_ <= run) {
            end(task, "stopped");
        }
        reply(respond, Ok, Json::object());
    }

    // Takes the name by value, since it may be that of the entry that is erased.
    void end(std::string task, const std::string &how)
    {
        const Run run = running_.at(task);
        running_.erase(task);
        usedCpu_ -= run.cpu_;
        highestEnded_[task] = std::max(highestEnded_[task], run.number_);
        record(how, task, run.number_);
        ends_.push_back({++lastEnd_, std::move(task), run.number_, how});
    }

    void hold(const Json &body, const Respond &respond)
    {
        const auto lastSeen = body.value("last_seen", std::uint64_t{0});
        const auto noted = std::find_if(ends_.begin(), ends_.end(), [lastSeen](const End &each) { return each.number_ > lastSeen; });
        std::for_each(ends_.begin(), noted, [this](const End &each) { record("noted " + each.how_, each.task_, each.run_); });
        ends_.erase(ends_.begin(), noted);
        const auto wait = body.value("wait_ms", std::int64_t{0});
        if (wait > 0 && ends_.empty()) {
            holds_.push_back({respond, clock() + wait});
        } else {
            list(respond);
        }
    }

    void list(const Respond &respond) const
    {
        Json running = Json::array();
        for (const auto &[task, run] : running_) {
            running.push_back(Json::array({task, run.number_, "", 0, run.cpu_}));
        }
        Json ended = Json::array();
        for (std::size_t i = 0; i < ends_.size() && i < maxListedEnds; ++i) {
            ended.push_back(Json::array({ends_[i].number_, ends_[i].task_, ends_[i].run_, ends_[i].how_, ""}));
        }
        reply(respond, Ok, {{"running", std::move(running)}, {"ended", std::move(ended)}});
    }

    // Ends all runs when the lease has lapsed.
    void expireLease()
    {
        if (leaseUntil_ == 0 || clock() < leaseUntil_) {
            return;
        }
        leaseUntil_ = 0;
        record("lapse", {}, 0);
        while (!running_.empty()) {
            end(running_.begin()->first, "lapsed");
        }
    }

    void tick()
    {
        std::vector<std::string> done;
        for (const auto &[task, run] : running_) {
            if (clock() >= run.endsAt_) {
                done.push_back(task);
            }
        }
        for (const std::string &task : done) {
            end(task, "done");
        }
        expireLease();
        std::vector<WaitingHold> waiting;
        for (WaitingHold &each : std::exchange(holds_, {})) {
            if (!ends_.empty() || clock() >= each.until_) {
                list(each.respond_);
            } else {
                waiting.push_back(std::move(each));
            }
        }
        holds_ = std::move(waiting);
        tickTimer_.expires_after(tickInterval);
        tickTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void sendHeartbeat()
    {
        const Json body = {{"service", "desk"},
                           {"address", options_.address_},
                           {"zone", options_.zone_},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", "ready"},
                           {"cold_left_ms", 0},
                           {"room", {{"cpu", options_.cpu_}, {"mem_mb", 65536}, {"gpu", 0}}},
                           {"labels", options_.labels_},
                           {"clock_ms", clock()},
                           {"born", born_},
                           {"seq", ++sequence_}};
        PoolCall call;
        call.path_ = "/Instances.Heartbeat/" + options_.id_;
        call.headers_ = {{"Content-Type", "application/json"}};
        call.body_ = body.dump();
        call.timeout_ = {1000};
        agent_.call(std::move(call), [this](const PoolResult &answer) {
            // Nothing acknowledged it: the agent is still starting.
            constexpr std::chrono::milliseconds retryDelay(300);
            const bool acknowledged = answer.code_ == Code::Ok && answer.status_ == Ok;
            heartbeatTimer_.expires_after(acknowledged ? heartbeatInterval : retryDelay);
            heartbeatTimer_.async_wait([this](boost::system::error_code error) {
                if (!error) {
                    sendHeartbeat();
                }
            });
        });
    }

    WorkerOptions options_;
    boost::asio::steady_timer heartbeatTimer_;
    boost::asio::steady_timer tickTimer_;
    HttpPool agent_;
    std::int64_t born_;
    Millis startedAt_;
    std::ofstream record_;
    std::uint64_t fence_ = 0;
    /// End of the lease on the worker's clock, 0 if there is none.
    std::int64_t leaseUntil_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t usedCpu_ = 0;
    std::map<std::string, Run> running_;
    /// Highest run of each task that was stopped or has ended.
    std::map<std::string, std::uint64_t> highestEnded_;
    std::vector<End> ends_;
    std::uint64_t lastEnd_ = 0;
    std::vector<WaitingHold> holds_;
};

} // namespace

} // namespace ibiswall::review

int main(int argc, char **argv)
{
    using namespace ibiswall;
    namespace po = boost::program_options;
    review::WorkerOptions worker;
    po::options_description options("options");
    po::options_description_easy_init add = options.add_options();
    add("id", po::value(&worker.id_)->required(), "id of the worker");
    add("listen", po::value(&worker.address_)->required(), "IP:PORT");
    add("control", po::value(&worker.control_)->required(), "IP:PORT of the agent");
    add("zone", po::value(&worker.zone_)->required(), "zone");
    add("label", po::value(&worker.labels_)->composing(), "label, may be repeated");
    add("record", po::value(&worker.recordFile_)->required(), "file for the record of runs");
    add("cpu", po::value(&worker.cpu_), "room in thousandths of a core");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    boost::asio::io_context io(1);
    const Address address = parseAddress(worker.address_).value();
    review::Worker node(io, std::move(worker));
    HttpLimits limits;
    limits.extraHeader_ = "expect-instance";
    HttpServer server(io, limits, [&node](const HttpRequest &request, const Respond &respond) { node.handle(request, respond); });
    if (const auto port = server.listen(address); port.has_error()) {
        std::cerr << port.error().text_ << '\n';
        return 1;
    }
    io.run();
    return 0;
}
