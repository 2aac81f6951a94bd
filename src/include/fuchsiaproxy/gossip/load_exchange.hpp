#ifndef FUCHSIAPROXY_GOSSIP_LOAD_EXCHANGE_HPP
#define FUCHSIAPROXY_GOSSIP_LOAD_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"

namespace fuchsiaproxy::gossip
{

/// Encodes a load message as CBOR. Thread safe.
std::string to_cbor(steering::peer_load const& it);

/// Decodes the output of `to_cbor`. Fails with `bad_message` for any other input. Thread safe.
base::result<steering::peer_load> parse_load(std::string_view bytes);

/// Counters of a `load_exchange` since its creation.
struct exchange_counters
{
    std::uint64_t sent = 0;
    std::uint64_t unsent = 0;
    std::uint64_t received = 0;
    std::uint64_t unreadable = 0;
};

/// Exchanges load messages with other entries over UDP. Each message replaces the previous one of
/// its sender, so lost datagrams are not sent again.
///
/// Thread safety: none; used on the thread that runs the io_context.
class load_exchange
{
public:
    using handler = std::function<void(steering::peer_load const&)>;

    /// `received` is called for each load message of another entry. Precondition: `io` outlives the
    /// object.
    load_exchange(boost::asio::io_context& io, model::endpoint const& at, handler received);
    ~load_exchange();

    load_exchange(load_exchange const&) = delete;
    load_exchange& operator=(load_exchange const&) = delete;

    /// Binds the socket and starts receiving; returns the port. Fails with `invalid_settings`.
    /// Precondition: called once.
    base::result<std::uint16_t> open();

    /// Sends a load message to the entries at the given addresses. A datagram that can't be sent,
    /// for example because the socket buffer is full, is dropped and counted.
    void send(steering::peer_load const& it, std::vector<model::endpoint> const& to);

    exchange_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::gossip

#endif
