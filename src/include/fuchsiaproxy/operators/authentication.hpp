#ifndef FUCHSIAPROXY_OPERATORS_AUTHENTICATION_HPP
#define FUCHSIAPROXY_OPERATORS_AUTHENTICATION_HPP

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::operators
{

/// Shortest key that `make_operator_key` takes.
constexpr std::size_t min_key_length = 12;

/// An operator who has proved to hold the operator's key.
struct identity
{
    base::operator_id id;
    base::organisation_id organisation;
};

/// Returns the PBKDF2-SHA256 hash of `key` in hexadecimal. Precondition: `salt` is hexadecimal.
/// Thread safe.
std::string hash_key(std::string_view key, std::string const& salt);

/// Hashes `key` with a fresh random salt. Fails with `invalid_command` if the key is shorter than
/// `min_key_length`, and with `internal` if the system gives no random numbers. Thread safe.
base::result<model::operator_key> make_operator_key(base::operator_id id, std::string_view key);

/// Verifies operators' keys. The work does not depend on whether the operator exists, and hashes
/// are compared in constant time.
///
/// Thread safety: none; one thread owns it.
class authenticator
{
public:
    /// Returns who holds `key`, if it is the key of operator `id` in `value`. Fails with
    /// `unauthenticated`, without telling an unknown operator from a wrong key.
    base::result<identity> authenticate(model::configuration const& value,
                                        base::operator_id const& id, std::string_view key);

private:
    /// Keys that were verified, by the stored hash, as hashes under a salt of this process. They
    /// spare an entry the work of PBKDF2 for each request.
    std::map<std::string, std::string> verified_;
    std::string process_salt_;
};

} // namespace fuchsiaproxy::operators

#endif
