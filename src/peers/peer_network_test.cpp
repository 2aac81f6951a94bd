#include "fuchsiaproxy/peers/peer_network.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "../testing/asio_runner.hpp"
#include "../testing/manual_timer_service.hpp"
#include "fuchsiaproxy/metadata/http_client.hpp"
#include "fuchsiaproxy/standin/tcp_relay.hpp"
#include "link_handshake.hpp"
#include "message_samples.hpp"
#include "websocket_transport.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using base::error_kind;
using base::incarnation;
using base::instance_id;
using peers::peer_network;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr char secret[] = "a secret of the test";

/// A network whose handlers record their calls.
struct test_entry
{
    test_entry(boost::asio::io_context& io, base::timer_service& timers,
               peers::peer_settings const& settings)
        : network(io, timers, settings, make_handlers())
    {
    }

    peers::peer_handlers make_handlers()
    {
        peers::peer_handlers out;
        out.on_message = [this](messages::envelope it) { received.push_back(std::move(it)); };
        out.on_link_up = [this](instance_id const&, incarnation it) { ups.push_back(it.value()); };
        out.on_link_down = [this](instance_id const&) { ++downs; };
        return out;
    }

    std::vector<messages::envelope> received;
    std::vector<std::uint64_t> ups;
    unsigned downs = 0;
    peer_network network;
};

peers::peer_settings make_settings(char const* name, std::uint64_t number)
{
    peers::peer_settings out;
    out.self = instance_id(name);
    out.incarnation = incarnation(number);
    out.secret = secret;
    return out;
}

/// Peer that can send arbitrary frames before and after its handshake.
struct raw_peer
{
    raw_peer(boost::asio::io_context& io, std::string const& address, peers::link_identity self)
        : transport(io, "127.0.0.1:0", peers::max_message_bytes,
                    [](peers::websocket_ptr const&) {}),
          handshake(peers::link_handshake::opener(std::move(self), secret, instance_id("b"))),
          conn(transport.connect(address))
    {
        conn->set_handlers({[] {}, [this](std::string const& text) { receive(text); },
                            [](std::string const&) {}, [] {},
                            [this](std::string const&) { closed = true; }});
    }

    void receive(std::string const& text)
    {
        ++texts;
        if (!continues_handshake)
        {
            return;
        }
        auto const step = handshake.receive(text);
        if (step && !step.value().reply.empty())
        {
            conn->send_text(step.value().reply);
        }
        if (step && step.value().peer)
        {
            peer = step.value().peer;
        }
    }

    peers::websocket_transport transport;
    peers::link_handshake handshake;
    peers::websocket_ptr conn;
    std::optional<peers::link_identity> peer;
    unsigned texts = 0;
    bool continues_handshake = true;
    bool closed = false;
};

messages::message claim(std::string id)
{
    return messages::claim{std::move(id)};
}

} // namespace

TEST_GROUP(peer_network)
{
    boost::asio::io_context io;
    testing::manual_timer_service timers;
    std::unique_ptr<test_entry> a;
    std::unique_ptr<test_entry> b;
    std::unique_ptr<standin::tcp_relay> relay;
    instance_id const id_a{"a"};
    instance_id const id_b{"b"};

    void setup() override
    {
        start(make_settings("a", 1), make_settings("b", 2));
    }

    /// Starts two entries. `a` connects to `b` through the relay; `b` has no address of `a`.
    void start(peers::peer_settings const& of_a, peers::peer_settings const& of_b)
    {
        a = std::make_unique<test_entry>(io, timers, of_a);
        b = std::make_unique<test_entry>(io, timers, of_b);
        relay =
            std::make_unique<standin::tcp_relay>(io, metadata::http_endpoint{"127.0.0.1", 0},
                                                 metadata::parse_endpoint(b->network.address()));
        auto const at = relay->endpoint();
        a->network.set_address(id_b, at.address + ":" + std::to_string(at.port));
    }

    template <class Condition>
    void wait_until(Condition condition)
    {
        CHECK(testing::run_until(io, condition));
    }

    void connect()
    {
        CHECK(a->network.send(id_b, claim("first")).has_value());
        wait_until([this] { return b->received.size() == 1; });
    }

    void connect_again()
    {
        CHECK(a->network.send(id_b, claim("second")).has_value());
        wait_until([this] { return b->received.size() == 2; });
    }

    /// Advances the time by a second, in which both ends send ping number `n` and receive the pong.
    void ping_once(std::uint64_t n)
    {
        timers.advance(seconds(1));
        wait_until(
            [this, n]
            {
                return a->network.counts().control_frames == 2 * n &&
                       b->network.counts().control_frames == 2 * n;
            });
    }
};

