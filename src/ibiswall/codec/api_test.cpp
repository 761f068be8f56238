// Compares the directly formatted answer with one that is built as a JSON tree.

#include <boost/test/unit_test.hpp>
#include <ibiswall/codec.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall {

namespace {

JobAnswer makeAnswer()
{
    using namespace std::string_literals;
    JobAnswer answer;
    answer.id_ = "entry.1.2.3.4";
    answer.code_ = Code::TaskFailed;
    for (const std::string &text : {""s, "plain"s, "quote \" and \\"s, "line\nzero\0end"s, "não \xff"s, "\x7f"s}) {
        answer.tasks_.push_back({TaskState::Done, Code::Ok, text});
        answer.tasks_.push_back({TaskState::Failed, Code::TargetFailed, text});
        answer.tasks_.push_back({TaskState::NotRun, Code::DeadlinePassed, text});
        answer.tasks_.push_back({TaskState::MayHaveRun, Code::ConnectionLost, text});
    }
    return answer;
}

// Formats the answer through a JSON tree, which is slower.
std::string formatAsTree(const JobAnswer &answer)
{
    nlohmann::json json = {{"id", answer.id_},
                           {"state", answer.code_ == Code::Ok ? "complete" : "failed"},
                           {"code", static_cast<int>(answer.code_)},
                           {"reason", describe(answer.code_)},
                           {"tasks", nlohmann::json::array()}};
    for (const TaskOutcome &outcome : answer.tasks_) {
        nlohmann::json task = {{"task", json["tasks"].size()}, {"outcome", stateName(outcome.state_)}, {"code", outcome.code_}};
        if (outcome.state_ == TaskState::Done || outcome.state_ == TaskState::Failed) {
            task["answer"] = outcome.answer_;
        } else {
            task["reason"] = describe(outcome.code_);
        }
        json["tasks"].push_back(task);
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

BOOST_AUTO_TEST_SUITE(api)

BOOST_AUTO_TEST_CASE(formatted_answer_equals_json_tree)
{
    const JobAnswer answer = makeAnswer();
    BOOST_TEST(formatAnswer(answer) == formatAsTree(answer));
    BOOST_TEST(formatAnswer({"id", Code::Ok, "", {0}, {}}) == formatAsTree({"id", Code::Ok, "", {0}, {}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
