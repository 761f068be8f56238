// The commands that call the HTTP API of an entry, for callers and operators.

#include "commands.hpp"
#include "options.hpp"

#include <fstream>
#include <ibiswall/codec.hpp>
#include <ibiswall/net.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

constexpr int httpFirstError = 300;

// Options of all commands that call an entry.
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
    auto entry = parseAddress(values["entry"].as<std::string>());
    if (entry.has_error()) {
        return Error{Code::BadUsage, "--entry: " + entry.error().text_};
    }
    const Millis timeout{values["timeout-ms"].as<std::int64_t>()};
    if (timeout < Millis{1}) {
        return Error{Code::BadUsage, "--timeout-ms: must be at least 1"};
    }
    return Client{std::move(entry).value(), "Bearer " + values["token"].as<std::string>(), timeout, values.count("json") != 0};
}

Result<HttpResponse> callEntry(const Client &client, const std::string &method, const std::string &target, const std::string &body)
{
    return callHttp(client.entry_, {method, target, body, client.token_, client.timeout_});
}

Exit reportBadUsage(const Error &error)
{
    std::cerr << "ibiswall: " << error.text_ << '\n';
    return Exit::Usage;
}

Exit reportUnreachable(const Error &error)
{
    std::cerr << "ibiswall: " << describe(error.code_) << ": " << error.text_ << '\n';
    return Exit::Unreachable;
}

void printAnswer(const Json &answer);

// Prints an error reply with its code, and when to retry.
Exit reportFailure(const Client &client, const HttpResponse &answer)
{
    const Json json = Json::parse(answer.body_, nullptr, false);
    if (client.json_ && json.is_object()) {
        std::cout << answer.body_ << '\n';
        return Exit::Failed;
    }
    if (json.is_object() && json.contains("code")) {
        std::cerr << "ibiswall: code " << json["code"] << ": " << json.value("reason", "") << '\n';
    } else {
        std::cerr << "ibiswall: status " << answer.status_ << ": " << answer.body_ << '\n';
    }
    if (answer.retryAfter_ > Millis{0}) {
        std::cerr << "ibiswall: ask again after " << answer.retryAfter_.count_ << " ms\n";
    }
    return Exit::Failed;
}

Exit reportUnreadable(const Client &client)
{
    std::cerr << "ibiswall: " << format(client.entry_) << ": the answer is not one of an entry\n";
    return Exit::Failed;
}

// Calls an entry and passes the JSON of a successful answer to print.
template<typename Print>
Exit callAndPrint(const Client &client, const std::string &method, const std::string &target, const std::string &body, Print print)
{
    const auto answer = callEntry(client, method, target, body);
    if (answer.has_error()) {
        return reportUnreachable(answer.error());
    }
    if (answer.value().status_ >= httpFirstError) {
        return reportFailure(client, answer.value());
    }
    try {
        print(Json::parse(answer.value().body_));
    } catch (const Json::exception &) {
        return reportUnreadable(client);
    }
    return Exit::Ok;
}

// As above, but prints the answer as JSON when --json is set.
template<typename Print>
Exit callAndPrint(
    const po::variables_map &values, const std::string &method, const std::string &target, const std::string &body, Print print)
{
    const auto client = makeClient(values);
    if (client.has_error()) {
        return reportBadUsage(client.error());
    }
    return callAndPrint(client.value(), method, target, body, [&](const Json &answer) {
        if (client.value().json_) {
            std::cout << answer.dump() << '\n';
        } else {
            print(answer);
        }
    });
}

void printAnswer(const Json &answer)
{
    std::cout << "job " << answer.value("id", "") << ": " << answer.value("state", "") << " (code " << answer.value("code", 0) << ")\n";
    if (answer.contains("retry_after_ms")) {
        std::cout << "  ask again after " << answer["retry_after_ms"] << " ms\n";
    }
    for (const Json &task : answer.at("tasks")) {
        std::cout << "  task " << task["task"] << ": " << task.value("outcome", "") << ", "
                  << task.value("answer", task.value("reason", "")) << '\n';
    }
}

void printPlan(const Json &plan)
{
    std::cout << "plan on version " << plan.at("base_version") << ": " << plan.at("intent").at("op").get<std::string>() << ' '
              << plan.at("intent").at("name").get<std::string>() << "\n  before: " << plan.at("before").get<std::string>()
              << "\n  after:  " << plan.at("after").get<std::string>() << "\n  targets affected: " << plan.at("targets").size() << '\n';
    for (const Json &target : plan.at("targets")) {
        std::cout << "    " << target.at("target").get<std::string>() << " on " << target.at("worker").get<std::string>() << '\n';
    }
    std::cout << "confirm with --base-version " << plan.at("base_version") << " --digest " << plan.at("digest").get<std::string>() << '\n';
}

void printChange(const Json &change)
{
    std::cout << "version " << change.at("version") << ": " << change.at("intent").at("op").get<std::string>() << ' '
              << change.at("intent").at("name").get<std::string>() << " by " << change.at("who").get<std::string>() << " at "
              << change.at("when_ms") << " ms: " << change.at("why").get<std::string>()
              << "\n  before: " << change.at("before").get<std::string>() << "\n  after:  " << change.at("after").get<std::string>()
              << '\n';
}

