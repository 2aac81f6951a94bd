#include "fuchsiaproxy/upstreams/client.hpp"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection_pool.hpp"
#include "running_attempt.hpp"

namespace fuchsiaproxy::upstreams
{
namespace
{

// Period of the check of the time limits. A limit is enforced late by up to this time.
constexpr auto sweep_period = std::chrono::milliseconds(100);

} // namespace

class client::impl
{
public:
    impl(boost::asio::io_context& io, base::timer_service& timers, http::buffer_pool& buffers,
         client_settings settings)
        : context_(std::make_shared<client_context>(
              client_context{io, timers, buffers, std::move(settings)}))
    {
        context_->on_reported = [this](running_attempt& it) { running_.erase(&it); };
        sweep_ = timers.every(sweep_period, [this](base::time_point now) { sweep(now); });
    }

    ~impl()
    {
        sweep_.reset();
        context_->on_reported = [](running_attempt&) {};
        for (auto const& it : running_)
        {
            it.second->abandon();
        }
    }

    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

    std::shared_ptr<attempt> start(attempt_request request, attempt_events& events)
    {
        auto& pool = pool_of(request.at);
        auto it = std::make_shared<running_attempt>(context_, pool, std::move(request), events);
        running_.emplace(it.get(), it);
        it->start();
        return it;
    }

    void close_idle_connections(model::endpoint const& at)
    {
        auto const it = pools_.find(key{at.address, at.port});
        if (it != pools_.end())
        {
            it->second->close_idle();
        }
    }

    std::size_t connections() const
    {
        std::size_t sum = 0;
        for (auto const& it : pools_)
        {
            sum += it.second->size();
        }
        return sum;
    }

    std::size_t idle_connections() const
    {
        std::size_t sum = 0;
        for (auto const& it : pools_)
        {
            sum += it.second->idle();
        }
        return sum;
    }

    client_counters const& counters() const
    {
        return context_->counters;
    }

private:
    using key = std::pair<std::string, std::uint16_t>;

    connection_pool& pool_of(model::endpoint const& at)
    {
        auto& pool = pools_[key{at.address, at.port}];
        if (!pool)
        {
            pool = std::make_unique<connection_pool>(context_->io, context_->timers,
                                                     context_->settings, context_->counters, at);
        }
        return *pool;
    }

    void sweep(base::time_point now)
    {
        std::vector<std::shared_ptr<running_attempt>> running;
        running.reserve(running_.size());
        for (auto const& it : running_)
        {
            running.push_back(it.second);
        }
        for (auto const& it : running)
        {
            it->check_body_idle_limit(now);
        }
        for (auto const& it : pools_)
        {
            it.second->sweep(now);
        }
    }

    std::shared_ptr<client_context> context_;
    std::map<key, std::unique_ptr<connection_pool>> pools_;
    std::unordered_map<running_attempt*, std::shared_ptr<running_attempt>> running_;
    std::unique_ptr<base::timer_subscription> sweep_;
};

client::client(boost::asio::io_context& io, base::timer_service& timers, http::buffer_pool& buffers,
               client_settings settings)
    : impl_(std::make_shared<impl>(io, timers, buffers, std::move(settings)))
{
}

client::~client() = default;

std::shared_ptr<attempt> client::start(attempt_request request, attempt_events& events)
{
    return impl_->start(std::move(request), events);
}

void client::close_idle_connections(model::endpoint const& at)
{
    impl_->close_idle_connections(at);
}

std::size_t client::connections() const
{
    return impl_->connections();
}

std::size_t client::idle_connections() const
{
    return impl_->idle_connections();
}

client_counters const& client::counters() const
{
    return impl_->counters();
}

} // namespace fuchsiaproxy::upstreams
