// Prints the timeline of one job from the logs of several processes.

#include "commands.hpp"
#include "options.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

using Json = nlohmann::json;

// Events about leaders, agents and configuration are shown from this long before the job's first line to this long after its last.
constexpr std::int64_t contextMs = 1500;

struct LogLine
{
    std::int64_t at_ = 0;
    Json json_;
};

// Parses the log lines of a file. Log collectors may put a prefix before the JSON of a line.
std::vector<LogLine> readLogLines(std::istream &in)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(in, text);) {
        const auto begin = text.find('{');
        const Json json = begin == std::string::npos ? Json() : Json::parse(text.substr(begin), nullptr, false);
        if (json.is_object() && json.contains("event") && json.contains("at") && json["at"].is_number_integer()) {
            lines.push_back({json["at"].get<std::int64_t>(), json});
        }
    }
    return lines;
}

// Returns whether an event concerns the state of the cell rather than one job.
bool isContext(const Json &json)
{
    const std::string event = json.value("event", "");
    for (const char *prefix : {"lead.", "agent.lost", "target.changed", "process.", "peer.down", "domains.", "config.applied"}) {
        if (event.rfind(prefix, 0) == 0) {
            return true;
        }
    }
    return false;
}

void printLine(const LogLine &line, std::int64_t origin)
{
    std::cout << (line.at_ - origin) << " ms  " << line.json_.value("node", "?") << "  " << line.json_.value("event", "?");
    for (const auto &[name, value] : line.json_.items()) {
        if (name != "at" && name != "node" && name != "event" && name != "job") {
            std::cout << "  " << name << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    std::cout << '\n';
}

} // namespace

Exit runExplain(const CommandLine &line)
{
    po::options_description options("options");
    options.add_options()("id", po::value<std::string>()->required(), "job id")("files", po::value<std::vector<std::string>>()->required(),
                                                                                "logs of the processes, in any order");
    po::positional_options_description positions;
    positions.add("id", 1).add("files", -1);
    const ParsedOptions parsed = parseOptions(line, options, positions, "ID FILE...");
    if (parsed.finished_) {
        return parsed.exit_;
    }
    const auto id = parsed.values_["id"].as<std::string>();
    std::vector<LogLine> lines;
    for (const std::string &file : parsed.values_["files"].as<std::vector<std::string>>()) {
        std::ifstream in(file);
        if (!in) {
            std::cerr << "ibiswall explain: " << file << ": cannot be read\n";
            return Exit::Failed;
        }
        const std::vector<LogLine> read = readLogLines(in);
        lines.insert(lines.end(), read.begin(), read.end());
    }
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &a, const LogLine &b) { return a.at_ < b.at_; });
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const LogLine &each : lines) {
        if (each.json_.value("job", "") == id) {
            first = first == 0 ? each.at_ : first;
            last = each.at_;
        }
    }
    if (first == 0) {
        std::cerr << "ibiswall explain: no line names job " << id << '\n';
        return Exit::Failed;
    }
    for (const LogLine &each : lines) {
        const bool near = each.at_ >= first - contextMs && each.at_ <= last + contextMs;
        if (each.json_.value("job", "") == id || (near && isContext(each.json_))) {
            printLine(each, first);
        }
    }
    return Exit::Ok;
}

} // namespace ibiswall
