// The commands that run a process or check its settings.

#include "commands.hpp"
#include "options.hpp"

#include <cstdlib>
#include <ibiswall/agent.hpp>
#include <ibiswall/entry.hpp>
#include <ibiswall/log.hpp>
#include <ibiswall/node.hpp>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ibiswall {

namespace {

LogLevel parseLogLevel(const std::string &name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    return name == "error" ? LogLevel::Error : LogLevel::Info;
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

// Prints the result of check-settings as JSON.
void printCheckResult(const std::string &problems)
{
    nlohmann::json report = {{"ok", problems.empty()}, {"problems", nlohmann::json::array()}};
    std::istringstream lines(problems);
    for (std::string line; std::getline(lines, line);) {
        report["problems"].push_back(line);
    }
    std::cout << report.dump() << '\n';
}

// Returns the settings file given on the command line, else by IBISWALL_SETTINGS; empty if neither is set.
std::string settingsFile(const ParsedOptions &parsed)
{
    if (parsed.values_.count("settings") != 0) {
        return parsed.values_["settings"].as<std::string>();
    }
    const char *fromEnvironment = std::getenv("IBISWALL_SETTINGS");
    return fromEnvironment == nullptr ? std::string() : std::string(fromEnvironment);
}

// Loads the settings file that the command line or the environment names. On an error, prints it and sets the exit code.
Result<Settings> loadNamedSettings(const CommandLine &line, Exit &exit, std::string &file)
{
    const ParsedOptions parsed = parseOptions(line, settingsOptions(), settingsPosition(), "FILE");
    if (parsed.finished_) {
        exit = parsed.exit_;
        return Error{Code::BadUsage, {}};
    }
    file = settingsFile(parsed);
    if (file.empty()) {
        std::cerr << "ibiswall " << line.command_ << ": --settings is missing, and IBISWALL_SETTINGS names no file\n";
        exit = Exit::Usage;
        return Error{Code::BadUsage, {}};
    }
    auto settings = loadSettings(file);
    if (settings.has_error()) {
        std::cerr << settings.error().text_ << '\n';
        exit = Exit::Settings;
    }
    return settings;
}

// Value of an environment variable that names a limit of the machine; 0 if it is not set. A fraction is dropped.
std::size_t limitFromEnvironment(const char *name)
{
    const char *text = std::getenv(name);
    if (text == nullptr) {
        return 0;
    }
    char *end = nullptr;
    const double value = std::strtod(text, &end);
    if (end == text || *end != '\0' || !(value >= 0 && value <= std::numeric_limits<std::uint32_t>::max())) {
        std::cerr << name << ": not a number of 0 or more: " << text << '\n';
        return 0;
    }
    return static_cast<std::size_t>(value);
}

Exit reportWrongRole(const CommandLine &line)
{
    std::cerr << "ibiswall " << line.command_ << ": the settings are for the other role\n";
    return Exit::Settings;
}

} // namespace

Exit runEntryCommand(const CommandLine &line)
{
    Exit exit = Exit::Ok;
    std::string file;
    const auto settings = loadNamedSettings(line, exit, file);
    if (settings.has_error()) {
        return exit;
    }
    const auto *entry = std::get_if<EntrySettings>(&settings.value());
    if (entry == nullptr) {
        return reportWrongRole(line);
    }
    startLog(parseLogLevel(entry->logLevel_));
    return runEntry(*entry,
                    [](EntryPorts ports) { std::cout << "callers " << ports.callersPort_ << " links " << ports.linksPort_ << std::endl; });
}

Exit runAgentCommand(const CommandLine &line)
{
    Exit exit = Exit::Ok;
    std::string file;
    const auto settings = loadNamedSettings(line, exit, file);
    if (settings.has_error()) {
        return exit;
    }
    const auto *agent = std::get_if<AgentSettings>(&settings.value());
    if (agent == nullptr) {
        return reportWrongRole(line);
    }
    startLog(parseLogLevel(agent->logLevel_));
    return runAgent(*agent, [](std::uint16_t port) { std::cout << "health " << port << std::endl; });
}

Exit runCellEntryCommand(const CommandLine &line)
{
    Exit exit = Exit::Ok;
    std::string file;
    const auto settings = loadNamedSettings(line, exit, file);
    if (settings.has_error()) {
        return exit;
    }
    const auto *found = std::get_if<CellEntrySettings>(&settings.value());
    if (found == nullptr) {
        return reportWrongRole(line);
    }
    CellEntrySettings entry = *found;
    entry.memory_ = entry.memory_ > 0 ? entry.memory_ : limitFromEnvironment("IBISWALL_MEMORY_MB");
    entry.maxDescriptors_ = entry.maxDescriptors_ > 0 ? entry.maxDescriptors_ : limitFromEnvironment("IBISWALL_MAX_DESCRIPTORS");
    return node::runCellEntry(entry, file);
}

Exit runCellAgentCommand(const CommandLine &line)
{
    Exit exit = Exit::Ok;
    std::string file;
    const auto settings = loadNamedSettings(line, exit, file);
    if (settings.has_error()) {
        return exit;
    }
    const auto *agent = std::get_if<CellAgentSettings>(&settings.value());
    return agent == nullptr ? reportWrongRole(line) : node::runCellAgent(*agent, file);
}

Exit runCheckSettings(const CommandLine &line)
{
    po::options_description options = settingsOptions();
    options.add_options()("json", "print the verdict as JSON: ok, and the problems");
    const ParsedOptions parsed = parseOptions(line, options, settingsPosition(), "FILE");
    if (parsed.finished_) {
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
        printCheckResult(problems);
    } else if (settings.has_error()) {
        std::cerr << problems << '\n';
    } else {
        std::cout << "settings are good\n";
    }
    return settings.has_error() ? Exit::Settings : Exit::Ok;
}

} // namespace ibiswall