void printStatus(const Json &status)
{
    std::cout << "entry " << status.at("entry").get<std::string>() << ", version " << status.at("version")
              << " in force\n  failure domains out: " << status.at("domains_out").dump()
              << "\n  targets out: " << status.at("targets_out").dump()
              << "\n  agents that have not confirmed it: " << status.at("unconfirmed").dump() << '\n';
    for (const Json &agent : status.at("agents")) {
        std::cout << "  target " << agent.at("target").get<std::string>() << " in " << agent.at("failure_domain").get<std::string>()
                  << ": version " << agent.at("version") << ", " << agent.at("in_flight") << " of " << agent.at("slots") << " slots\n";
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

// Requests a new job id from an entry. Prints the reason and sets the exit code when there is none.
std::optional<std::string> requestId(const Client &client, Exit &requestExit)
{
    std::string id;
    requestExit
        = callAndPrint(client, "POST", "/v1/ids", "", [&id](const Json &answer) { id = answer.at("ids").at(0).get<std::string>(); });
    return requestExit == Exit::Ok ? std::optional<std::string>(id) : std::nullopt;
}

Result<std::string> readJobFile(const std::string &name)
{
    std::ifstream file;
    if (name != "-") {
        file.open(name);
    }
    std::istream &in = name == "-" ? std::cin : file;
    if (!in) {
        return Error{Code::BadUsage, "--file: " + name + " cannot be read"};
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Returns the body of a submission: the file, or a job made of --kind and --task.
Result<std::string> submissionBody(const po::variables_map &values)
{
    const bool parts = values.count("kind") != 0 && values.count("task") != 0;
    if (values.count("file") != 0) {
        if (values.count("kind") != 0 || values.count("task") != 0) {
            return Error{Code::BadUsage, "--file takes the place of --kind and --task"};
        }
        return readJobFile(values["file"].as<std::string>());
    }
    if (!parts) {
        return Error{Code::BadUsage, "--file, or --kind and --task, are required"};
    }
    const Json body = {{"kind", values["kind"].as<std::string>()}, {"tasks", values["task"].as<std::vector<std::string>>()}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

Exit runSubmit(const CommandLine &line)
{
    po::options_description options = clientOptions();
    options.add_options()("file", po::value<std::string>(), "job as JSON with kind and tasks; - reads standard input");
    options.add_options()("kind", po::value<std::string>(), "kind of the request");
    options.add_options()("task", po::value<std::vector<std::string>>(), "payload of a task; repeat for more");
    options.add_options()("id", po::value<std::string>()->default_value(""), "job id to submit again; a fresh one is taken otherwise");
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.finished_) {
        return parsed.exit_;
    }
    const auto client = makeClient(parsed.values_);
    const auto body = submissionBody(parsed.values_);
    if (client.has_error() || body.has_error()) {
        return reportBadUsage(client.has_error() ? client.error() : body.error());
    }
    std::string id = parsed.values_["id"].as<std::string>();
    if (id.empty()) {
        Exit requestExit = Exit::Ok;
        const auto newId = requestId(client.value(), requestExit);
        if (!newId) {
            return requestExit;
        }
        id = *newId;
    }
    Exit exit = Exit::Ok;
    const Exit called = callAndPrint(client.value(), "PUT", "/v1/jobs/" + id, body.value(), [&](const Json &answer) {
        exit = answer.value("state", "") == "complete" ? Exit::Ok : Exit::Failed;
        if (client.value().json_) {
            std::cout << answer.dump() << '\n';
        } else {
            printAnswer(answer);
        }
    });
    return called == Exit::Ok ? exit : called;
}

Exit runCancel(const CommandLine &line)
{
    po::options_description options = clientOptions();
    options.add_options()("id", po::value<std::string>()->required(), "job id");
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.finished_) {
        return parsed.exit_;
    }
    return callAndPrint(parsed.values_, "DELETE", "/v1/jobs/" + parsed.values_["id"].as<std::string>(), "", printAnswer);
}

Exit runPlan(const CommandLine &line)
{
    po::options_description options = clientOptions();
    addIntentOptions(options);
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.finished_) {
        return parsed.exit_;
    }
    const auto intent = intentFrom(parsed.values_);
    if (intent.has_error()) {
        return reportBadUsage(intent.error());
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
    if (parsed.finished_) {
        return parsed.exit_;
    }
    const auto intent = intentFrom(parsed.values_);
    if (intent.has_error()) {
        return reportBadUsage(intent.error());
    }
    const auto &values = parsed.values_;
    const Confirmation confirmation{intent.value(), values["base-version"].as<std::uint64_t>(), values["digest"].as<std::string>(), "",
                                    values["why"].as<std::string>()};
    return callAndPrint(values, "POST", "/v1/confirm", formatConfirmation(confirmation), printChange);
}

Exit runStatus(const CommandLine &line)
{
    const ParsedOptions parsed = parseOptions(line, clientOptions(), {}, "");
    if (parsed.finished_) {
        return parsed.exit_;
    }
    return callAndPrint(parsed.values_, "GET", "/v1/status", "", printStatus);
}

Exit runAudit(const CommandLine &line)
{
    po::options_description options = clientOptions();
    options.add_options()("after", po::value<std::uint64_t>()->default_value(0), "show changes after this version");
    const ParsedOptions parsed = parseOptions(line, options, {}, "");
    if (parsed.finished_) {
        return parsed.exit_;
    }
    const std::string target = "/v1/audit?after=" + std::to_string(parsed.values_["after"].as<std::uint64_t>());
    return callAndPrint(parsed.values_, "GET", target, "", [](const Json &trail) {
        for (const Json &change : trail.at("changes")) {
            printChange(change);
        }
    });
}

} // namespace ibiswall