// Guards against messages that are lost, reordered or attributed to another sender, and against a
// second link being opened for the other direction.
TEST(peer_network, messages_pass_in_both_directions_over_one_link)
{
    for (auto const& it : peers::message_samples())
    {
        CHECK(a->network.send(id_b, it.body).has_value());
    }
    wait_until([this] { return b->received.size() == peers::message_type_count; });
    for (std::size_t n = 0; n < b->received.size(); ++n)
    {
        CHECK_EQUAL(n, b->received[n].body.index());
        CHECK_EQUAL(n + 1, b->received[n].sequence);
        CHECK(b->received[n].from == id_a);
    }
    CHECK(b->network.send(id_a, claim("answer")).has_value());
    wait_until([this] { return a->received.size() == 1; });
    CHECK_EQUAL(1U, relay->accepted());
    CHECK_EQUAL(2U, a->ups.at(0));
    CHECK_EQUAL(1U, b->ups.at(0));
    auto const& sent = a->network.counts().types[5];
    auto const& received = b->network.counts().types[5];
    CHECK_EQUAL(1U, sent.sent);
    CHECK_EQUAL(1U, received.received);
    CHECK(sent.sent_bytes > 0 && sent.sent_bytes == received.received_bytes);
}

// Guards against using an unresponsive link indefinitely: the connection is open, but nothing
// arrives.
TEST(peer_network, unresponsive_link_is_closed_counted_and_replaced)
{
    connect();
    relay->blackhole_open_connections({true, true});
    CHECK(a->network.send(id_b, claim("lost")).has_value());
    timers.advance(milliseconds(3200));
    CHECK_EQUAL(1U, a->network.counts().silent);
    CHECK_EQUAL(1U, b->network.counts().silent);
    CHECK_EQUAL(1U, a->downs);
    wait_until([this] { return a->network.is_up(id_b) && b->network.is_up(id_a); });
    CHECK_EQUAL(2U, relay->accepted());
    CHECK(a->network.send(id_b, claim("second")).has_value());
    wait_until([this] { return b->received.size() == 2; });
    CHECK_EQUAL(std::string("second"), std::get<messages::claim>(b->received[1].body).request_id);
}

// Guards against closing a working link as unresponsive because it carries only pings.
TEST(peer_network, link_without_messages_stays_up_while_pings_are_answered)
{
    connect();
    for (std::uint64_t n = 1; n <= 10; ++n)
    {
        ping_once(n);
    }
    CHECK_EQUAL(0U, a->network.counts().silent + b->network.counts().silent);
    CHECK_EQUAL(1U, relay->accepted());
}

// Guards against links that stay open although their entries exchange no messages any more.
TEST(peer_network, idle_link_is_closed_by_its_opener)
{
    auto settings = make_settings("a", 1);
    settings.idle_limit = seconds(2);
    start(settings, make_settings("b", 2));
    connect();
    ping_once(1);
    ping_once(2);
    timers.advance(milliseconds(100));
    CHECK_EQUAL(1U, a->network.counts().idle);
    wait_until([this] { return b->downs == 1; });
    CHECK_EQUAL(1U, a->downs);
    CHECK(a->network.send(id_b, claim("again")).has_value());
    wait_until([this] { return b->received.size() == 2; });
}

