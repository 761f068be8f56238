// Dispatches to the command named by the first argument.

#include <ibiswall/cli.hpp>

#include "commands.hpp"
#include <iostream>

namespace ibiswall {

namespace {

struct Command
{
    const char *name_;
    const char *summary_;
    Exit (*run_)(const CommandLine &);
};

constexpr Command commands[] = {
    {"entry", "run an entry: takes jobs and operators' intents", runEntryCommand},
    {"agent", "run an agent beside its target", runAgentCommand},
    {"cell-entry", "run an entry of a cell, whose jobs are stored", runCellEntryCommand},
    {"cell-agent", "run an agent of a cell beside its target", runCellAgentCommand},
    {"explain", "print the story of a job from the logs of a cell", runExplain},
    {"check-settings", "check a settings file", runCheckSettings},
    {"submit", "submit a job and print its whole answer", runSubmit},
    {"cancel", "give up the tasks of a job that have not been sent", runCancel},
    {"plan", "show what an intent would change", runPlan},
    {"confirm", "carry a plan out", runConfirm},
    {"status", "show what is in force", runStatus},
    {"audit", "show who changed what, when and why", runAudit},
};

void printCommands(std::ostream &out)
{
    out << "usage: ibiswall COMMAND [OPTIONS]\n\n";
    for (const Command &command : commands) {
        out << "  " << command.name_ << std::string(16 - std::string(command.name_).size(), ' ') << command.summary_ << '\n';
    }
    out << "\nibiswall COMMAND --help lists the options of a command.\n"
           "exit codes: 0 ok, 1 failed, 2 bad command line, 3 bad settings, 4 entry cannot be reached, 5 cannot listen\n";
}

} // namespace

int runCommand(Span<const std::string> arguments)
{
    if (arguments.empty()) {
        printCommands(std::cerr);
        return static_cast<int>(Exit::Usage);
    }
    if (arguments[0] == "--help" || arguments[0] == "help") {
        printCommands(std::cout);
        return static_cast<int>(Exit::Ok);
    }
    for (const Command &command : commands) {
        if (arguments[0] == command.name_) {
            return static_cast<int>(command.run_({command.name_, command.summary_, {arguments.begin() + 1, arguments.end()}}));
        }
    }
    std::cerr << "ibiswall: unknown command \"" << arguments[0] << "\"; see ibiswall --help\n";
    return static_cast<int>(Exit::Usage);
}

} // namespace ibiswall
