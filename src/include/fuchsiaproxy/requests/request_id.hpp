#ifndef FUCHSIAPROXY_REQUESTS_REQUEST_ID_HPP
#define FUCHSIAPROXY_REQUESTS_REQUEST_ID_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"

namespace fuchsiaproxy::requests
{

/// Longest instance id and longest nonce that a request id may contain.
constexpr std::size_t max_name_length = 64;
/// Longest request id: two names with incarnations, generation, nonce, version and separators.
constexpr std::size_t max_request_id_length = 256;

/// One process of an entry; a restarted entry has a new incarnation.
struct entry_incarnation
{
    base::instance_id instance;
    base::incarnation number;

    friend bool operator==(entry_incarnation const& a, entry_incarnation const& b)
    {
        return a.number == b.number && a.instance == b.instance;
    }
    friend bool operator!=(entry_incarnation const& a, entry_incarnation const& b)
    {
        return !(a == b);
    }
    friend bool operator<(entry_incarnation const& a, entry_incarnation const& b)
    {
        return a.number < b.number || (a.number == b.number && a.instance < b.instance);
    }
};

/// Issued to callers: names the primary, which alone may run a request, and the witness, which has
/// to grant the run.
struct ticket
{
    entry_incarnation primary;
    /// Empty if the primary runs requests without a grant.
    std::optional<entry_incarnation> witness;
    std::uint32_t generation = 0;
};

/// A ticket with the nonce that a caller chose.
struct request_id
{
    ticket issued;
    std::string nonce;
};

/// Returns whether `name` is 1 to `max_name_length` characters of [A-Za-z0-9_-]. Thread safe.
bool is_valid_name(std::string_view name) noexcept;

/// Returns `v1.<primary>.<incarnation>.<witness>.<incarnation>.<generation>`; the witness is `-`
/// with incarnation 0 when there is none. Precondition: the names are valid. Thread safe.
std::string to_text(ticket const& it);

/// Returns the ticket's text, a dot and the nonce. Precondition: the names are valid. Thread safe.
std::string to_text(request_id const& it);

/// Parses the value of the `Request-Id` header. Only the canonical text of an id is accepted:
/// numbers are decimal without leading zeros and nothing is trimmed. Fails with
/// `unsupported_version` for a well-formed version prefix other than `v1`, and with `bad_request`
/// otherwise. Thread safe.
base::result<request_id> parse_request_id(std::string_view text);

} // namespace fuchsiaproxy::requests

#endif
