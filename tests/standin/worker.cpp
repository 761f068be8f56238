// Stand-in for a target of the users' platform: runs under fences and a lease, lists of runs and ends, heartbeats.
//
// A task runs for as many milliseconds as its payload says after "ms=". Starts and ends are recorded, a line each.

#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <ibiswall/net.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

enum Status { Fine = 200, Malformed = 400, NotFound = 404, Rejected = 409, OtherInstance = 421 };

constexpr std::chrono::milliseconds heartbeatPeriod(300);
constexpr std::int64_t defaultRun = 50;

struct WorkerOptions
{
    std::string id_;
    std::string address_;
    Address control_;
    std::string domain_;
    std::string record_;
    std::int64_t cpu_ = 8000;
    /// Share of orders that are not answered and carried out later.
    double lost_ = 0;
    std::uint32_t seed_ = 1;
};

class Worker
{
public:
    Worker(boost::asio::io_context &io, WorkerOptions options)
        : io_(io)
        , options_(std::move(options))
        , heartbeat_(io)
        , clock_(io)
        , agent_(io, options_.control_, 1)
        , born_(wallClock().count_)
        , began_(bootClock())
        , noise_(options_.seed_)
        , record_(options_.record_, std::ios::app)
    {
        beat();
        tick();
    }

    void handle(const HttpRequest &request, const Respond &respond)
    {
        const auto expected = request.customHeaders_.find("expect-instance");
        if (expected != request.customHeaders_.end() && expected->second != options_.id_) {
            respond(jsonReply(OtherInstance, {}));
            return;
        }
        if (std::uniform_real_distribution<>(0, 1)(noise_) < options_.lost_) {
            // Carried out late and never answered.
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(500));
            unanswered_.push_back(respond);
            timer->async_wait([this, timer, request](boost::system::error_code) { carryOut(request, [](const HttpReply &) {}); });
            return;
        }
        carryOut(request, respond);
    }