// Guards against accepting links from entries that do not have the shared secret.
TEST(peer_network, link_without_the_secret_is_refused)
{
    auto settings = make_settings("a", 1);
    settings.secret = "another secret";
    start(settings, make_settings("b", 2));
    CHECK(a->network.send(id_b, claim("x")).has_value());
    wait_until([this] { return a->network.counts().dropped == 1; });
    CHECK_EQUAL(1U, b->network.counts().authentication_failures);
    CHECK_EQUAL(0U, b->network.counts().accepted + b->received.size() + b->ups.size());
    CHECK(a->network.send(id_b, claim("y")).error().kind == error_kind::peer_unreachable);
    timers.advance(milliseconds(100));
    CHECK(a->network.send(id_b, claim("z")).has_value());
}

// Guards against a queue that grows without bound.
TEST(peer_network, full_queues_refuse_and_count)
{
    auto settings = make_settings("a", 1);
    settings.max_queued_messages = 2;
    settings.max_queued_bytes = 10'000;
    start(settings, make_settings("b", 2));
    std::string const large(4000, 'x');
    CHECK(a->network.send(id_b, claim("1")).has_value());
    CHECK(a->network.send(id_b, claim("2")).has_value());
    CHECK(a->network.send(id_b, claim("3")).error().kind == error_kind::queue_full);
    wait_until([this] { return b->received.size() == 2; });
    CHECK(a->network.send(id_b, claim(large)).has_value());
    CHECK(a->network.send(id_b, claim(large)).has_value());
    CHECK(a->network.send(id_b, claim(large)).error().kind == error_kind::queue_full);
    CHECK_EQUAL(2U, a->network.counts().refused_queue_full);
    wait_until([this] { return b->received.size() == 4; });
    CHECK(a->network.send(id_b, claim(large)).has_value());
}

// Guards against refusing a message close to the size limit, and against accepting one beyond it
// or one for an entry without an address.
TEST(peer_network, largest_message_passes_and_unknown_entry_is_refused)
{
    messages::config_push push{base::config_version(1), std::string(1'900'000, 'x')};
    CHECK(a->network.send(id_b, push).has_value());
    wait_until([this] { return b->received.size() == 1; });
    CHECK(std::get<messages::config_push>(b->received[0].body).document == push.document);
    push.document += push.document;
    CHECK(a->network.send(id_b, push).error().kind == error_kind::value_too_large);
    auto const unknown = a->network.send(instance_id("c"), claim("x"));
    CHECK(unknown.error().kind == error_kind::peer_unreachable);
}

// Guards against reporting a restarted entry under its previous incarnation.
TEST(peer_network, new_incarnation_is_reported)
{
    connect();
    a.reset();
    wait_until([this] { return b->downs == 1; });
    a = std::make_unique<test_entry>(io, timers, make_settings("a", 3));
    a->network.set_address(id_b, b->network.address());
    connect_again();
    CHECK_EQUAL(3U, b->ups.at(1));
    CHECK(b->received.at(1).incarnation == incarnation(3));
}

