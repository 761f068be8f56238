// Tests the names and labels of the HTTP request metrics.

#include "httpmetrics.hpp"

#include <boost/test/unit_test.hpp>

namespace ibiswall {

BOOST_AUTO_TEST_SUITE(httpmetrics)

BOOST_AUTO_TEST_CASE(counts_replies_by_route_and_status)
{
    HttpMetrics metrics;
    metrics.observe("/v1/jobs/a", 200, {40});
    metrics.observe("/v1/jobs/b", 200, {400});
    for (int i = 0; i < 100; ++i) {
        metrics.observe("/nothing/" + std::to_string(i), 404, {0});
    }
    const std::string text = metrics.text();
    for (const char *line :
         {"ibiswall_http_replies_total{route=\"jobs\",status=\"200\"} 2", "ibiswall_http_replies_total{route=\"other\",status=\"404\"} 100",
          "ibiswall_http_request_seconds_bucket{route=\"jobs\",le=\"0.05\"} 1",
          "ibiswall_http_request_seconds_bucket{route=\"jobs\",le=\"0.5\"} 2"}) {
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
    BOOST_TEST(text.find("nothing") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall
