// Tests that a job whose answer was evicted does not run again and is not disclosed to other members.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

namespace {

constexpr Now start{{1000}, {1000000}};
constexpr std::size_t jobs = 50;

// Makes an entry with one agent and space for only a few answers.
Dispatcher makeSmallEntry(DispatchActions &actions)
{
    Dispatcher entry;
    entry.self_ = {"entry-1", 7};
    entry.configuration_.kinds_["note"] = Kind{1, false, {1000}};
    entry.limits_.maxAnswerBytes_ = 2000;
    joinAgent(entry, start, 1, AgentInfo{{"a", 1}, {"a", "w", "east"}, 8, 8}, actions);
    return entry;
}

Submission makeJob(Dispatcher &entry)
{
    Submission submission;
    submission.id_ = issueId(entry, start);
    submission.member_ = "studio";
    submission.kind_ = "note";
    submission.bodyHash_ = 5;
    submission.payloads_ = {"text"};
    return submission;
}

// Runs one job to completion and returns its submission.
Submission runJob(Dispatcher &entry)
{
    DispatchActions actions;
    Submission job = makeJob(entry);
    submit(entry, start, job, 1, actions);
    TaskReport report;
    report.key_ = actions.orders_.at(0).orders_.at(0).key_;
    report.outcome_ = {TaskState::Done, Code::Ok, std::string(100, 'x')};
    applyReports(entry, start, 1, Span<const TaskReport>(&report, 1), actions);
    return job;
}

Code resubmit(Dispatcher &entry, const Submission &job)
{
    DispatchActions actions;
    submit(entry, start, job, 2, actions);
    BOOST_TEST(actions.orders_.empty());
    return actions.answers_.at(0).answer_->code_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tombstones)

BOOST_AUTO_TEST_CASE(evicts_oldest_answers_and_never_reruns_their_jobs)
{
    DispatchActions actions;
    Dispatcher entry = makeSmallEntry(actions);
    std::vector<Submission> submitted;
    for (std::size_t i = 0; i < jobs; ++i) {
        submitted.push_back(runJob(entry));
        BOOST_TEST(entry.answerBytes_ <= entry.limits_.maxAnswerBytes_);
    }
    BOOST_TEST(entry.jobs_.size() < jobs);
    BOOST_TEST(entry.jobs_.size() + entry.tombstones_.size() == jobs);
    BOOST_TEST((resubmit(entry, submitted.front()) == Code::AnswerDropped));
    BOOST_TEST((resubmit(entry, submitted.back()) == Code::Ok));
}

BOOST_AUTO_TEST_CASE(discloses_nothing_for_other_member_body_or_secret)
{
    DispatchActions actions;
    Dispatcher entry = makeSmallEntry(actions);
    Submission job = runJob(entry);
    for (std::size_t i = 0; i < jobs; ++i) {
        runJob(entry);
    }
    fetch(entry, format(job.id_), "rival", 3, actions);
    BOOST_TEST((actions.answers_.back().answer_->code_ == Code::UnknownJob));
    fetch(entry, format(job.id_), "studio", 3, actions);
    BOOST_TEST((actions.answers_.back().answer_->code_ == Code::AnswerDropped));
    job.bodyHash_ = 6;
    BOOST_TEST((resubmit(entry, job) == Code::BodyDiffers));
    job.id_.secret_ ^= 1U;
    BOOST_TEST((resubmit(entry, job) == Code::UnknownJob));
}

BOOST_AUTO_TEST_CASE(removes_tombstones_after_id_expiry)
{
    DispatchActions actions;
    Dispatcher entry = makeSmallEntry(actions);
    const Submission job = runJob(entry);
    for (std::size_t i = 0; i < jobs; ++i) {
        runJob(entry);
    }
    tick(entry, {{2000}, {1000000 + 660001}}, actions);
    BOOST_TEST(entry.tombstones_.empty());
    BOOST_TEST(entry.jobs_.empty());
    BOOST_TEST(entry.answerBytes_ == 0U);
    BOOST_TEST(entry.answerOrder_.empty());
    submit(entry, {{2000}, {1000000 + 660001}}, job, 4, actions);
    BOOST_TEST((actions.answers_.back().answer_->code_ == Code::ExpiredId));
}

BOOST_AUTO_TEST_CASE(refuses_jobs_when_tombstones_are_full)
{
    DispatchActions actions;
    Dispatcher entry = makeSmallEntry(actions);
    entry.limits_.maxTombstones_ = 10;
    for (std::size_t i = 0; i < jobs; ++i) {
        runJob(entry);
        if (entry.tombstones_.size() == entry.limits_.maxTombstones_) {
            break;
        }
    }
    BOOST_REQUIRE(entry.tombstones_.size() == entry.limits_.maxTombstones_);
    BOOST_TEST((resubmit(entry, makeJob(entry)) == Code::Overloaded));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
