// Parses the options of a command.

#pragma once

#include "commands.hpp"

#include <boost/program_options.hpp>

namespace ibiswall {

namespace po = boost::program_options;

/// The parsed options of a command, or the exit code if the command must end at once.
struct ParsedOptions
{
    po::variables_map values_;
    /// Set when the help or an error has been printed.
    bool finished_ = false;
    Exit exit_ = Exit::Ok;
};

/// Parses the options. Prints the help for --help, and any error.
/// @param operands positional arguments in the usage line, such as "FILE"
ParsedOptions parseOptions(const CommandLine &line,
                           po::options_description options,
                           const po::positional_options_description &positions,
                           const char *operands);

} // namespace ibiswall
