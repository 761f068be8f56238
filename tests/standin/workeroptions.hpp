// Command line of the stand-in for a worker.

#pragma once

#include <boost/program_options.hpp>
#include <ibiswall/net.hpp>

namespace ibiswall {

struct WorkerOptions
{
    std::string id_;
    std::string address_;
    Address agentAddress_;
    std::string domain_;
    std::string recordFile_;
    std::int64_t cpu_ = 8000;
    /// How long a stop takes, and each reply.
    std::int64_t stopMillis_ = 0;
    std::int64_t replyMillis_ = 0;
    /// Fraction of orders that are executed late and never answered, from 0 to 1.
    double lateOrderRatio_ = 0;
    std::uint32_t seed_ = 1;
};

inline WorkerOptions parseWorkerOptions(int argc, char **argv)
{
    namespace po = boost::program_options;
    WorkerOptions workerOptions;
    std::string control;
    po::options_description options("options");
    options.add_options()("listen", po::value(&workerOptions.address_)->required(),
                          "IP:PORT")("control", po::value(&control)->required(),
                                     "IP:PORT of the agent")("id", po::value(&workerOptions.id_)->required(), "name of the worker")(
        "domain", po::value(&workerOptions.domain_)->default_value("fd-1"), "failure domain")(
        "record", po::value(&workerOptions.recordFile_)->default_value("/dev/null"), "file that receives a line for each start and end")(
        "cpu", po::value(&workerOptions.cpu_)->default_value(8000),
        "thousandths of a core")("stop-ms", po::value(&workerOptions.stopMillis_)->default_value(0), "how long a stop takes")(
        "reply-ms", po::value(&workerOptions.replyMillis_)->default_value(0), "how long a reply takes")(
        "lost", po::value(&workerOptions.lateOrderRatio_)->default_value(0),
        "share of orders that are not answered and carried out late")("seed", po::value(&workerOptions.seed_)->default_value(1), "seed");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    workerOptions.agentAddress_ = parseAddress(control).value();
    return workerOptions;
}

} // namespace ibiswall
