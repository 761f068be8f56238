// Tests which jobs an entry refuses under overload.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr Now start{{1000}, {1000000}};
constexpr Millis runTime{500};

Dispatcher makeEntry()
{
    Dispatcher entry;
    entry.self_ = {"entry-1", 7};
    entry.configuration_.kinds_["alert"] = Kind{3, false, {2000}};
    entry.configuration_.kinds_["reminder"] = Kind{1, false, {2000}};
    entry.overload_.sojourn_ = static_cast<double>(runTime.count_);
    DispatchActions actions;
    joinAgent(entry, start, 1, AgentInfo{{"a", 1}, {"a", "worker-a", "east"}, 1, 1}, actions);
    return entry;
}

void send(Dispatcher &entry, const std::string &member, const std::string &kind, CallerRef caller, DispatchActions &actions)
{
    Submission submission;
    submission.id_ = issueId(entry, start);
    submission.member_ = member;
    submission.kind_ = kind;
    submission.payloads_ = {"text"};
    submit(entry, start, std::move(submission), caller, actions);
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

BOOST_AUTO_TEST_CASE(refuses_least_valuable_job_first_and_immediately)
{
    Dispatcher entry = makeEntry();
    DispatchActions actions;
    send(entry, "studio", "reminder", 1, actions);
    send(entry, "studio", "reminder", 2, actions);
    send(entry, "studio", "alert", 3, actions);
    BOOST_TEST(actions.answers_.empty());
    send(entry, "studio", "alert", 4, actions);
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    BOOST_TEST(actions.answers_.front().caller_ == 2U);
    BOOST_TEST((actions.answers_.front().answer_->code_ == Code::Overloaded));
    BOOST_TEST(actions.answers_.front().answer_->retryAfter_.count_ >= 1500);
    BOOST_TEST(entry.queue_.size_ == 2U);
    BOOST_TEST(entry.openTasks_.at("studio") == 3U);
}

BOOST_AUTO_TEST_CASE(flood_of_one_member_causes_no_refusals_for_others)
{
    Dispatcher entry = makeEntry();
    DispatchActions actions;
    for (CallerRef caller = 1; caller <= 20; ++caller) {
        send(entry, "rival", "alert", caller, actions);
    }
    const std::size_t refused = actions.answers_.size();
    BOOST_TEST(refused > 0U);
    send(entry, "studio", "reminder", 99, actions);
    BOOST_TEST(actions.answers_.size() == refused);
}

BOOST_AUTO_TEST_CASE(refused_id_can_be_resubmitted)
{
    Dispatcher entry = makeEntry();
    DispatchActions actions;
    Submission job;
    job.id_ = issueId(entry, start);
    job.member_ = "studio";
    job.kind_ = "reminder";
    job.payloads_ = {"text"};
    for (CallerRef caller = 1; caller <= 3; ++caller) {
        send(entry, "studio", "alert", caller, actions);
    }
    submit(entry, start, job, 4, actions);
    BOOST_REQUIRE(actions.answers_.size() == 1U);
    loseAgent(entry, start, 1, actions);
    submit(entry, start, job, 5, actions);
    BOOST_TEST(entry.callers_.count(5) == 1U);
}

BOOST_AUTO_TEST_CASE(sustained_backlog_lowers_wait_limit)
{
    TaskQueue queue;
    push(queue, {0}, "studio", {1, {2000}, {2000}, 1, {1, 0}});
    BOOST_TEST(waitLimit(queue, {5000}, {2000}).count_ == 1400);
    BOOST_TEST(waitLimit(queue, {5001}, {2000}).count_ == 200);
    pop(queue);
    BOOST_TEST(waitLimit(queue, {5001}, {2000}).count_ == 1400);
}

BOOST_AUTO_TEST_CASE(does_not_answer_disconnected_caller)
{
    Dispatcher entry = makeEntry();
    DispatchActions actions;
    send(entry, "studio", "alert", 1, actions);
    dropCaller(entry, 1);
    BOOST_TEST(entry.callers_.empty());
    loseAgent(entry, start, 1, actions);
    BOOST_TEST(actions.answers_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
