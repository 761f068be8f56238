// Runs the processes of a cell. Each has a single event loop, since a second thread does not pay off on a fraction of a core.

#include "agentnode.hpp"
#include "entrynode.hpp"
#include "eventloop.hpp"
#include "settingswatch.hpp"
#include <csignal>
#include <cstdlib>
#include <ibiswall/log/eventlog.hpp>
#include <ibiswall/node.hpp>

namespace ibiswall::node {

namespace {

template<typename Node, typename OwnSettings>
Exit run(const OwnSettings &settings, const std::string &file)
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
        if (const auto *own = std::get_if<OwnSettings>(&changed)) {
            node.apply(*own);
        }
    });
    watch.start();
    runEventLoop(io);
    // Exits without destroying pending operations: nothing outlives the process, and peers see the connections close at once.
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
