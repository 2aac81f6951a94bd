#include "connection_pool.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address.hpp>

namespace fuchsiaproxy::upstreams
{

namespace
{

// Share of the upstream's stated idle limit during which a connection is reused. The rest allows
// for the network delay and the upstream's clock.
constexpr int idle_share_permille = 800;

} // namespace

/// Closes an idle connection that becomes readable: by end of stream, or by bytes without a
/// request.
class connection_pool::idle_handler final : public connection_handler
{
public:
    idle_handler(connection_pool& pool, connection const* link) : pool_(pool), link_(link) {}

    void on_connected(boost::system::error_code) override {}
    void on_writable() override {}
    void on_readable() override
    {
        // Must come last: this destroys the entry together with this handler.
        pool_.close_stale(link_);
    }

private:
    connection_pool& pool_;
    connection const* link_;
};

connection_pool::connection_pool(boost::asio::io_context& io, base::timer_service& timers,
                                 client_settings const& settings, client_counters& counters,
                                 model::endpoint const& at)
    : io_(io), timers_(timers), settings_(settings), counters_(counters)
{
    boost::system::error_code ec;
    auto const address = boost::asio::ip::make_address(at.address, ec);
    if (!ec)
    {
        address_.emplace(address, at.port);
    }
}

connection_pool::~connection_pool()
{
    close_idle();
}

std::shared_ptr<connection> connection_pool::pop()
{
    auto link = std::move(idle_.back().link);
    idle_.pop_back();
    link->set_handler(nullptr);
    return link;
}

std::shared_ptr<connection> connection_pool::take_idle(base::duration max_idle)
{
    auto const oldest = timers_.now() - max_idle;
    while (!idle_.empty() && idle_.back().link->idle_since >= oldest)
    {
        auto link = pop();
        if (may_be_closing(*link))
        {
            ++counters_.idle_closed;
            link->close();
            continue;
        }
        if (link->read_would_block())
        {
            ++in_use_;
            return link;
        }
        ++counters_.stale;
        link->close();
    }
    return nullptr;
}

/// Returns whether the upstream may be closing the connection, by the idle limit that it stated.
bool connection_pool::may_be_closing(connection const& it) const
{
    return it.stated_idle_limit != base::duration::max() &&
           timers_.now() - it.idle_since >= it.stated_idle_limit * idle_share_permille / 1000;
}

std::shared_ptr<connection> connection_pool::open()
{
    if (in_use_ >= settings_.max_connections)
    {
        return nullptr;
    }
    if (size() >= settings_.max_connections)
    {
        idle_.front().link->close();
        idle_.erase(idle_.begin());
    }
    ++in_use_;
    return std::make_shared<connection>(io_);
}

std::optional<boost::asio::ip::tcp::endpoint> const& connection_pool::address() const
{
    return address_;
}

void connection_pool::give_back(std::shared_ptr<connection> it)
{
    --in_use_;
    it->idle_since = timers_.now();
    it->pooled = true;
    auto handler = std::make_unique<idle_handler>(*this, it.get());
    it->set_handler(handler.get());
    it->arm_read();
    idle_.push_back(idle_entry{std::move(it), std::move(handler)});
}

void connection_pool::discard(connection& it)
{
    --in_use_;
    it.close();
}

void connection_pool::close_stale(connection const* it)
{
    auto const at = std::find_if(idle_.begin(), idle_.end(),
                                 [&](idle_entry const& entry) { return entry.link.get() == it; });
    if (at != idle_.end())
    {
        ++counters_.stale;
        auto const entry = std::move(*at);
        idle_.erase(at);
        entry.link->close();
    }
}

std::size_t connection_pool::close_idle()
{
    auto const closed = idle_.size();
    for (auto const& it : idle_)
    {
        it.link->close();
    }
    idle_.clear();
    return closed;
}

void connection_pool::sweep(base::time_point now)
{
    auto const is_kept = [&](idle_entry const& it)
    { return now - it.link->idle_since < settings_.idle_limit; };
    auto const kept = std::find_if(idle_.begin(), idle_.end(), is_kept);
    for (auto it = idle_.begin(); it != kept; ++it)
    {
        ++counters_.idle_closed;
        it->link->close();
    }
    idle_.erase(idle_.begin(), kept);
}

std::size_t connection_pool::size() const
{
    return in_use_ + idle_.size();
}

std::size_t connection_pool::idle() const
{
    return idle_.size();
}

} // namespace fuchsiaproxy::upstreams
