#include "fuchsiaproxy/peers/peer_network.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "peer_link.hpp"

namespace fuchsiaproxy::peers
{
namespace
{

using base::error_kind;
using base::instance_id;
using base::make_error;

// Interval at which the links are checked for the silence, idle and handshake time limits.
constexpr std::chrono::milliseconds check_period{100};

} // namespace

class peer_network::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(boost::asio::io_context& io, base::timer_service& timers, peer_settings settings,
         peer_handlers handlers)
        : timers_(timers), settings_(std::move(settings)),
          handlers_(std::move(handlers)), self_{settings_.self, settings_.incarnation},
          random_(settings_.backoff_seed),
          transport_(io, settings_.listen_address, max_message_bytes,
                     [this](websocket_ptr it) { accept(std::move(it)); }),
          check_timer_(timers.every(check_period, [this](base::time_point) { check_links(); }))
    {
    }

    /// Closes all links and detaches from the owner, without calling a handler.
    void detach()
    {
        check_timer_.reset();
        handlers_ = {};
        stopped_ = true;
        transport_.stop_listening();
        for (auto const& it : all_links())
        {
            it->conn->drop();
        }
        peers_.clear();
        unauthenticated_.clear();
    }

    void stop()
    {
        stopped_ = true;
        transport_.stop_listening();
        for (auto const& it : all_links())
        {
            close(it, "stopping");
        }
    }

    std::string address() const
    {
        return transport_.address();
    }

    void set_address(instance_id const& instance, std::string address)
    {
        auto& peer = peers_[instance];
        if (peer.address != address)
        {
            peer.address = std::move(address);
            peer.reconnect.reset();
        }
    }

    void remove_instance(instance_id const& instance)
    {
        auto const it = peers_.find(instance);
        if (it == peers_.end())
        {
            return;
        }
        auto peer = std::move(it->second);
        peers_.erase(it);
        drop_waiting(peer);
        for (auto const& link : {peer.outbound, peer.inbound})
        {
            if (link)
            {
                link->conn->drop();
            }
        }
        if (peer.reported_up && handlers_.on_link_down)
        {
            handlers_.on_link_down(instance);
        }
    }

    base::result<void> send(instance_id const& to, messages::message body)
    {
        auto const found = peers_.find(to);
        if (stopped_ || found == peers_.end())
        {
            return refuse(counts_.refused_unreachable, error_kind::peer_unreachable,
                          "network is stopped, or no address is known for entry " + to.value());
        }
        auto const type = body.index();
        messages::envelope envelope{self_.instance, self_.incarnation, sequence_ + 1,
                                    std::move(body)};
        auto bytes = encode(envelope);
        if (!bytes)
        {
            ++counts_.refused_invalid;
            return bytes.error();
        }
        encoded_message message{type, std::move(bytes.value())};
        auto& peer = found->second;
        auto const link = usable_link(peer);
        auto out = link ? write(*link, message) : queue_for_link(to, peer, std::move(message));
        sequence_ += out ? 1 : 0;
        return out;
    }

    bool is_up(instance_id const& instance) const
    {
        auto const it = peers_.find(instance);
        return it != peers_.end() && usable_link(it->second) != nullptr;
    }

    peer_counts const& counts() const noexcept
    {
        return counts_;
    }

private:
    base::result<void> refuse(std::uint64_t& counter, error_kind kind, std::string why)
    {
        ++counter;
        return make_error(kind, std::move(why));
    }

    base::result<void> write(peer_link& link, encoded_message const& message)
    {
        if (link.conn->queued_bytes() + message.bytes.size() > settings_.max_queued_bytes)
        {
            return refuse(counts_.refused_queue_full, error_kind::queue_full,
                          "send queue of the link to entry " + link.peer.instance.value() +
                              " is full");
        }
        if (!link.conn->send_binary(message.bytes))
        {
            return refuse(counts_.refused_unreachable, error_kind::peer_unreachable,
                          "link to entry " + link.peer.instance.value() + " is closing");
        }
        auto& type = counts_.types[message.type];
        ++type.sent;
        type.sent_bytes += message.bytes.size();
        link.last_message = timers_.now();
        return boost::outcome_v2::success();
    }

