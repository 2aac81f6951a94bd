#include "fuchsiaproxy/telemetry/metrics.hpp"
#include "fuchsiaproxy/telemetry/state_log.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;

TEST_GROUP(telemetry){};

// Guards against a counter that is reset when it is requested by the same name and labels again,
// and against `set_counter` lowering a counter.
TEST(telemetry, counter_is_not_reset_and_never_decreases)
{
    telemetry::metrics metrics;
    metrics.counter("a_total", "Help.", {{"kind", "x"}}).Increment();
    metrics.counter("a_total", "Help.", {{"kind", "x"}}).Increment();
    metrics.set_counter("a_total", "Help.", {{"kind", "x"}}, 1);
    STRCMP_CONTAINS("a_total{kind=\"x\"} 2", metrics.text().c_str());
    STRCMP_CONTAINS("# HELP a_total Help.", metrics.text().c_str());
}

// Guards against a repeated event that fills the log or blocks the thread that reports it.
TEST(telemetry, repeated_event_is_rate_limited_and_counted)
{
    telemetry::state_log log("error");
    for (int n = 0; n < 500; ++n)
    {
        log.write(telemetry::log_level::info, "peer_lost", {{"peer", "harju-a-1"}});
    }
    // At most 20 lines pass in each second. The loop is expected to touch two seconds, never more
    // than three.
    CHECK(log.dropped() >= 440);
}
