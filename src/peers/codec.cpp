#include "fuchsiaproxy/peers/codec.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/encoding/cbor_structure.hpp"
#include "message_fields.hpp"

namespace fuchsiaproxy::peers
{
namespace
{

using base::error_kind;
using base::make_error;
using encoding::check_structure;
using messages::request_state;
using nlohmann::json;

constexpr std::array<std::string_view, 4> state_names{"tombstoned", "running", "done", "unknown"};

/// Thrown for a value that is not valid in a message; `encode` and `decode` turn it into an error.
struct field_error
{
    std::string message;
};

/// Visitor that converts the members of a message to a JSON object.
class field_writer
{
public:
    template <class T>
    void operator()(char const* name, T const& it)
    {
        out_[name] = value_of(it);
    }

    json take()
    {
        return std::move(out_);
    }

private:
    static json value_of(bool it)
    {
        return it;
    }

    static json value_of(std::uint32_t it)
    {
        return it;
    }

    static json value_of(std::uint64_t it)
    {
        return it;
    }

    static json value_of(std::string const& it)
    {
        return it;
    }

    static json value_of(base::duration it)
    {
        if (it < base::duration::zero())
        {
            throw field_error{"negative duration"};
        }
        return static_cast<std::uint64_t>(it.count());
    }

    static json value_of(request_state it)
    {
        return std::string(state_names[static_cast<std::size_t>(it)]);
    }

    template <class Tag, class Rep>
    static json value_of(base::strong_type<Tag, Rep> const& it)
    {
        return value_of(it.value());
    }

    template <class T>
    static json value_of(std::vector<T> const& list)
    {
        auto out = json::array();
        for (auto const& it : list)
        {
            out.push_back(value_of(it));
        }
        return out;
    }

    template <class M, class = decltype(fields_of<M>{})>
    static json value_of(M const& it)
    {
        field_writer writer;
        fields_of<M>::describe(writer, it);
        return writer.take();
    }

    json out_ = json::object();
};

/// Visitor that reads the members of a message from a JSON object. `expect_end` then rejects any
/// other member.
class field_reader
{
public:
    explicit field_reader(json const& in) : in_(in)
    {
        if (!in_.is_object())
        {
            throw field_error{"not a map"};
        }
    }

    template <class T>
    void operator()(char const* name, T& it)
    {
        auto const found = in_.find(name);
        if (found == in_.end())
        {
            throw field_error{std::string("field \"") + name + "\" is missing"};
        }
        ++fields_read_;
        try
        {
            read(*found, it);
        }
        catch (field_error const& e)
        {
            throw field_error{std::string("field \"") + name + "\": " + e.message};
        }
    }

    void expect_end() const
    {
        if (fields_read_ != in_.size())
        {
            throw field_error{"unknown fields"};
        }
    }

private:
    static std::uint64_t read_unsigned(json const& in)
    {
        if (!in.is_number_unsigned())
        {
            throw field_error{"not an unsigned integer"};
        }
        return in.get<std::uint64_t>();
    }

    static void read(json const& in, bool& it)
    {
        if (!in.is_boolean())
        {
            throw field_error{"not a boolean"};
        }
        it = in.get<bool>();
    }

    static void read(json const& in, std::uint32_t& it)
    {
        auto const value = read_unsigned(in);
        if (value > std::numeric_limits<std::uint32_t>::max())
        {
            throw field_error{"value exceeds 32 bits"};
        }
        it = static_cast<std::uint32_t>(value);
    }

    static void read(json const& in, std::uint64_t& it)
    {
        it = read_unsigned(in);
    }

    static void read(json const& in, std::string& it)
    {
        if (!in.is_string())
        {
            throw field_error{"not a text string"};
        }
        it = in.get_ref<std::string const&>();
    }

    static void read(json const& in, base::duration& it)
    {
        auto const value = read_unsigned(in);
        constexpr auto largest = std::numeric_limits<base::duration::rep>::max();
        if (value > static_cast<std::uint64_t>(largest))
        {
            throw field_error{"duration out of range"};
        }
        it = base::duration(static_cast<base::duration::rep>(value));
    }

    static void read(json const& in, request_state& it)
    {
        std::string name;
        read(in, name);
        for (std::size_t n = 0; n < state_names.size(); ++n)
        {
            if (name == state_names[n])
            {
                it = static_cast<request_state>(n);
                return;
            }
        }
        throw field_error{"unknown request state"};
    }

    template <class Tag, class Rep>
    static void read(json const& in, base::strong_type<Tag, Rep>& it)
    {
        Rep value{};
        read(in, value);
        it = base::strong_type<Tag, Rep>(std::move(value));
    }

    template <class T>
    static void read(json const& in, std::vector<T>& list)
    {
        if (!in.is_array())
        {
            throw field_error{"not an array"};
        }
        list.clear();
        for (auto const& it : in)
        {
            read(it, list.emplace_back());
        }
    }

