#include "fuchsiaproxy/telemetry/metrics.hpp"
#include "fuchsiaproxy/telemetry/state_log.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;

TEST_GROUP(telemetry){};

// Guards against a counter that starts anew when it is asked for again.
TEST(telemetry, a_counter_keeps_its_value_and_never_falls)
{
    telemetry::metrics metrics;
    metrics.counter("a_total", "Help.", {{"kind", "x"}}).Increment();
    metrics.counter("a_total", "Help.", {{"kind", "x"}}).Increment();
    metrics.set_counter("a_total", "Help.", {{"kind", "x"}}, 1);
    STRCMP_CONTAINS("a_total{kind=\"x\"} 2", metrics.text().c_str());
    STRCMP_CONTAINS("# HELP a_total Help.", metrics.text().c_str());
}

// Guards against a fault that repeats and fills the log or stops its caller.
TEST(telemetry, a_repeated_event_is_limited_and_counted)
{
    telemetry::state_log log("error");
    for (int n = 0; n < 500; ++n)
    {
        log.write(telemetry::log_level::info, "peer_lost", {{"peer", "harju-a-1"}});
    }
    // The loop may span the boundary of a second once, never three of them.
    CHECK(log.dropped() >= 440);
}
