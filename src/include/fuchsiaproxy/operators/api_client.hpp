#ifndef FUCHSIAPROXY_OPERATORS_API_CLIENT_HPP
#define FUCHSIAPROXY_OPERATORS_API_CLIENT_HPP

#include <chrono>
#include <memory>
#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/operators/api_router.hpp"

namespace fuchsiaproxy::operators
{

/// Sends requests to the operators' API of an entry.
///
/// Thread safety: all calls on one thread. Calls block until they have an answer or fail.
class api_transport
{
public:
    virtual ~api_transport() = default;

    /// Sends `request` and returns the answer, also if its status is an error. Fails with
    /// `peer_unreachable` if the request did not reach the entry, and with `may_have_run` if it may
    /// have.
    virtual base::result<api_answer> send(api_request const& request) = 0;
};

/// Returns the value of the `Authorization` header for an operator. Thread safe.
std::string basic_authorization(std::string const& id, std::string const& key);

/// Returns a transport over HTTP to `address`, "ip:port", which opens a connection for each request
/// and fails after `timeout`. Fails with `invalid_command` for a malformed address. Thread safe.
base::result<std::unique_ptr<api_transport>> make_http_transport(std::string const& address,
                                                                 std::chrono::milliseconds timeout);

} // namespace fuchsiaproxy::operators

#endif