    template <class M, class = decltype(fields_of<M>{})>
    static void read(json const& in, M& it)
    {
        field_reader reader(in);
        fields_of<M>::describe(reader, it);
        reader.expect_end();
    }

    json const& in_;
    std::size_t fields_read_ = 0;
};

template <std::size_t... Index>
constexpr std::array<std::string_view, sizeof...(Index)> make_names(std::index_sequence<Index...>)
{
    return {fields_of<std::variant_alternative_t<Index, messages::message>>::name...};
}

constexpr auto type_names = make_names(std::make_index_sequence<message_type_count>());

using body_reader = void (*)(json const&, messages::message&);

template <class M>
void read_body(json const& in, messages::message& out)
{
    M body;
    field_reader reader(in);
    fields_of<M>::describe(reader, body);
    reader.expect_end();
    out = std::move(body);
}

template <std::size_t... Index>
constexpr std::array<body_reader, sizeof...(Index)> make_readers(std::index_sequence<Index...>)
{
    return {read_body<std::variant_alternative_t<Index, messages::message>>...};
}

constexpr auto body_readers = make_readers(std::make_index_sequence<message_type_count>());

/// Envelope fields of a message, without the body.
struct message_head
{
    std::uint64_t version = 0;
    std::string type;
    base::instance_id from;
    base::incarnation incarnation;
    std::uint64_t sequence = 0;
};

template <class Visitor, class T>
void describe_head(Visitor& visit, T& it)
{
    visit("v", it.version);
    visit("type", it.type);
    visit("from", it.from);
    visit("incarnation", it.incarnation);
    visit("seq", it.sequence);
}

std::size_t count_pairs(json const& it)
{
    auto out = it.is_object() ? it.size() : 0;
    if (it.is_structured())
    {
        for (auto const& part : it)
        {
            out += count_pairs(part);
        }
    }
    return out;
}

base::result<json> parse(std::string_view bytes)
{
    if (bytes.size() > max_message_bytes)
    {
        return make_error(error_kind::bad_message,
                          "message of " + std::to_string(bytes.size()) + " bytes is too large");
    }
    auto const structure = check_structure(bytes);
    if (!structure)
    {
        return structure.error();
    }
    auto out = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!out.is_object())
    {
        return make_error(error_kind::bad_message, "message is not a map");
    }
    if (count_pairs(out) != structure.value().pairs)
    {
        return make_error(error_kind::bad_message, "message has a duplicate key");
    }
    return out;
}

base::result<messages::envelope> read_envelope(json const& in)
{
    field_reader reader(in);
    std::uint64_t version = 0;
    reader("v", version);
    if (version != message_version)
    {
        return make_error(error_kind::unsupported_version,
                          "unsupported message version " + std::to_string(version));
    }
    message_head head;
    field_reader head_reader(in);
    describe_head(head_reader, head);
    std::size_t type = 0;
    while (type < message_type_count && type_names[type] != head.type)
    {
        ++type;
    }
    if (type == message_type_count)
    {
        return make_error(error_kind::unsupported_version, "unknown message type");
    }
    constexpr std::size_t envelope_fields = 6;
    auto const body = in.find("body");
    if (body == in.end() || in.size() != envelope_fields)
    {
        throw field_error{"missing body or unknown fields"};
    }
    messages::envelope out;
    out.from = std::move(head.from);
    out.incarnation = head.incarnation;
    out.sequence = head.sequence;
    body_readers[type](*body, out.body);
    return out;
}

} // namespace

std::string_view type_name(std::size_t type) noexcept
{
    return type_names[type];
}

base::result<std::string> encode(messages::envelope const& envelope)
{
    message_head const head{message_version, std::string(type_name(envelope.body.index())),
                            envelope.from, envelope.incarnation, envelope.sequence};
    try
    {
        field_writer writer;
        describe_head(writer, head);
        std::visit([&writer](auto const& body) { writer("body", body); }, envelope.body);
        std::string out;
        json::to_cbor(writer.take(), out);
        if (out.size() > max_message_bytes)
        {
            return make_error(error_kind::value_too_large, head.type + " message of " +
                                                               std::to_string(out.size()) +
                                                               " bytes is too large");
        }
        auto const structure = check_structure(out);
        if (!structure)
        {
            return structure.error();
        }
        return out;
    }
    catch (field_error const& e)
    {
        return make_error(error_kind::bad_message, head.type + ": " + e.message);
    }
}

base::result<messages::envelope> decode(std::string_view bytes)
{
    auto const document = parse(bytes);
    if (!document)
    {
        return document.error();
    }
    try
    {
        return read_envelope(document.value());
    }
    catch (field_error const& e)
    {
        return make_error(error_kind::bad_message, e.message);
    }
}

} // namespace fuchsiaproxy::peers
