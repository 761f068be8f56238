// Option parsing on Boost.Program_options.

#include "options.hpp"

#include <iostream>

namespace ibiswall {

ParsedOptions parseOptions(const CommandLine &line,
                           po::options_description options,
                           const po::positional_options_description &positions,
                           const char *operands)
{
    options.add_options()("help", "show this help");
    ParsedOptions parsed;
    try {
        po::store(po::command_line_parser(line.arguments_).options(options).positional(positions).run(), parsed.values_);
        if (parsed.values_.count("help") != 0) {
            std::cout << "usage: ibiswall " << line.command_ << " [OPTIONS] " << operands << '\n' << line.summary_ << "\n\n" << options;
            parsed.finished_ = true;
            return parsed;
        }
        po::notify(parsed.values_);
    } catch (const po::error &error) {
        std::cerr << "ibiswall " << line.command_ << ": " << error.what() << '\n';
        parsed.finished_ = true;
        parsed.exit_ = Exit::Usage;
    }
    return parsed;
}

} // namespace ibiswall
