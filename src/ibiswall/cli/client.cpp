// The commands for callers and operators.

#include "commands.hpp"
#include "options.hpp"

#include <ibiswall/codec.hpp>
#include <ibiswall/net.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

constexpr int httpFirstError = 300;

// Options common to all commands that call an entry.
po::options_description clientOptions()
{
    po::options_description options("options");
    options.add_options()("entry", po::value<std::string>()->required(), "IP:PORT of an entry or of the balancer");
    options.add_options()("token", po::value<std::string>()->required(), "token of the member or operator");
    options.add_options()("timeout-ms", po::value<std::int64_t>()->default_value(60000), "time for the whole call, in ms");
    options.add_options()("json", "print the answer as JSON");
    return options;
}

struct Client
{
    Address entry_;
    std::string token_;
    Millis timeout_;
    bool json_ = false;
};

Result<Client> makeClient(const po::variables_map &values)
{
    BOOST_OUTCOME_TRY(auto entry, parseAddress(values["entry"].as<std::string>()));
    return Client{std::move(entry),
                  "Bearer " + values["token"].as<std::string>(),
                  {values["timeout-ms"].as<std::int64_t>()},
                  values.count("json") != 0};
}

Result<HttpAnswer> call(const Client &client, const std::string &method, const std::string &target, const std::string &body)
{
    return callHttp(client.entry_, {method, target, body, client.token_, client.timeout_});
}

Exit unreachable(const Error &error)
{
    std::cerr << "ibiswall: " << describe(error.code_) << ": " << error.text_ << '\n';
    return Exit::Unreachable;
}

// Prints a failure with its number.
Exit failure(const HttpAnswer &answer)
{
    const Json json = Json::parse(answer.body_, nullptr, false);
    if (json.is_object() && json.contains("code")) {
        std::cerr << "ibiswall: code " << json["code"] << ": " << json.value("reason", "") << '\n';
    } else {
        std::cerr << "ibiswall: status " << answer.status_ << ": " << answer.body_ << '\n';
    }
    return Exit::Failed;
}

// Calls an entry and hands a good answer to a printer.
template<typename Print>
Exit callAndPrint(
    const po::variables_map &values, const std::string &method, const std::string &target, const std::string &body, Print print)
{
    const auto client = makeClient(values);
    if (client.has_error()) {
        std::cerr << "ibiswall: entry: " << client.error().text_ << '\n';
        return Exit::Usage;
    }
    const auto answer = call(client.value(), method, target, body);
    if (answer.has_error()) {
        return unreachable(answer.error());
    }
    if (answer.value().status_ >= httpFirstError) {
        return failure(answer.value());
    }
    if (client.value().json_) {
        std::cout << answer.value().body_ << '\n';
    } else {
        print(Json::parse(answer.value().body_));
    }
    return Exit::Ok;
}

void printAnswer(const Json &answer)
{
    std::cout << "job " << answer.value("id", "") << ": " << answer.value("state", "") << " (code " << answer.value("code", 0) << ")\n";
    for (const Json &task : answer["tasks"]) {
        std::cout << "  task " << task["task"] << ": " << task.value("outcome", "") << ", "
                  << task.value("answer", task.value("reason", "")) << '\n';
    }
}

void printPlan(const Json &plan)
{
    std::cout << "plan on version " << plan["base_version"] << ": " << plan["intent"]["op"].get<std::string>() << ' '
              << plan["intent"]["name"].get<std::string>() << "\n  before: " << plan["before"].get<std::string>()
              << "\n  after:  " << plan["after"].get<std::string>() << "\n  targets affected: " << plan["targets"].size() << '\n';
    for (const Json &target : plan["targets"]) {
        std::cout << "    " << target["target"].get<std::string>() << " on " << target["worker"].get<std::string>() << '\n';
    }
    std::cout << "confirm with --base-version " << plan["base_version"] << " --digest " << plan["digest"].get<std::string>() << '\n';
}

void printChange(const Json &change)
{
    std::cout << "version " << change["version"] << ": " << change["intent"]["op"].get<std::string>() << ' '
              << change["intent"]["name"].get<std::string>() << " by " << change["who"].get<std::string>() << " at " << change["when_ms"]
              << " ms: " << change["why"].get<std::string>() << "\n  before: " << change["before"].get<std::string>()
              << "\n  after:  " << change["after"].get<std::string>() << '\n';
}

void printStatus(const Json &status)
{
    std::cout << "entry " << status["entry"].get<std::string>() << ", version " << status["version"]
              << " in force\n  failure domains out: " << status["domains_out"].dump() << "\n  targets out: " << status["targets_out"].dump()
              << "\n  agents that have not confirmed it: " << status["unconfirmed"].dump() << '\n';
    for (const Json &agent : status["agents"]) {
        std::cout << "  target " << agent["target"].get<std::string>() << " in " << agent["failure_domain"].get<std::string>()
                  << ": version " << agent["version"] << ", " << agent["in_flight"] << " of " << agent["slots"] << " slots\n";
    }
}

void addIntentOptions(po::options_description &options)
{
    options.add_options()("op", po::value<std::string>()->required(),
                          "domain-out, domain-in, target-out, target-in, set-kind or set-member");
    options.add_options()("name", po::value<std::string>()->required(), "failure domain, target, kind or member");
    options.add_options()("value", po::value<int>()->default_value(0), "set-kind: worth; the least valuable is refused first");
    options.add_options()("repeatable", po::bool_switch(), "set-kind: tasks may be tried again after they may have run");
    options.add_options()("deadline-ms", po::value<std::int64_t>()->default_value(10000), "set-kind: time in which tasks may start, in ms");
    options.add_options()("weight", po::value<int>()->default_value(1), "set-member: share under load");
    options.add_options()("quota", po::value<int>()->default_value(0), "set-member: most open tasks at one entry, 0 for none");
}