private:
    struct Run
    {
        std::uint64_t number_ = 0;
        std::int64_t endsAt_ = 0;
        std::int64_t cpu_ = 0;
    };

    struct Waiting
    {
        Respond respond_;
        std::int64_t until_ = 0;
        std::uint64_t seen_ = 0;
    };

    std::int64_t clock() const
    {
        return (bootClock() - began_).count_;
    }

    void note(const char *what, const std::string &task, std::uint64_t run)
    {
        record_ << Json{{"what", what}, {"task", task}, {"run", run}, {"at", wallClock().count_}, {"worker", options_.id_}}.dump()
                << std::endl;
    }

    void carryOut(const HttpRequest &request, const Respond &respond)
    {
        const Json body = Json::parse(request.body_, nullptr, false);
        if (!body.is_object()) {
            respond(jsonReply(Malformed, "{}"));
            return;
        }
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < fence_) {
            reject(respond, "fence");
            return;
        }
        fence_ = fence;
        if (body.contains("deadline_ms")) {
            lease_ = std::max(lease_, body["deadline_ms"].get<std::int64_t>());
        }
        if (request.path_ == "/run-start") {
            start(body, respond);
        } else if (request.path_ == "/run-stop") {
            stop(body, respond);
        } else if (request.path_ == "/hold") {
            hold(body, respond);
        } else {
            respond(jsonReply(NotFound, "{}"));
        }
    }

    void reject(const Respond &respond, const char *reason) const
    {
        respond(jsonReply(Rejected, Json{{"clock_ms", clock()}, {"reason", reason}, {"born", born_}}.dump()));
    }

    void start(const Json &body, const Respond &respond)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number_ == run) {
            respond(jsonReply(Fine, Json{{"clock_ms", clock()}, {"born", born_}}.dump()));
            return;
        }
        if (found != running_.end() || run <= over_[task]) {
            reject(respond, "old");
            return;
        }
        if (!body.contains("deadline_ms") || body["deadline_ms"].get<std::int64_t>() <= clock()) {
            reject(respond, "late");
            return;
        }
        const auto spec = body.value("spec", std::string());
        const auto at = spec.find("ms=");
        running_[task] = {run, clock() + (at == std::string::npos ? defaultRun : std::stoll(spec.substr(at + 3))), 0};
        note("start", task, run);
        respond(jsonReply(Fine, Json{{"clock_ms", clock()}, {"born", born_}}.dump()));
    }

    void stop(const Json &body, const Respond &respond)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        over_[task] = std::max(over_[task], run);
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number_ <= run) {
            end(task, "stopped");
        }
        respond(jsonReply(Fine, Json{{"clock_ms", clock()}, {"born", born_}}.dump()));
    }

    void end(const std::string &task, const char *how)
    {
        const std::uint64_t run = running_.at(task).number_;
        over_[task] = std::max(over_[task], run);
        running_.erase(task);
        ends_.push_back(Json::array({++lastEnd_, task, run, how, ""}));
        note(how, task, run);
    }

    void hold(const Json &body, const Respond &respond)
    {
        const auto seen = body.value("last_seen", std::uint64_t{0});
        ends_.erase(std::remove_if(ends_.begin(), ends_.end(), [seen](const Json &each) { return each[0].get<std::uint64_t>() <= seen; }),
                    ends_.end());
        const auto wait = body.value("wait_ms", std::int64_t{0});
        if (wait > 0 && ends_.empty()) {
            waiting_.push_back({respond, clock() + wait, seen});
            return;
        }
        answer(respond);
    }

    void answer(const Respond &respond) const
    {
        Json running = Json::array();
        for (const auto &[task, run] : running_) {
            running.push_back(Json::array({task, run.number_, "", 0, 0}));
        }
        respond(
            jsonReply(Fine, Json{{"clock_ms", clock()}, {"born", born_}, {"running", std::move(running)}, {"ended", Json(ends_)}}.dump()));
    }

    // Ends what is over, and answers holds that waited for it.
    void tick()
    {
        std::vector<std::pair<std::string, const char *>> over;
        for (const auto &[task, run] : running_) {
            if (clock() >= lease_) {
                over.emplace_back(task, "lapsed");
            } else if (clock() >= run.endsAt_) {
                over.emplace_back(task, "done");
            }
        }
        for (const auto &[task, how] : over) {
            end(task, how);
        }
        std::vector<Waiting> still;
        for (Waiting &each : std::exchange(waiting_, {})) {
            if (!ends_.empty() || clock() >= each.until_) {
                answer(each.respond_);
            } else {
                still.push_back(std::move(each));
            }
        }
        waiting_ = std::move(still);
        clock_.expires_after(std::chrono::milliseconds(2));
        clock_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void beat()
    {
        PoolCall call;
        call.path_ = "/Instances.Heartbeat/" + options_.id_;
        call.headers_ = {{"Content-Type", "application/json"}};
        call.body_ = Json{{"service", "desk"},
                          {"address", options_.address_},
                          {"zone", options_.domain_},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"room", {{"cpu", options_.cpu_}, {"mem_mb", 65536}, {"gpu", 0}}},
                          {"labels", {"a", "r1"}},
                          {"clock_ms", clock()},
                          {"born", born_},
                          {"seq", ++sequence_}}
                         .dump();
        call.timeout_ = {1000};
        agent_.call(std::move(call), [](const PoolResult &) {});
        heartbeat_.expires_after(heartbeatPeriod);
        heartbeat_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                beat();
            }
        });
    }

    boost::asio::io_context &io_;
    WorkerOptions options_;
    boost::asio::steady_timer heartbeat_;
    boost::asio::steady_timer clock_;
    HttpPool agent_;
    std::int64_t born_;
    Millis began_;
    std::minstd_rand noise_;
    std::ofstream record_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ = 0;
    std::int64_t sequence_ = 0;
    std::map<std::string, Run> running_;
    std::map<std::string, std::uint64_t> over_;
    std::vector<Json> ends_;
    std::uint64_t lastEnd_ = 0;
    std::vector<Waiting> waiting_;
    std::vector<Respond> unanswered_;
};

} // namespace

} // namespace ibiswall

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    ibiswall::WorkerOptions chosen;
    std::string control;
    po::options_description options("options");
    options.add_options()("listen", po::value(&chosen.address_)->required(), "IP:PORT")(
        "control", po::value(&control)->required(), "IP:PORT of the agent")("id", po::value(&chosen.id_)->required(), "name of the worker")(
        "domain", po::value(&chosen.domain_)->default_value("fd-1"), "failure domain")(
        "record", po::value(&chosen.record_)->default_value("/dev/null"),
        "file that receives a line for each start and end")("cpu", po::value(&chosen.cpu_)->default_value(8000), "thousandths of a core")(
        "lost", po::value(&chosen.lost_)->default_value(0),
        "share of orders that are not answered and carried out late")("seed", po::value(&chosen.seed_)->default_value(1), "seed");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    chosen.control_ = ibiswall::parseAddress(control).value();
    boost::asio::io_context io(1);
    ibiswall::Worker worker(io, chosen);
    ibiswall::HttpLimits limits;
    limits.extraHeader_ = "expect-instance";
    ibiswall::HttpServer server(
        io, limits, [&worker](const ibiswall::HttpRequest &request, const ibiswall::Respond &respond) { worker.handle(request, respond); });
    const auto port = server.listen(ibiswall::parseAddress(chosen.address_).value());
    if (port.has_error()) {
        std::cerr << port.error().text_ << '\n';
        return 1;
    }
    std::cout << "port " << port.value() << std::endl;
    io.run();
}
