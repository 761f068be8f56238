// Runs the processes of a cell, each on one event loop: on a fraction of a core a second thread costs more than it gives.

#include "agentnode.hpp"
#include "entrynode.hpp"
#include "settingswatch.hpp"
#include <csignal>
#include <cstdlib>
#include <ibiswall/log/eventlog.hpp>
#include <ibiswall/node.hpp>

namespace ibiswall::node {

namespace {

template<typename Node, typename Own>
Exit run(const Own &settings, const std::string &file)
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
    SettingsWatch watch(io, file, [&node](const Settings &changed) {
        if (const auto *own = std::get_if<Own>(&changed)) {
            node.apply(*own);
        }
    });
    watch.start();
    io.run();
    // Nothing outlives the process, and the peers are to see it end at once: what is pending is not taken apart.
    std::_Exit(static_cast<int>(Exit::Ok));
}

} // namespace

Exit runCellEntry(const CellEntrySettings &settings, const std::string &file)
{
    return run<EntryNode>(settings, file);
}

Exit runCellAgent(const CellAgentSettings &settings, const std::string &file)
{
    return run<AgentNode>(settings, file);
}

} // namespace ibiswall::node
