#ifndef FUCHSIAPROXY_PEERS_MESSAGE_FIELDS_HPP
#define FUCHSIAPROXY_PEERS_MESSAGE_FIELDS_HPP

#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::peers
{

/// Wire name and fields of message type `M`, used for both encoding and decoding. `describe` calls
/// `visit` with the name and the value of each field; `T` is `M` or `M const`.
template <class M>
struct fields_of;

template <>
struct fields_of<messages::entry_info>
{
    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("id", it.id);
        visit("incarnation", it.incarnation);
        visit("region", it.region);
        visit("zone", it.zone);
        visit("caller_address", it.caller_address);
        visit("peer_address", it.peer_address);
        visit("draining", it.draining);
        visit("version", it.version);
        visit("witness", it.witness);
        visit("witness_incarnation", it.witness_incarnation);
        visit("generation", it.generation);
        visit("load_permille", it.load_permille);
    }
};

template <>
struct fields_of<messages::class_counts>
{
    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("service", it.service);
        visit("request_class", it.request_class);
        visit("total", it.total);
        visit("on_time", it.on_time);
        visit("weight_total", it.weight_total);
        visit("weight_on_time", it.weight_on_time);
    }
};

template <>
struct fields_of<messages::heartbeat>
{
    static constexpr char const* name = "heartbeat";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("self", it.self);
    }
};

template <>
struct fields_of<messages::pull>
{
    static constexpr char const* name = "pull";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("version", it.version);
        visit("known_hub", it.known_hub);
        visit("known_revision", it.known_revision);
    }
};

template <>
struct fields_of<messages::digest>
{
    static constexpr char const* name = "digest";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("version", it.version);
        visit("revision", it.revision);
        visit("full", it.full);
        visit("entries", it.entries);
        visit("removed", it.removed);
        visit("leaving", it.leaving);
    }
};

template <>
struct fields_of<messages::config_push>
{
    static constexpr char const* name = "config_push";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("version", it.version);
        visit("document", it.document);
    }
};

template <>
struct fields_of<messages::config_fetch>
{
    static constexpr char const* name = "config_fetch";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("version", it.version);
    }
};

/// Fields of messages that hold only a request id.
struct request_id_fields
{
    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("request_id", it.request_id);
    }
};

template <>
struct fields_of<messages::claim> : request_id_fields
{
    static constexpr char const* name = "claim";
};

template <>
struct fields_of<messages::grant> : request_id_fields
{
    static constexpr char const* name = "grant";
};

template <>
struct fields_of<messages::deny> : request_id_fields
{
    static constexpr char const* name = "deny";
};

template <>
struct fields_of<messages::done>
{
    static constexpr char const* name = "done";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("request_id", it.request_id);
        visit("status", it.status);
    }
};

template <>
struct fields_of<messages::resolve> : request_id_fields
{
    static constexpr char const* name = "resolve";
};

template <>
struct fields_of<messages::resolution>
{
    static constexpr char const* name = "resolution";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("request_id", it.request_id);
        visit("state", it.state);
        visit("status", it.status);
    }
};

template <>
struct fields_of<messages::loan_request>
{
    static constexpr char const* name = "borrow";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("number", it.number);
        visit("service", it.service);
        visit("slots", it.slots);
        visit("request_class", it.request_class);
        visit("waited", it.waited);
    }
};

template <>
struct fields_of<messages::loan_answer>
{
    static constexpr char const* name = "lend";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("number", it.number);
        visit("upstream", it.upstream);
        visit("slots", it.slots);
        visit("valid_for", it.valid_for);
    }
};

template <>
struct fields_of<messages::loan_return>
{
    static constexpr char const* name = "give_back";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("number", it.number);
        visit("upstream", it.upstream);
        visit("slots", it.slots);
    }
};

template <>
struct fields_of<messages::share_request>
{
    static constexpr char const* name = "share_request";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("cap", it.cap);
        visit("amount", it.amount);
    }
};

/// Fields of messages that hold a reservation and its revision.
struct reservation_fields
{
    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("cap", it.cap);
        visit("amount", it.amount);
        visit("revision", it.revision);
    }
};

template <>
struct fields_of<messages::share_grant>
{
    static constexpr char const* name = "share_grant";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("cap", it.cap);
        visit("holder", it.holder);
        visit("amount", it.amount);
        visit("revision", it.revision);
    }
};

template <>
struct fields_of<messages::share_return> : reservation_fields
{
    static constexpr char const* name = "share_return";
};

template <>
struct fields_of<messages::leaving>
{
    static constexpr char const* name = "leaving";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("upstream", it.upstream);
    }
};

template <>
struct fields_of<messages::counters>
{
    static constexpr char const* name = "counters";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("owner", it.owner);
        visit("owner_incarnation", it.owner_incarnation);
        visit("counts", it.counts);
    }
};

template <>
struct fields_of<messages::takeover_request>
{
    static constexpr char const* name = "take_over";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("number", it.number);
        visit("upstream", it.upstream);
    }
};

template <>
struct fields_of<messages::takeover_answer>
{
    static constexpr char const* name = "handed_over";

    template <class Visitor, class T>
    static void describe(Visitor& visit, T& it)
    {
        visit("number", it.number);
        visit("upstream", it.upstream);
        visit("in_use", it.in_use);
        visit("lapses_in", it.lapses_in);
    }
};

} // namespace fuchsiaproxy::peers

#endif
