// The commands of the ibiswall program.

#pragma once

#include <ibiswall/cli.hpp>

namespace ibiswall {

/// The invocation of a command.
struct CommandLine
{
    std::string command_;
    /// What the command does, for its help text.
    std::string summary_;
    std::vector<std::string> arguments_;
};

Exit runEntryCommand(const CommandLine &line);
Exit runAgentCommand(const CommandLine &line);
Exit runCellEntryCommand(const CommandLine &line);
Exit runCellAgentCommand(const CommandLine &line);
Exit runExplain(const CommandLine &line);
Exit runCheckSettings(const CommandLine &line);
Exit runSubmit(const CommandLine &line);
Exit runCancel(const CommandLine &line);
Exit runPlan(const CommandLine &line);
Exit runConfirm(const CommandLine &line);
Exit runStatus(const CommandLine &line);
Exit runAudit(const CommandLine &line);

} // namespace ibiswall