    base::result<void> queue_for_link(instance_id const& to, peer_entry& peer,
                                      encoded_message message)
    {
        if (!peer.outbound && !open(to, peer))
        {
            return refuse(counts_.refused_unreachable, error_kind::peer_unreachable,
                          "no link to entry " + to.value() + " can be opened now");
        }
        if (!peer.waiting.push(std::move(message), settings_.max_queued_messages,
                               settings_.max_queued_bytes))
        {
            return refuse(counts_.refused_queue_full, error_kind::queue_full,
                          "too many messages wait for the link to entry " + to.value());
        }
        return boost::outcome_v2::success();
    }

    bool open(instance_id const& to, peer_entry& peer)
    {
        if (stopped_ || !peer.reconnect.may_try(timers_.now()))
        {
            return false;
        }
        auto conn = transport_.connect(peer.address);
        if (!conn)
        {
            ++counts_.failed_to_open;
            return false;
        }
        auto const link = std::make_shared<peer_link>(
            std::move(conn), link_handshake::opener(self_, settings_.secret, to), true);
        link->peer.instance = to;
        link->state_since = timers_.now();
        peer.outbound = link;
        set_handlers(link);
        return true;
    }

    void accept(websocket_ptr conn)
    {
        if (stopped_ || inbound_count() >= settings_.max_inbound_links)
        {
            return;
        }
        conn->limit_messages(max_handshake_bytes);
        auto const link = std::make_shared<peer_link>(
            std::move(conn), link_handshake::accepter(self_, settings_.secret), false);
        link->state_since = timers_.now();
        unauthenticated_.insert(link);
        set_handlers(link);
        link->conn->send_text(link->handshake.challenge());
    }