Result<Intent> intentFrom(const po::variables_map &values)
{
    Intent intent;
    BOOST_OUTCOME_TRY(intent.op_, parseOp(values["op"].as<std::string>()));
    intent.name_ = values["name"].as<std::string>();
    intent.kind_ = {values["value"].as<int>(), values["repeatable"].as<bool>(), {values["deadline-ms"].as<std::int64_t>()}};
    intent.member_ = {values["weight"].as<int>(), values["quota"].as<int>()};
    return intent;
}

Exit badIntent(const Error &error)
{
    std::cerr << "ibiswall: " << error.text_ << '\n';
    return Exit::Usage;
}

// Takes one fresh id from an entry.
Result<std::string> takeId(const Client &client)
{
    BOOST_OUTCOME_TRY(const auto answer, call(client, "POST", "/v1/ids", ""));
    const Json json = Json::parse(answer.body_, nullptr, false);
    if (answer.status_ >= httpFirstError || !json.is_object() || !json.contains("ids")) {
        return Error{Code::BadRequest, answer.body_};
    }
    return json["ids"][0].get<std::string>();
}

} // namespace

Exit runSubmit(const CommandLine &line)
{
    po::options_description options = clientOptions();
    options.add_options()("kind", po::value<std::string>()->required(), "kind of the request");
    options.add_options()("task", po::value<std::vector<std::string>>()->required(), "payload of a task; repeat for more");
    options.add_options()("id", po::value<std::string>()->default_value(""), "job id to submit again; a fresh one is taken otherwise");
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.ended_) {
        return parsed.exit_;
    }
    const auto client = makeClient(parsed.values_);
    if (client.has_error()) {
        std::cerr << "ibiswall: entry: " << client.error().text_ << '\n';
        return Exit::Usage;
    }
    std::string id = parsed.values_["id"].as<std::string>();
    if (id.empty()) {
        auto taken = takeId(client.value());
        if (taken.has_error()) {
            return unreachable(taken.error());
        }
        id = std::move(taken).value();
    }
    const Json body
        = {{"kind", parsed.values_["kind"].as<std::string>()}, {"tasks", parsed.values_["task"].as<std::vector<std::string>>()}};
    Exit exit = Exit::Ok;
    const Exit called = callAndPrint(parsed.values_, "PUT", "/v1/jobs/" + id, body.dump(), [&exit](const Json &answer) {
        printAnswer(answer);
        exit = answer.value("state", "") == "complete" ? Exit::Ok : Exit::Failed;
    });
    return called == Exit::Ok ? exit : called;
}

Exit runCancel(const CommandLine &line)
{
    po::options_description options = clientOptions();
    options.add_options()("id", po::value<std::string>()->required(), "job id");
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.ended_) {
        return parsed.exit_;
    }
    return callAndPrint(parsed.values_, "DELETE", "/v1/jobs/" + parsed.values_["id"].as<std::string>(), "", printAnswer);
}

Exit runPlan(const CommandLine &line)
{
    po::options_description options = clientOptions();
    addIntentOptions(options);
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.ended_) {
        return parsed.exit_;
    }
    const auto intent = intentFrom(parsed.values_);
    if (intent.has_error()) {
        return badIntent(intent.error());
    }
    return callAndPrint(parsed.values_, "POST", "/v1/plan", formatIntent(intent.value()), printPlan);
}

Exit runConfirm(const CommandLine &line)
{
    po::options_description options = clientOptions();
    addIntentOptions(options);
    options.add_options()("base-version", po::value<std::uint64_t>()->required(), "version that the plan stands on");
    options.add_options()("digest", po::value<std::string>()->required(), "digest of the plan");
    options.add_options()("why", po::value<std::string>()->required(), "reason, for the audit trail");
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.ended_) {
        return parsed.exit_;
    }
    const auto intent = intentFrom(parsed.values_);
    if (intent.has_error()) {
        return badIntent(intent.error());
    }
    const auto &values = parsed.values_;
    const Confirmation confirmation{intent.value(), values["base-version"].as<std::uint64_t>(), values["digest"].as<std::string>(), "",
                                    values["why"].as<std::string>()};
    return callAndPrint(values, "POST", "/v1/confirm", formatConfirmation(confirmation), printChange);
}

Exit runStatus(const CommandLine &line)
{
    const ParsedOptions parsed = parseOptions(line, clientOptions(), {}, "");
    if (parsed.ended_) {
        return parsed.exit_;
    }
    return callAndPrint(parsed.values_, "GET", "/v1/status", "", printStatus);
}

Exit runAudit(const CommandLine &line)
{
    po::options_description options = clientOptions();
    options.add_options()("after", po::value<std::uint64_t>()->default_value(0), "show changes after this version");
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.ended_) {
        return parsed.exit_;
    }
    const std::string target = "/v1/audit?after=" + std::to_string(parsed.values_["after"].as<std::uint64_t>());
    return callAndPrint(parsed.values_, "GET", target, "", [](const Json &trail) {
        for (const Json &change : trail["changes"]) {
            printChange(change);
        }
    });
}

} // namespace ibiswall
