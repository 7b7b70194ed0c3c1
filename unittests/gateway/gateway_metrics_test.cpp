#include "ragwortcove/gateway/gateway_metrics.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::gateway {

TEST_CASE("metrics are rendered in the Prometheus text format")
{
    gateway_metrics metrics;
    metrics.count("requests", "route", "r-1");
    metrics.count("requests", "route", "r-1");
    metrics.observe("first_event", "r-1", std::chrono::milliseconds(250));
    const std::string text = metrics.render({{"ready", "whether this node is ready", 1.0}});
    const auto has = [&](const char* part) { return text.find(part) != std::string::npos; };
    CHECK(has("# TYPE ragwortcove_requests_total counter\n"
              "ragwortcove_requests_total{route=\"r-1\"} 2\n"));
    CHECK(has("# TYPE ragwortcove_first_event_seconds summary\n"));
    CHECK(has("ragwortcove_first_event_seconds{route=\"r-1\",quantile=\"0.50\"} "));
    CHECK(has("ragwortcove_first_event_seconds_count{route=\"r-1\"} 1\n"));
    CHECK(has("# HELP ragwortcove_ready whether this node is ready\n"
              "# TYPE ragwortcove_ready gauge\nragwortcove_ready 1.000000\n"));
}

// Guards against a page of metrics that cannot be read for the sake of one name.
TEST_CASE("a name of any bytes stands in a label")
{
    gateway_metrics metrics;
    metrics.count("requests", "target", "a\"b\\c\nd");
    CHECK(metrics.render({}).find("ragwortcove_requests_total{target=\"a\\\"b\\\\c\\nd\"} 1\n") !=
          std::string::npos);
}

} // namespace ragwortcove::gateway
