#ifndef FUCHSIAPROXY_CALLERS_REQUEST_PARSER_HPP
#define FUCHSIAPROXY_CALLERS_REQUEST_PARSER_HPP

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/callers/exchange.hpp"
#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/http/message_reader.hpp"

namespace fuchsiaproxy::callers
{

/// Builds a `request_head` from `head`, which has the given format. Leaves `id`, `caller_address`
/// and `arrived` unset. Fails with `bad_request` when the target, `Service`, `Request-Id`, the
/// deadline or `Expect` is malformed or ambiguous. Thread safe.
base::result<request_head> parse_request(http::message_head const& head,
                                         request_format const& format);

} // namespace fuchsiaproxy::callers

#endif
