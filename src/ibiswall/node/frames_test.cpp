// Tests that frames round-trip and that invalid bytes are rejected.

#include "frames.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace ibiswall::node {

namespace {

std::vector<Frame> samples()
{
    cell::TargetInfo info;
    info.id_ = "t";
    info.labels_ = {"a", "r1"};
    info.responsive_ = false;
    ReportFrame report;
    report.epoch_ = 3;
    report.report_.full_ = true;
    report.report_.number_ = 8;
    report.report_.info_ = info;
    report.report_.running_ = {{{"j", 1, 2}, 9}};
    report.report_.results_ = {{4, {{"j", 0, 1}, 5}, cell::RunOutcome::Failed, "c"}};
    report.report_.rejected_ = {{{{"j", 0, 0}, 6}, true}};
    report.report_.crashes_ = {{{{"j", 0, 0}, 6}, true, true, {250}}};
    report.report_.unlistedResults_ = true;
    OrdersFrame orders;
    orders.report_ = 8;
    orders.starts_ = {{{}, {{"j", 0, 0}, 1}, "same", {}, true}, {{}, {{"j", 0, 1}, 2}, "same", "c", false}};
    orders.stops_ = {{{}, {{"k", 0, 0}, 3}}};
    orders.acknowledged_ = 12;
    HeartbeatFrame heartbeat;
    heartbeat.leader_ = "e1";
    heartbeat.steppedDown_ = true;
    heartbeat.accepting_ = true;
    heartbeat.holdOffFrom_ = {77};
    heartbeat.waiting_ = {{"q", 2}};
    heartbeat.contained_ = {"q"};
    heartbeat.successor_ = "e2";
    heartbeat.interfering_ = {{"q/0", "image", 1.5}};
    heartbeat.waits_ = {{"q", {250}}};
    OffersFrame offers;
    offers.offers_.emplace_back();
    offers.offers_.back().id_ = "j";
    offers.offers_.back().domain_ = "fd-1";
    const NoticesFrame notices{3, true, {{"j", cell::JobState::Refused, {}, {1500}}, {"k", cell::JobState::Completed, {}}}};
    return {LeadFrame{4},
            PingFrame{4, {5}},
            PongFrame{4, {5}, {6}},
            report,
            orders,
            heartbeat,
            CancelFrame{"j", true},
            UnknownJobFrame{"j"},
            offers,
            notices,
            HandoverRequestFrame{3, {9}},
            HandoverFrame{3, {9}, {{"a1", 4}}},
            CancelRefusedFrame{"j"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(frames)

BOOST_AUTO_TEST_CASE(round_trip)
{
    for (const Frame &frame : samples()) {
        const auto decoded = parseFrame(formatFrame(frame));
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded.value().index() == frame.index());
        BOOST_TEST(formatFrame(decoded.value()) == formatFrame(frame));
    }
}

// Leaders of earlier versions do not number their announcements.
BOOST_AUTO_TEST_CASE(term_of_an_announcement_is_optional)
{
    nlohmann::json json = nlohmann::json::from_cbor(formatFrame(LeadFrame{4, 5, 6}));
    json.at(1).erase(2);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(json);
    const auto decoded = parseFrame({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(std::get<LeadFrame>(decoded.value()).term_ == 0U);
}

// An entry of an earlier version neither names its failure domain, nor is a leader of one able to say when a caller should return.
BOOST_AUTO_TEST_CASE(fields_of_admission_control_are_optional)
{
    for (Frame &frame : samples()) {
        nlohmann::json json = nlohmann::json::from_cbor(formatFrame(frame));
        if (std::holds_alternative<OffersFrame>(frame)) {
            json.at(1).at(0).erase(6);
        } else if (std::holds_alternative<NoticesFrame>(frame)) {
            json.at(1).at(2).at(0).erase(2);
        } else if (std::holds_alternative<HeartbeatFrame>(frame)) {
            json.at(1).erase(15);
        } else {
            continue;
        }
        const auto bytes = nlohmann::json::to_cbor(json);
        const auto decoded = parseFrame(std::string(bytes.begin(), bytes.end()));
        BOOST_REQUIRE(decoded.has_value());
        if (const auto *offers = std::get_if<OffersFrame>(&decoded.value())) {
            BOOST_TEST(offers->offers_.front().domain_.empty());
        } else if (const auto *notices = std::get_if<NoticesFrame>(&decoded.value())) {
            BOOST_TEST((notices->notices_.front().retryAfter_ == Millis{0}));
        } else if (const auto *heartbeat = std::get_if<HeartbeatFrame>(&decoded.value())) {
            BOOST_TEST(heartbeat->waits_.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(entry_of_an_earlier_version_accepts_jobs_unless_it_is_leaving)
{
    for (const bool leaving : {false, true}) {
        HeartbeatFrame heartbeat;
        heartbeat.leaving_ = leaving;
        nlohmann::json json = nlohmann::json::from_cbor(formatFrame(heartbeat));
        // Neither the predicted waits nor the successor nor the interfering pairs nor the contained queues nor the interval of the
        // heartbeats nor whether it accepts jobs.
        constexpr std::size_t laterFields = 6;
        for (std::size_t i = 0; i < laterFields; ++i) {
            json.at(1).erase(json.at(1).size() - 1);
        }
        const auto bytes = nlohmann::json::to_cbor(json);
        const auto decoded = parseFrame({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(std::get<HeartbeatFrame>(decoded.value()).accepting_ == !leaving);
    }
}

BOOST_AUTO_TEST_CASE(encodes_a_shared_payload_once)
{
    OrdersFrame orders;
    for (std::uint32_t i = 0; i < 10; ++i) {
        orders.starts_.push_back({{}, {{"j", 0, i}, i}, std::string(4000, 'x'), {}, true});
    }
    BOOST_TEST(formatFrame(orders).size() < 5000U);
}

BOOST_AUTO_TEST_CASE(rejects_truncated_frames_and_survives_corrupted_ones)
{
    std::minstd_rand rng(1);
    for (const Frame &frame : samples()) {
        const std::string bytes = formatFrame(frame);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            BOOST_TEST(parseFrame(std::string_view(bytes).substr(0, length)).has_error());
        }
        for (int i = 0; i < 500; ++i) {
            std::string changed = bytes;
            changed[rng() % changed.size()] = static_cast<char>(rng());
            const auto ignored = parseFrame(changed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::node
