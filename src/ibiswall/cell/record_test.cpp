// Tests encoding and decoding of stored records.

#include "testparts.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall::cell {

BOOST_AUTO_TEST_SUITE(record)

BOOST_AUTO_TEST_CASE(round_trips)
{
    JobRecord record = testJob("j1", {testStep(9)}, false).record_;
    record.nonce_ = "n";
    record.spec_.steps_[0].after_ = {};
    record.spec_.steps_[0].requiredLabel_ = "b";
    record.spec_.steps_[0].image_ = "i";
    record.spec_.acceptedBy_ = testConfig().queues_.at("urgent");
    record.progress_.state_ = JobState::Running;
    record.progress_.done_ = {true, false, false, false, false, false, false, false, true};
    record.progress_.failedRuns_ = {{3, 77}};
    record.progress_.crashes_ = {{2, 78, true, true}};
    const auto back = parseRecord(formatRecord(record));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back.value().spec_.queue_ == "urgent");
    BOOST_TEST(back.value().spec_.steps_[0].requiredLabel_ == "b");
    BOOST_TEST(back.value().spec_.steps_[0].image_ == "i");
    BOOST_REQUIRE(back.value().spec_.acceptedBy_.has_value());
    BOOST_TEST(back.value().spec_.acceptedBy_->service_ == "desk");
    BOOST_TEST(back.value().spec_.acceptedBy_->maxAttempts_ == 2U);
    BOOST_TEST(back.value().spec_.acceptedBy_->stretch_ == 1.6);
    BOOST_TEST((back.value().progress_.done_ == record.progress_.done_));
    BOOST_TEST((back.value().progress_.failedRuns_ == record.progress_.failedRuns_));
    BOOST_REQUIRE(back.value().progress_.crashes_.size() == 1U);
    BOOST_TEST(back.value().progress_.crashes_[0].task_ == 2U);
    BOOST_TEST(back.value().progress_.crashes_[0].run_ == 78U);
    BOOST_TEST(back.value().progress_.crashes_[0].suspected_);
    BOOST_TEST(back.value().progress_.crashes_[0].started_);
}

BOOST_AUTO_TEST_CASE(reads_steps_of_earlier_versions_without_an_image)
{
    const std::string bytes = formatRecord(testJob("j1", {testStep(9)}, false).record_);
    nlohmann::json json = nlohmann::json::from_cbor(bytes);
    nlohmann::json &step = json.at(4).at(2).at(0);
    step.erase(step.size() - 1);
    const std::vector<std::uint8_t> earlier = nlohmann::json::to_cbor(json);
    const auto back = parseRecord({reinterpret_cast<const char *>(earlier.data()), earlier.size()});
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back.value().spec_.steps_[0].count_ == 9U);
    BOOST_TEST(back.value().spec_.steps_[0].image_.empty());
}

BOOST_AUTO_TEST_CASE(final_record_is_short)
{
    JobRecord record = testJob("j1", {testStep(9)}, false).record_;
    record.spec_.payload_ = std::string(4000, 'x');
    record.progress_.state_ = JobState::Completed;
    const std::string bytes = formatRecord(record);
    BOOST_TEST(bytes.size() < 100U);
    BOOST_TEST((parseRecord(bytes).value().progress_.state_ == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(reads_records_of_withdrawn_jobs_and_rejects_those_of_refused_ones)
{
    JobRecord record;
    record.progress_.state_ = JobState::Withdrawn;
    const auto back = parseRecord(formatRecord(record));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back.value().progress_.state_ == JobState::Withdrawn));
    record.progress_.state_ = JobState::Refused;
    BOOST_TEST(parseRecord(formatRecord(record)).has_error());
}

BOOST_AUTO_TEST_CASE(handles_truncated_and_corrupted_records)
{
    const std::string bytes = formatRecord(testJob("j1", {testStep(3)}, false).record_);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(parseRecord(std::string_view(bytes).substr(0, length)).has_error());
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ 0x55);
        const auto ignored = parseRecord(changed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