// Guards against losing queued messages in an orderly shutdown.
TEST(peer_network, stop_sends_queued_messages)
{
    connect();
    for (int n = 0; n < 50; ++n)
    {
        CHECK(a->network.send(id_b, claim(std::string(10'000, 'x'))).has_value());
    }
    a->network.stop();
    CHECK_EQUAL(1U, a->downs);
    wait_until([this] { return b->downs == 1; });
    CHECK_EQUAL(51U, b->received.size());
    CHECK(a->network.send(id_b, claim("x")).error().kind == error_kind::peer_unreachable);
}

// Guards against waiting indefinitely for a peer that accepts connections but does not complete the
// handshake.
TEST(peer_network, unfinished_handshake_times_out)
{
    relay->blackhole_new_connections({true, true});
    CHECK(a->network.send(id_b, claim("x")).has_value());
    wait_until([this] { return relay->discarded_bytes() > 0; });
    timers.advance(milliseconds(1200));
    CHECK_EQUAL(1U, a->network.counts().failed_to_open);
    CHECK_EQUAL(1U, a->network.counts().dropped);
    relay->blackhole_new_connections({});
    timers.advance(milliseconds(100));
    CHECK(a->network.send(id_b, claim("y")).has_value());
    wait_until([this] { return b->received.size() == 1; });
}

// Guards against a link that stays open after its instance was removed.
TEST(peer_network, removing_an_instance_closes_its_link)
{
    connect();
    a->network.remove_instance(id_b);
    CHECK_EQUAL(1U, a->downs);
    wait_until([this] { return b->downs == 1; });
    CHECK(a->network.send(id_b, claim("x")).error().kind == error_kind::peer_unreachable);
}

// Guards against input that crashes an entry, against delivering malformed messages or messages of
// another sender, and against closing the link for an unknown type or version, which an entry of a
// later version may send.
TEST(peer_network, invalid_messages_are_counted_and_unsupported_ones_keep_the_link)
{
    struct row
    {
        char const* name;
        std::string bytes;
        bool closes;
        std::uint64_t peers::peer_counts::*counter;
    };
    using c = peers::peer_counts;
    auto const document =
        nlohmann::json{{"v", 1U},           {"type", "claim"}, {"from", "c"},
                       {"incarnation", 9U}, {"seq", 1U},       {"body", {{"request_id", "r"}}}};
    auto const changed = [&document](char const* name, nlohmann::json const& value)
    {
        auto it = document;
        it[name] = value;
        std::string out;
        nlohmann::json::to_cbor(it, out);
        return out;
    };
    row const rows[] = {
        {"unknown type", changed("type", "gossip"), false, &c::unsupported},
        {"unknown version", changed("v", 2U), false, &c::unsupported},
        {"broken CBOR", "\xff\xff", true, &c::broken},
        {"mistyped field", changed("seq", "1"), true, &c::broken},
        {"another sender", changed("from", "a"), true, &c::wrong_sender},
        {"another incarnation", changed("incarnation", 8U), true, &c::wrong_sender},
    };
    for (auto const& it : rows)
    {
        raw_peer raw(io, b->network.address(), {instance_id("c"), incarnation(9)});
        wait_until([&] { return raw.peer.has_value(); });
        auto const received = b->received.size();
        auto const counted = b->network.counts().*it.counter;
        CHECK(raw.conn->send_binary(it.bytes));
        CHECK(raw.conn->send_binary(changed("seq", 2U)));
        wait_until([&] { return raw.closed || b->received.size() > received; });
        CHECK_EQUAL_TEXT(it.closes, raw.closed, it.name);
        CHECK_EQUAL_TEXT(counted + 1, b->network.counts().*it.counter, it.name);
    }
}

// Guards against processing messages or invalid proofs of a peer that is not authenticated.
TEST(peer_network, input_before_authentication_closes_the_connection)
{
    struct row
    {
        bool binary;
        std::string text;
    };
    row const rows[] = {{true, "\xa0"},
                        {false, ""},
                        {false, "{}"},
                        {false, "[[["},
                        {false, R"({"v":1,"instance":"c","incarnation":1,"to":"b","nonce":"",)"
                                R"("proof":""})"},
                        {false, std::string(100'000, '{')}};
    std::uint64_t n = 0;
    for (auto const& it : rows)
    {
        raw_peer raw(io, b->network.address(), {instance_id("c"), incarnation(9)});
        raw.continues_handshake = false;
        wait_until([&] { return raw.texts == 1; });
        CHECK(it.binary ? raw.conn->send_binary(it.text) : raw.conn->send_text(it.text));
        wait_until([&] { return raw.closed; });
        ++n;
        CHECK_EQUAL(n, b->network.counts().failed_to_open);
    }
    CHECK_EQUAL(0U, b->network.counts().accepted);
}
