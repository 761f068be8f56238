// The commands that run processes and check their settings.

#include "commands.hpp"
#include "options.hpp"

#include <ibiswall/agent.hpp>
#include <ibiswall/entry.hpp>
#include <ibiswall/log.hpp>
#include <iostream>

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

// Reads the settings file that the command line names.
Result<Settings> loadNamed(const CommandLine &line, Exit &ended)
{
    po::options_description options("options");
    options.add_options()("settings", po::value<std::string>()->required(), "settings file, JSON with comments");
    po::positional_options_description positions;
    positions.add("settings", 1);
    const ParsedOptions parsed = parseOptions(line, options, positions, "FILE");
    if (parsed.ended_) {
        ended = parsed.exit_;
        return Error{Code::BadUsage, {}};
    }
    auto settings = loadSettings(parsed.values_["settings"].as<std::string>());
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
    const auto settings = loadNamed(line, ended);
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
    const auto settings = loadNamed(line, ended);
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

Exit runCheckSettings(const CommandLine &line)
{
    Exit ended = Exit::Ok;
    const auto settings = loadNamed(line, ended);
    if (settings.has_error()) {
        return ended;
    }
    std::cout << "settings are good\n";
    return Exit::Ok;
}

} // namespace ibiswall
