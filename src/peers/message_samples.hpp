#ifndef FUCHSIAPROXY_PEERS_MESSAGE_SAMPLES_HPP
#define FUCHSIAPROXY_PEERS_MESSAGE_SAMPLES_HPP

#include <vector>

#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::peers
{

/// Returns one message of each type, in the order of the variant, for use in tests.
inline std::vector<messages::envelope> message_samples()
{
    using namespace messages;
    entry_info const entry{base::instance_id("e1"),
                           base::incarnation(0xfedcba9876543210),
                           base::region_id("harju"),
                           base::availability_zone_id("harju-a"),
                           "10.0.0.1:80",
                           "10.0.0.1:81",
                           true,
                           base::config_version(9),
                           base::instance_id("e2"),
                           base::incarnation(3),
                           7,
                           250};
    class_counts const counts{base::service_id("catalog"), "look-ups", 10, 9, 30, 27};
    base::cap_id const cap("cap-\xc3\xb5");
    base::upstream_id const upstream("u1");
    std::vector<message> const bodies{
        heartbeat{entry},
        pull{base::config_version(4), base::incarnation(123456789012345), 7},
        digest{base::config_version(4), 1, true, {entry, entry}, {entry.id}, {upstream}},
        config_push{base::config_version(5), R"({"places":[]})"},
        config_fetch{base::config_version(5)},
        claim{"v1.e1.5.e2.6.1.n"},
        grant{"v1.e1.5.e2.6.1.n"},
        deny{"v1.e1.5.e2.6.1.n"},
        done{"v1.e1.5.e2.6.1.n", 200},
        resolve{"v1.e1.5.e2.6.1.n"},
        resolution{"v1.e1.5.e2.6.1.n", request_state::done, 201},
        loan_request{11, base::service_id("orders"), 3, 1, std::chrono::milliseconds(4)},
        loan_answer{11, upstream, 2, std::chrono::milliseconds(1500)},
        loan_return{11, upstream, 2},
        share_request{cap, 100},
        share_grant{cap, base::incarnation(12), 80, 17},
        share_return{cap, 40, 18},
        leaving{upstream},
        counters{base::instance_id("e3"), base::incarnation(8), {counts, counts}},
        takeover_request{21, upstream},
        takeover_answer{21, upstream, 3, std::chrono::milliseconds(900)}};
    std::vector<envelope> out;
    for (auto const& it : bodies)
    {
        out.push_back({base::instance_id("e1"), base::incarnation(5), out.size() + 1, it});
    }
    return out;
}

} // namespace fuchsiaproxy::peers

#endif
