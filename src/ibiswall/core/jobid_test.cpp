// Tests the text form and the expiry of job ids.

#include <boost/test/unit_test.hpp>
#include <ibiswall/core.hpp>

namespace ibiswall {

BOOST_AUTO_TEST_SUITE(jobid)

BOOST_AUTO_TEST_CASE(text_form_round_trips)
{
    const JobId id{{"entry-1", 0xabcdef}, {1234567}, 42, 0xfeed};
    const auto parsed = parseJobId(format(id));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(format(parsed.value()) == format(id));
    BOOST_TEST((parsed.value().owner_ == id.owner_));
}

BOOST_AUTO_TEST_CASE(rejects_malformed_text)
{
    for (const char *text : {"", "x", "entry-1.1.2.3", "entry-1.1.2.3.4.5", "Entry.1.2.3.4", "entry-1.g.2.3.4", "entry-1..2.3.4"}) {
        BOOST_TEST(parseJobId(text).has_error());
    }
}

BOOST_AUTO_TEST_CASE(ids_expire)
{
    const JobId id{{"entry-1", 1}, {1000}, 1, 1};
    BOOST_TEST(!isExpired(id, {1500}, {500}));
    BOOST_TEST(isExpired(id, {1501}, {500}));
}

BOOST_AUTO_TEST_CASE(later_start_gets_higher_incarnation_number)
{
    BOOST_TEST(makeIncarnationNumber({1000}, ~0ULL) < makeIncarnationNumber({1001}, 0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
