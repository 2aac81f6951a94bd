#ifndef FUCHSIAPROXY_FUCHSIASTANDIN_PROCESS_HPP
#define FUCHSIAPROXY_FUCHSIASTANDIN_PROCESS_HPP

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/metadata/http_client.hpp"

namespace fuchsiaproxy::standin
{

/// Parses the arguments, or prints the help and returns nothing.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options& options, int argc, char** argv);

/// Returns an option of the form "ip:port". Throws `std::invalid_argument` if it is malformed.
metadata::http_endpoint endpoint_option(cxxopts::ParseResult const& args, std::string const& name);

/// Returns an option that is given in milliseconds.
base::duration milliseconds_option(cxxopts::ParseResult const& args, std::string const& name);

/// Returns "ip:port".
std::string to_string(metadata::http_endpoint const& it);

/// Prints `started` as one line of JSON, from which scripts read the ports, and runs `io` until
/// SIGINT or SIGTERM.
int serve(boost::asio::io_context& io, nlohmann::json const& started);

} // namespace fuchsiaproxy::standin

#endif
