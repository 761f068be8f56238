// Tests the timeline of a job built from recorded logs.

#include "commands.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace ibiswall {

namespace {

// A temporary folder with recorded log lines of two processes during a leader change.
struct LogFolder
{
    LogFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-logs-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
        std::ofstream(path_ / "entry")
            << R"(  27.8 front-1 {"at":1000,"node":"front-1","event":"job.received","job":"5c0e7a21d94b36f8","queue":"r"})" << '\n'
            << R"({"at":1900,"node":"front-1","event":"lead.changed","epoch":31,"leader":"front-2"})" << '\n'
            << "not a line of ours\n{\"broken\n"
            << R"({"at":2400,"node":"front-1","event":"request.unsettled","job":"5c0e7a21d94b36f8","cancel":0})" << '\n'
            << R"({"at":9000,"node":"front-1","event":"lead.changed","epoch":32,"leader":"front-1"})" << '\n';
        std::ofstream(path_ / "leader")
            << R"({"at":1005,"node":"front-2","event":"run.placed","job":"5c0e7a21d94b36f8","task":0,"run":7,"agent":"side-1"})" << '\n'
            << R"({"at":1500,"node":"front-2","event":"run.placed","job":"0000000000000000","task":0,"run":8,"agent":"side-1"})" << '\n'
            << R"({"at":1700,"node":"front-2","event":"agent.lost","agent":"side-1","granted_ms_ago":1226})" << '\n';
    }

    ~LogFolder()
    {
        std::filesystem::remove_all(path_);
    }

    std::filesystem::path path_;
};

// Runs the command, checks its exit code, and returns its output.
std::string explain(const std::vector<std::string> &arguments, Exit expected)
{
    std::ostringstream out;
    std::ostringstream errors;
    auto *previousOut = std::cout.rdbuf(out.rdbuf());
    auto *previousErrors = std::cerr.rdbuf(errors.rdbuf());
    const Exit exit = runExplain({"explain", "", arguments});
    std::cout.rdbuf(previousOut);
    std::cerr.rdbuf(previousErrors);
    BOOST_TEST((exit == expected));
    return out.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(explain_command)

BOOST_AUTO_TEST_CASE(prints_job_lines_and_nearby_cell_events_in_order)
{
    const LogFolder logs;
    const std::string timeline = explain({"5c0e7a21d94b36f8", (logs.path_ / "leader").string(), (logs.path_ / "entry").string()}, Exit::Ok);
    BOOST_TEST(timeline
               == "0 ms  front-1  job.received  queue=r\n"
                  "5 ms  front-2  run.placed  agent=side-1  run=7  task=0\n"
                  "700 ms  front-2  agent.lost  agent=side-1  granted_ms_ago=1226\n"
                  "900 ms  front-1  lead.changed  epoch=31  leader=front-2\n"
                  "1400 ms  front-1  request.unsettled  cancel=0\n");
}

BOOST_AUTO_TEST_CASE(fails_for_unknown_job_unreadable_file_or_missing_argument)
{
    const LogFolder logs;
    explain({"ffffffffffffffff", (logs.path_ / "entry").string()}, Exit::Failed);
    explain({"5c0e7a21d94b36f8", (logs.path_ / "none").string()}, Exit::Failed);
    explain({"5c0e7a21d94b36f8"}, Exit::Usage);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