    std::size_t inbound_count() const
    {
        auto const has_inbound = [](auto const& it) { return it.second.inbound != nullptr; };
        return unauthenticated_.size() +
               static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), has_inbound));
    }

    void set_handlers(link_ptr const& link)
    {
        // A weak pointer avoids a cycle: the link owns the connection, which owns the handlers.
        std::weak_ptr<peer_link> const weak = link;
        auto const with_link = [weak](auto call)
        {
            return [weak, call](auto const&... arguments)
            {
                if (auto const it = weak.lock())
                {
                    call(it, arguments...);
                }
            };
        };
        websocket_handlers out;
        out.on_open = [] {};
        out.on_text = with_link([this](link_ptr const& it, std::string const& text)
                                { receive_text(it, text); });
        out.on_binary = with_link([this](link_ptr const& it, std::string const& bytes)
                                  { receive_binary(it, bytes); });
        out.on_control = with_link([this](link_ptr const& it) { receive_control(*it); });
        out.on_closed = with_link([this](link_ptr const& it, std::string const&) { remove(it); });
        link->conn->set_handlers(std::move(out));
    }

    void receive_text(link_ptr const& link, std::string const& text)
    {
        if (link->state != link_state::opening)
        {
            ++counts_.broken;
            drop(link);
            return;
        }
        auto const step = link->handshake.receive(text);
        if (!step)
        {
            ++counts_.authentication_failures;
            drop(link);
            return;
        }
        if (!step.value().reply.empty())
        {
            link->conn->send_text(step.value().reply);
        }
        if (step.value().peer)
        {
            finish_handshake(link, *step.value().peer);
        }
    }

    void finish_handshake(link_ptr const& link, link_identity const& peer_identity)
    {
        link->peer = peer_identity;
        if (link->outbound)
        {
            ++counts_.opened;
        }
        else
        {
            ++counts_.accepted;
            unauthenticated_.erase(link);
            auto const previous = std::exchange(peers_[peer_identity.instance].inbound, link);
            if (previous)
            {
                previous->conn->drop();
            }
            link->conn->limit_messages(max_message_bytes);
        }
        activate(link);
    }

    void activate(link_ptr const& link)
    {
        auto const now = timers_.now();
        link->state = link_state::up;
        link->state_since = now;
        link->last_received = now;
        link->last_ping = now;
        link->last_message = now;
        auto& peer = peers_[link->peer.instance];
        peer.reconnect.reset();
        auto const waiting = peer.waiting.take();
        for (auto const& it : waiting)
        {
            if (!write(*link, it))
            {
                ++counts_.dropped;
            }
        }
        report_link_state(link->peer.instance);
    }

    void receive_binary(link_ptr const& link, std::string const& bytes)
    {
        if (link->state == link_state::opening)
        {
            ++counts_.authentication_failures;
            drop(link);
            return;
        }
        link->last_received = timers_.now();
        link->last_message = link->last_received;
        auto message = decode(bytes);
        if (!message)
        {
            reject_message(link, message.error().kind);
            return;
        }
        if (message.value().from != link->peer.instance ||
            message.value().incarnation != link->peer.incarnation)
        {
            ++counts_.wrong_sender;
            drop(link);
            return;
        }
        auto& type = counts_.types[message.value().body.index()];
        ++type.received;
        type.received_bytes += bytes.size();
        if (handlers_.on_message)
        {
            handlers_.on_message(std::move(message.value()));
        }
    }

    void receive_control(peer_link& link)
    {
        ++counts_.control_frames;
        link.last_received = timers_.now();
    }

    void reject_message(link_ptr const& link, error_kind kind)
    {
        if (kind == error_kind::unsupported_version)
        {
            ++counts_.unsupported;
            return;
        }
        ++counts_.broken;
        drop(link);
    }

    /// Closes the socket of a link immediately and removes the link.
    void drop(link_ptr const& link)
    {
        link->conn->drop();
        remove(link);
    }

    /// Closes a link once its queued messages are sent; a link that is not up is closed
    /// immediately.
    void close(link_ptr const& link, char const* reason)
    {
        if (link->state != link_state::up)
        {
            drop(link);
            return;
        }
        link->state = link_state::closing;
        link->state_since = timers_.now();
        link->conn->close(reason);
        report_link_state(link->peer.instance);
    }

    /// Removes a link whose connection is closed. If an outbound link failed to open, its queued
    /// messages are dropped; otherwise a new link is opened for queued messages, if there are any.
    void remove(link_ptr const& link)
    {
        bool const was_opening =
            std::exchange(link->state, link_state::closing) == link_state::opening;
        counts_.failed_to_open += was_opening ? 1 : 0;
        unauthenticated_.erase(link);
        auto const it = peers_.find(link->peer.instance);
        if (it == peers_.end())
        {
            return;
        }
        auto& peer = it->second;
        if (peer.inbound == link)
        {
            peer.inbound.reset();
        }
        if (peer.outbound == link)
        {
            peer.outbound.reset();
            if (was_opening)
            {
                peer.reconnect.record_failure(timers_.now(), settings_.min_backoff,
                                              settings_.max_backoff, random_);
                drop_waiting(peer);
            }
            else if (!peer.waiting.empty() && !open(link->peer.instance, peer))
            {
                drop_waiting(peer);
            }
        }
        report_link_state(link->peer.instance);
        remove_if_unused(link->peer.instance);
    }

    void drop_waiting(peer_entry& peer)
    {
        counts_.dropped += peer.waiting.take().size();
    }

    /// Removes an instance that has no address and no links left. Such an instance was added only
    /// because it opened a link.
    void remove_if_unused(instance_id const& instance)
    {
        auto const it = peers_.find(instance);
        bool const in_use = it == peers_.end() || !it->second.address.empty() ||
                            it->second.inbound || it->second.outbound;
        if (!in_use)
        {
            peers_.erase(it);
        }
    }

    /// Calls a handler if the links to an instance came up or went down, or the instance has a new
    /// incarnation. The caller must keep `instance` alive even if a handler removes that instance.
    void report_link_state(instance_id const& instance)
    {
        auto const it = peers_.find(instance);
        if (it == peers_.end())
        {
            return;
        }
        auto& peer = it->second;
        auto const link = usable_link(peer);
        if (!link)
        {
            bool const was_up = std::exchange(peer.reported_up, false);
            if (was_up && handlers_.on_link_down)
            {
                handlers_.on_link_down(instance);
            }
            return;
        }
        auto const newest = link->peer.incarnation;
        bool const same = peer.reported_up && peer.reported_incarnation == newest;
        peer.reported_up = true;
        peer.reported_incarnation = newest;
        if (!same && handlers_.on_link_up)
        {
            handlers_.on_link_up(instance, newest);
        }
    }

    std::vector<link_ptr> all_links() const
    {
        std::vector<link_ptr> out(unauthenticated_.begin(), unauthenticated_.end());
        for (auto const& [id, peer] : peers_)
        {
            for (auto const& it : {peer.outbound, peer.inbound})
            {
                if (it)
                {
                    out.push_back(it);
                }
            }
        }
        return out;
    }

    void check_links()
    {
        auto const self = shared_from_this();
        for (auto const& it : all_links())
        {
            check_link(it);
        }
    }

    void check_link(link_ptr const& link)
    {
        auto const now = timers_.now();
        if (link->state != link_state::up)
        {
            // Applies to opening links and to links that wait for the other end's close frame.
            if (now - link->state_since > settings_.handshake_timeout)
            {
                drop(link);
            }
            return;
        }
        if (now - link->last_received > settings_.silence_limit)
        {
            replace_unresponsive_link(link);
            return;
        }
        if (link->outbound && now - link->last_message > settings_.idle_limit)
        {
            ++counts_.idle;
            close(link, "idle");
            return;
        }
        if (now - link->last_ping >= settings_.ping_period)
        {
            link->last_ping = now;
            link->conn->ping();
        }
    }

    void replace_unresponsive_link(link_ptr const& link)
    {
        ++counts_.silent;
        auto const id = link->peer.instance;
        bool const outbound = link->outbound;
        drop(link);
        auto const it = peers_.find(id);
        if (outbound && it != peers_.end() && !it->second.outbound)
        {
            open(id, it->second);
        }
    }

    base::timer_service& timers_;
    peer_settings settings_;
    peer_handlers handlers_;
    link_identity self_;
    std::mt19937_64 random_;
    peer_counts counts_;
    std::map<instance_id, peer_entry> peers_;
    /// Accepted connections that are not authenticated yet.
    std::set<link_ptr> unauthenticated_;
    std::uint64_t sequence_ = 0;
    bool stopped_ = false;
    websocket_transport transport_;
    std::unique_ptr<base::timer_subscription> check_timer_;
};

peer_network::peer_network(boost::asio::io_context& io, base::timer_service& timers,
                           peer_settings settings, peer_handlers handlers)
    : impl_(std::make_shared<impl>(io, timers, std::move(settings), std::move(handlers)))
{
}

peer_network::~peer_network()
{
    impl_->detach();
}

std::string peer_network::address() const
{
    return impl_->address();
}

void peer_network::set_address(base::instance_id const& instance, std::string address)
{
    impl_->set_address(instance, std::move(address));
}

void peer_network::remove_instance(base::instance_id const& instance)
{
    impl_->remove_instance(instance);
}

base::result<void> peer_network::send(base::instance_id const& to, messages::message body)
{
    return impl_->send(to, std::move(body));
}

bool peer_network::is_up(base::instance_id const& instance) const
{
    return impl_->is_up(instance);
}

void peer_network::stop()
{
    impl_->stop();
}

peer_counts const& peer_network::counts() const noexcept
{
    return impl_->counts();
}

} // namespace fuchsiaproxy::peers
