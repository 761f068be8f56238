// The story of a job from recorded logs.

#include "commands.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace ibiswall {

namespace {

// A folder with the logs of two processes of a day with a fault, as recorded.
struct Logs
{
    Logs()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "ibiswall-logs-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        std::ofstream(folder_ / "entry")
            << R"(  27.8 front-1 {"at":1000,"node":"front-1","event":"job.received","job":"5c0e7a21d94b36f8","queue":"r"})" << '\n'
            << R"({"at":1900,"node":"front-1","event":"lead.changed","epoch":31,"leader":"front-2"})" << '\n'
            << "not a line of ours\n{\"broken\n"
            << R"({"at":2400,"node":"front-1","event":"request.unsettled","job":"5c0e7a21d94b36f8","cancel":0})" << '\n'
            << R"({"at":9000,"node":"front-1","event":"lead.changed","epoch":32,"leader":"front-1"})" << '\n';
        std::ofstream(folder_ / "leader")
            << R"({"at":1005,"node":"front-2","event":"run.placed","job":"5c0e7a21d94b36f8","task":0,"run":7,"agent":"side-1"})" << '\n'
            << R"({"at":1500,"node":"front-2","event":"run.placed","job":"0000000000000000","task":0,"run":8,"agent":"side-1"})" << '\n'
            << R"({"at":1700,"node":"front-2","event":"agent.lost","agent":"side-1","granted_ms_ago":1226})" << '\n';
    }

    ~Logs()
    {
        std::filesystem::remove_all(folder_);
    }

    std::filesystem::path folder_;
};

// Runs the command and returns what it prints.
std::string explain(const std::vector<std::string> &arguments, Exit expected)
{
    std::ostringstream out;
    std::ostringstream errors;
    auto *before = std::cout.rdbuf(out.rdbuf());
    auto *errorsBefore = std::cerr.rdbuf(errors.rdbuf());
    const Exit exit = runExplain({"explain", "", arguments});
    std::cout.rdbuf(before);
    std::cerr.rdbuf(errorsBefore);
    BOOST_TEST((exit == expected));
    return out.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(explain_command)

BOOST_AUTO_TEST_CASE(prints_the_lines_of_a_job_and_what_was_believed_meanwhile_in_order)
{
    const Logs logs;
    const std::string story
        = explain({"5c0e7a21d94b36f8", (logs.folder_ / "leader").string(), (logs.folder_ / "entry").string()}, Exit::Ok);
    BOOST_TEST(story
               == "0 ms  front-1  job.received  queue=r\n"
                  "5 ms  front-2  run.placed  agent=side-1  run=7  task=0\n"
                  "700 ms  front-2  agent.lost  agent=side-1  granted_ms_ago=1226\n"
                  "900 ms  front-1  lead.changed  epoch=31  leader=front-2\n"
                  "1400 ms  front-1  request.unsettled  cancel=0\n");
}

BOOST_AUTO_TEST_CASE(says_when_no_line_names_the_job_or_a_file_cannot_be_read)
{
    const Logs logs;
    explain({"ffffffffffffffff", (logs.folder_ / "entry").string()}, Exit::Failed);
    explain({"5c0e7a21d94b36f8", (logs.folder_ / "none").string()}, Exit::Failed);
    explain({"5c0e7a21d94b36f8"}, Exit::Usage);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
