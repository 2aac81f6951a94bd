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

/// Minimum length of a key that `make_operator_key` accepts.
constexpr std::size_t min_key_length = 12;

/// An authenticated operator.
struct identity
{
    base::operator_id id;
    base::organisation_id organisation;
};

/// Returns the PBKDF2-SHA256 hash of `key` in hexadecimal. Precondition: `salt` is hexadecimal.
/// Thread safe.
std::string hash_key(std::string_view key, std::string const& salt);

/// Hashes `key` with a fresh random salt. Fails with `invalid_command` if the key is shorter than
/// `min_key_length`, and with `internal` if no random salt can be generated. Thread safe.
base::result<model::operator_key> make_operator_key(base::operator_id id, std::string_view key);

/// Verifies operators' keys. An unknown operator costs the same computation as a wrong key, so that
/// timing does not reveal which operators exist. Hashes are compared in constant time.
///
/// Thread safety: none; one thread owns it.
class authenticator
{
public:
    /// Returns the identity of operator `id` if `key` is the operator's key in `value`. Fails with
    /// `unauthenticated`; the error is the same for an unknown operator and for a wrong key.
    base::result<identity> authenticate(model::configuration const& value,
                                        base::operator_id const& id, std::string_view key);

private:
    /// Cache of verified keys: from the stored hash to a fast hash of the key with a salt of this
    /// process. It avoids a PBKDF2 computation for each request.
    std::map<std::string, std::string> verified_keys_;
    std::string process_salt_;
};

} // namespace fuchsiaproxy::operators

#endif
