// The commands that run processes and check their settings.

#include "commands.hpp"
#include "options.hpp"

#include <ibiswall/agent.hpp>
#include <ibiswall/entry.hpp>
#include <ibiswall/log.hpp>
#include <ibiswall/node.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ibiswall {

namespace {

LogLevel parseLevel(const std::string &word)
{
    if (word == "debug") {
        return LogLevel::Debug;
    }
    if (word == "warning") {
        return LogLevel::Warning;
    }
    return word == "error" ? LogLevel::Error : LogLevel::Info;
}

po::options_description settingsOptions()
{
    po::options_description options("options");
    options.add_options()("settings", po::value<std::string>(),
                          "settings file, JSON with comments; else the file that IBISWALL_SETTINGS names");
    return options;
}

po::positional_options_description settingsPosition()
{
    po::positional_options_description positions;
    positions.add("settings", 1);
    return positions;
}

// Prints the outcome of a check for scripts.
void printVerdict(const std::string &problems)
{
    nlohmann::json verdict = {{"ok", problems.empty()}, {"problems", nlohmann::json::array()}};
    std::istringstream lines(problems);
    for (std::string line; std::getline(lines, line);) {
        verdict["problems"].push_back(line);
    }
    std::cout << verdict.dump() << '\n';
}

// The settings file that the command line or the environment names; empty for none.
std::string settingsFile(const ParsedOptions &parsed)
{
    if (parsed.values_.count("settings") != 0) {
        return parsed.values_["settings"].as<std::string>();
    }
    const char *named = std::getenv("IBISWALL_SETTINGS");
    return named == nullptr ? std::string() : std::string(named);
}

// Reads the settings file that the command line names.
Result<Settings> loadNamed(const CommandLine &line, Exit &ended, std::string &file)
{
    const ParsedOptions parsed = parseOptions(line, settingsOptions(), settingsPosition(), "FILE");
    if (parsed.ended_) {
        ended = parsed.exit_;
        return Error{Code::BadUsage, {}};
    }
    file = settingsFile(parsed);
    if (file.empty()) {
        std::cerr << "ibiswall " << line.command_ << ": --settings is missing, and IBISWALL_SETTINGS names no file\n";
        ended = Exit::Usage;
        return Error{Code::BadUsage, {}};
    }
    auto settings = loadSettings(file);
    if (settings.has_error()) {
        std::cerr << settings.error().text_ << '\n';
        ended = Exit::Settings;
    }
    return settings;
}

Exit wrongRole(const CommandLine &line)
{
    std::cerr << "ibiswall " << line.command_ << ": the settings are for the other role\n";
    return Exit::Settings;
}

} // namespace

Exit runEntryCommand(const CommandLine &line)
{
    Exit ended = Exit::Ok;
    std::string file;
    const auto settings = loadNamed(line, ended, file);
    if (settings.has_error()) {
        return ended;
    }
    const auto *entry = std::get_if<EntrySettings>(&settings.value());
    if (entry == nullptr) {
        return wrongRole(line);
    }
    startLog(parseLevel(entry->logLevel_));
    return runEntry(*entry, [](EntryPorts ports) { std::cout << "callers " << ports.callers_ << " links " << ports.links_ << std::endl; });
}

Exit runAgentCommand(const CommandLine &line)
{
    Exit ended = Exit::Ok;
    std::string file;
    const auto settings = loadNamed(line, ended, file);
    if (settings.has_error()) {
        return ended;
    }
    const auto *agent = std::get_if<AgentSettings>(&settings.value());
    if (agent == nullptr) {
        return wrongRole(line);
    }
    startLog(parseLevel(agent->logLevel_));
    return runAgent(*agent, [](std::uint16_t port) { std::cout << "health " << port << std::endl; });
}

Exit runCellEntryCommand(const CommandLine &line)
{
    Exit ended = Exit::Ok;
    std::string file;
    const auto settings = loadNamed(line, ended, file);
    if (settings.has_error()) {
        return ended;
    }
    const auto *entry = std::get_if<CellEntrySettings>(&settings.value());
    return entry == nullptr ? wrongRole(line) : node::runCellEntry(*entry, file);
}

Exit runCellAgentCommand(const CommandLine &line)
{
    Exit ended = Exit::Ok;
    std::string file;
    const auto settings = loadNamed(line, ended, file);
    if (settings.has_error()) {
        return ended;
    }
    const auto *agent = std::get_if<CellAgentSettings>(&settings.value());
    return agent == nullptr ? wrongRole(line) : node::runCellAgent(*agent, file);
}

Exit runCheckSettings(const CommandLine &line)
{
    po::options_description options = settingsOptions();
    options.add_options()("json", "print the verdict as JSON: ok, and the problems");
    const ParsedOptions parsed = parseOptions(line, options, settingsPosition(), "FILE");
    if (parsed.ended_) {
        return parsed.exit_;
    }
    const std::string file = settingsFile(parsed);
    if (file.empty()) {
        std::cerr << "ibiswall " << line.command_ << ": --settings is missing, and IBISWALL_SETTINGS names no file\n";
        return Exit::Usage;
    }
    const auto settings = loadSettings(file);
    const std::string problems = settings.has_error() ? settings.error().text_ : std::string();
    if (parsed.values_.count("json") != 0) {
        printVerdict(problems);
    } else if (settings.has_error()) {
        std::cerr << problems << '\n';
    } else {
        std::cout << "settings are good\n";
    }
    return settings.has_error() ? Exit::Settings : Exit::Ok;
}

} // namespace ibiswall
