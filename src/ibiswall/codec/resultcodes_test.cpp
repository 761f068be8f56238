// Checks the documented table of result codes against the code.

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <ibiswall/codec.hpp>
#include <map>
#include <sstream>

namespace ibiswall {

namespace {

constexpr int maxCode = 1000;

struct Row
{
    std::string name_;
    std::string meaning_;
    std::string status_;
    std::string advice_;
};

std::vector<std::string> splitCells(const std::string &line)
{
    std::vector<std::string> cells;
    std::istringstream in(line);
    for (std::string cell; std::getline(in, cell, '|');) {
        const auto first = cell.find_first_not_of(' ');
        const auto last = cell.find_last_not_of(' ');
        cells.push_back(first == std::string::npos ? std::string() : cell.substr(first, last - first + 1));
    }
    return cells;
}

// Returns the table rows of five cells whose first cell is a number.
std::map<int, Row> documentedRows()
{
    std::map<int, Row> rows;
    std::ifstream in(PROJECT_FOLDER "/docs/RESULT_CODES.md");
    for (std::string line; std::getline(in, line);) {
        const auto cells = splitCells(line);
        if (cells.size() == 6 && !cells[1].empty() && std::isdigit(static_cast<unsigned char>(cells[1][0])) != 0) {
            BOOST_TEST(rows.emplace(std::stoi(cells[1]), Row{cells[2], cells[3], cells[4], cells[5]}).second, line);
        }
    }
    return rows;
}

bool isDefined(int number)
{
    return describe(static_cast<Code>(number)) != "unknown code";
}

} // namespace

BOOST_AUTO_TEST_SUITE(resultcodes)

BOOST_AUTO_TEST_CASE(every_code_is_documented)
{
    const auto rows = documentedRows();
    for (int number = 0; number < maxCode; ++number) {
        const auto row = rows.find(number);
        BOOST_TEST(isDefined(number) == (row != rows.end()), "code " << number);
        if (!isDefined(number) || row == rows.end()) {
            continue;
        }
        const Code code = static_cast<Code>(number);
        BOOST_TEST(row->second.meaning_ == describe(code));
        BOOST_TEST(row->second.status_ == std::to_string(httpStatus(code)), "status of code " << number);
        BOOST_TEST(!row->second.name_.empty());
        BOOST_TEST(!row->second.advice_.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
