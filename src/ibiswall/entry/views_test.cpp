// Tests the descriptions of configuration changes.

#include "views.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall {

BOOST_AUTO_TEST_SUITE(views)

BOOST_AUTO_TEST_CASE(describes_changes_after_a_version)
{
    std::deque<Change> changes;
    for (std::uint64_t version = 1; version <= 3; ++version) {
        changes.push_back(
            {version, "id", "ana", "storm", {0}, {IntentOp::DomainOut, "fd-" + std::to_string(version), {}, {}}, "in", "out"});
    }
    BOOST_TEST(describeSince(changes, 3).empty());
    BOOST_TEST(describeSince(changes, 2) == "; version 3 by ana: domain-out fd-3, before in, after out");
    BOOST_TEST(describeSince(changes, 1).find("version 2 by ana") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refers_to_audit_trail_after_ten_changes)
{
    std::deque<Change> changes;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        changes.push_back({version, "id", "ana", "storm", {0}, {IntentOp::DomainOut, "fd", {}, {}}, "in", "out"});
    }
    const std::string text = describeSince(changes, 0);
    BOOST_TEST(text.find("version 10 ") != std::string::npos);
    BOOST_TEST(text.find("version 11 ") == std::string::npos);
    BOOST_TEST(text.find("audit trail") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
