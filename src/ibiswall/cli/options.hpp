// Parses the options of a command.

#pragma once

#include "commands.hpp"

#include <boost/program_options.hpp>

namespace ibiswall {

namespace po = boost::program_options;

/// The options of a command as given, or the exit code that ends the command at once.
struct ParsedOptions
{
    po::variables_map values_;
    /// Set after --help or a mistake, which has been printed.
    bool ended_ = false;
    Exit exit_ = Exit::Ok;
};

/// Parses and prints help or the mistake.
/// @param operands what follows the options in the usage line, such as "FILE"
ParsedOptions parseOptions(const CommandLine &line,
                           po::options_description options,
                           const po::positional_options_description &positions,
                           const char *operands);

} // namespace ibiswall
