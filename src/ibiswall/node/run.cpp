// Runs the processes of a cell, each on one event loop: on a fraction of a core a second thread costs more than it gives.

#include "agentnode.hpp"
#include "entrynode.hpp"
#include <csignal>
#include <ibiswall/log/eventlog.hpp>
#include <ibiswall/node.hpp>

namespace ibiswall::node {

namespace {

template<typename Node, typename Settings>
Exit run(const Settings &settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    startEventLog(settings.name_);
    boost::asio::io_context io(1);
    Node node(io, settings);
    const auto started = node.start();
    if (started.has_error()) {
        logEvent("process.failed", {{"reason", std::string_view(started.error().text_)}});
        return Exit::CannotListen;
    }
    io.run();
    return Exit::Ok;
}

} // namespace

Exit runCellEntry(const CellEntrySettings &settings)
{
    return run<EntryNode>(settings);
}

Exit runCellAgent(const CellAgentSettings &settings)
{
    return run<AgentNode>(settings);
}

} // namespace ibiswall::node
