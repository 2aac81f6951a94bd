#include "fuchsiaproxy/standin/store.hpp"

#include <cstdlib>
#include <list>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "clock.hpp"
#include "fuchsiaproxy/metadata/store.hpp"
#include "fuchsiaproxy/standin/http_server.hpp"
#include "store_state.hpp"

namespace fuchsiaproxy::standin
{
namespace
{

using boost::system::error_code;
using nlohmann::json;

constexpr char keys_prefix[] = "/v1/keys/";
constexpr char leases_prefix[] = "/v1/leases/";
constexpr char instances_path[] = "/v1/instances";
constexpr char control_prefix[] = "/control/";

bool starts_with(std::string const& text, std::string const& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string without_prefix(std::string const& text, std::string const& prefix)
{
    return text.substr(prefix.size());
}

json to_json(versioned_value const& it)
{
    return {{"revision", it.revision}, {"value", it.revision == 0 ? json() : json(it.value)}};
}

json to_json(metadata::listed_instance const& it)
{
    bool const leaving = it.state == metadata::instance_state::leaving;
    return {{"id", it.id},
            {"role", it.role},
            {"address", it.address},
            {"state", leaving ? "leaving" : "live"}};
}

outage outage_of(std::string const& name)
{
    if (name == "close")
    {
        return outage::close;
    }
    if (name == "silent")
    {
        return outage::silent;
    }
    return name == "refuse" ? outage::refuse : outage::none;
}

/// A long-polling watch that waits for a change of a key.
struct waiting_watch
{
    std::string key;
    std::uint64_t known = 0;
    exchange_ptr exchange;
    boost::asio::steady_timer timer;
};

} // namespace

class store_server::impl
{
public:
    impl(boost::asio::io_context& io, metadata::http_endpoint const& at, store_settings settings)
        : io_(io), settings_(settings), writes_(settings.writes_per_second),
          reads_(settings.reads_per_second),
          server_(io, at,
                  [this](server_request const& request, exchange_ptr const& exchange)
                  { dispatch(request, exchange); })
    {
    }

    ~impl()
    {
        *alive_ = false;
    }

    metadata::http_endpoint endpoint() const
    {
        return server_.endpoint();
    }

    store_counts const& counts() const noexcept
    {
        return counts_;
    }

    std::size_t waiting_watches() const noexcept
    {
        return watches_.size();
    }

    void set_outage(outage how)
    {
        outage_ = how;
        if (how == outage::close || how == outage::refuse)
        {
            auto const watches = std::exchange(watches_, {});
            for (auto const& it : watches)
            {
                apply_outage(it->exchange);
            }
        }
    }

    store_settings& settings() noexcept
    {
        return settings_;
    }

    store_state& state() noexcept
    {
        return state_;
    }

    void lose_answers(std::uint64_t n)
    {
        answers_to_lose_ = n;
    }

private:
    using watch_list = std::list<std::shared_ptr<waiting_watch>>;

    void dispatch(server_request const& request, exchange_ptr const& exchange)
    {
        try
        {
            if (starts_with(request.path, control_prefix))
            {
                handle_control(request, exchange);
            }
            else if (starts_with(request.path, std::string(instances_path) + "/"))
            {
                register_instance(request, exchange);
            }
            else
            {
                serve(request, exchange);
            }
        }
        catch (json::exception const& e)
        {
            exchange->answer(400, json{{"error", e.what()}}.dump());
        }
    }

    void serve(server_request const& request, exchange_ptr const& exchange)
    {
        bool const write = request.method != "GET";
        if (!count_call(request))
        {
            exchange->answer(404, R"({"error":"no such resource"})");
            return;
        }
        if (outage_ != outage::none)
        {
            apply_outage(exchange);
            return;
        }
        if (!(write ? writes_ : reads_).try_acquire(now()))
        {
            ++counts_.over_limit;
            exchange->answer(429, R"({"error":"over the rate limit"})");
            return;
        }
        if (request.path == instances_path)
        {
            read_instances(exchange);
        }
        else if (starts_with(request.path, leases_prefix))
        {
            write_lease(request, exchange);
        }
        else if (write)
        {
            write_key(request, exchange);
        }
        else
        {
            read_key(request, exchange);
        }
    }

    /// Increments the counter of the called operation. Returns false if the resource does not
    /// exist.
    bool count_call(server_request const& request)
    {
        auto const& method = request.method;
        if (request.path == instances_path && method == "GET")
        {
            ++counts_.read_instances;
        }
        else if (starts_with(request.path, leases_prefix) && method == "PUT")
        {
            ++counts_.acquire_lease;
        }
        else if (starts_with(request.path, leases_prefix) && method == "DELETE")
        {
            ++counts_.release_lease;
        }
        else if (starts_with(request.path, keys_prefix) && method == "PUT")
        {
            ++counts_.compare_and_swap;
        }
        else if (starts_with(request.path, keys_prefix) && method == "GET")
        {
            ++(query_of(request, "watch").empty() ? counts_.get : counts_.watch);
        }
        else
        {
            return false;
        }
        return true;
    }

    void apply_outage(exchange_ptr const& exchange)
    {
        if (outage_ == outage::close)
        {
            exchange->abort();
        }
        else if (outage_ == outage::refuse)
        {
            exchange->answer(503, R"({"error":"outage"})");
        }
    }

    void answer(exchange_ptr const& exchange, unsigned status, json const& body)
    {
        if (settings_.answer_delay <= base::duration::zero())
        {
            exchange->answer(status, body.dump());
            return;
        }
        auto const timer = std::make_shared<boost::asio::steady_timer>(io_, settings_.answer_delay);
        timer->async_wait([timer, exchange, status, text = body.dump()](error_code)
                          { exchange->answer(status, text); });
    }

    /// Answers a write that took effect, or drops the answer if a test requested that.
    void answer_write(exchange_ptr const& exchange, json const& body)
    {
        if (answers_to_lose_ > 0)
        {
            --answers_to_lose_;
            ++counts_.lost_answers;
            exchange->abort();
            return;
        }
        answer(exchange, 200, body);
    }

    void read_key(server_request const& request, exchange_ptr const& exchange)
    {
        auto const key = without_prefix(request.path, keys_prefix);
        auto const known_text = query_of(request, "watch");
        if (known_text.empty())
        {
            answer(exchange, 200, to_json(state_.read(key, now() - settings_.read_lag)));
            return;
        }
        auto const known = std::strtoull(known_text.c_str(), nullptr, 10);
        auto const wait = std::strtoll(query_of(request, "wait_ms").c_str(), nullptr, 10);
        if (state_.latest(key).revision > known || wait <= 0)
        {
            answer(exchange, 200, to_json(state_.latest(key)));
            return;
        }
        start_watch(key, known, std::chrono::milliseconds(wait), exchange);
    }

    void start_watch(std::string const& key, std::uint64_t known, base::duration wait,
                     exchange_ptr const& exchange)
    {
        auto const it = std::make_shared<waiting_watch>(
            waiting_watch{key, known, exchange, boost::asio::steady_timer(io_, wait)});
        watches_.push_back(it);
        auto const alive = alive_;
        it->timer.async_wait(
            [this, alive, weak = std::weak_ptr<waiting_watch>(it)](error_code ec)
            {
                auto const watch = weak.lock();
                if (!ec && *alive && watch)
                {
                    end_watch(watch);
                }
            });
        exchange->on_closed(
            [this, alive, weak = std::weak_ptr<waiting_watch>(it)]
            {
                auto const watch = weak.lock();
                if (*alive && watch)
                {
                    watches_.remove(watch);
                }
            });
    }

    void end_watch(std::shared_ptr<waiting_watch> const& it)
    {
        watches_.remove(it);
        if (outage_ != outage::none)
        {
            apply_outage(it->exchange);
            return;
        }
        answer(it->exchange, 200, to_json(state_.latest(it->key)));
    }

    void end_watches_of(std::string const& key)
    {
        watch_list due;
        for (auto const& it : watches_)
        {
            if (it->key == key)
            {
                due.push_back(it);
            }
        }
        for (auto const& it : due)
        {
            end_watch(it);
        }
    }

    void write_key(server_request const& request, exchange_ptr const& exchange)
    {
        auto const key = without_prefix(request.path, keys_prefix);
        auto const body = json::parse(request.body);
        auto value = body.at("value").get<std::string>();
        if (value.size() > metadata::max_value_bytes)
        {
            answer(exchange, 413, {{"error", "value too large"}});
            return;
        }
        auto const revision = state_.compare_and_swap(key, body.at("expected").get<std::uint64_t>(),
                                                      std::move(value), now());
        if (!revision)
        {
            answer(exchange, 409, {{"revision", state_.latest(key).revision}});
            return;
        }
        answer_write(exchange, {{"revision", *revision}});
        end_watches_of(key);
    }

    void write_lease(server_request const& request, exchange_ptr const& exchange)
    {
        auto const name = without_prefix(request.path, leases_prefix);
        auto const body = json::parse(request.body);
        auto const holder = body.at("holder").get<std::string>();
        if (request.method == "DELETE")
        {
            if (!state_.release(name, holder, now()))
            {
                answer(exchange, 409, {{"error", "not the holder"}});
                return;
            }
            answer_write(exchange, json::object());
            return;
        }
        auto const ttl = from_milliseconds(body.at("ttl_ms").get<double>());
        auto const lease = state_.acquire(name, holder, ttl, now());
        if (!lease)
        {
            answer(exchange, 409, {{"error", "held by another"}});
            return;
        }
        answer_write(exchange, {{"holder", lease->holder},
                                {"fencing_token", lease->fencing_token},
                                {"valid_for_ms", static_cast<std::int64_t>(milliseconds_of(ttl))}});
    }

    void read_instances(exchange_ptr const& exchange)
    {
        auto list = json::array();
        for (auto const& it : state_.instances(now() - settings_.list_lag))
        {
            list.push_back(to_json(it));
        }
        answer(exchange, 200, {{"instances", list}});
    }

    // Instances are registered by the platform itself, so registration is neither counted nor
    // affected by an outage.
    void register_instance(server_request const& request, exchange_ptr const& exchange)
    {
        auto const id = without_prefix(request.path, std::string(instances_path) + "/");
        if (request.method == "DELETE")
        {
            state_.remove_instance(id, now());
        }
        else
        {
            auto const body = json::parse(request.body);
            metadata::listed_instance it;
            it.id = id;
            it.role = body.at("role").get<std::string>();
            it.address = body.at("address").get<std::string>();
            it.state = body.value("state", "live") == "leaving" ? metadata::instance_state::leaving
                                                                : metadata::instance_state::live;
            state_.put_instance(std::move(it), now());
        }
        exchange->answer(200, "{}");
    }

    void handle_control(server_request const& request, exchange_ptr const& exchange)
    {
        auto const name = without_prefix(request.path, control_prefix);
        if (name == "counters" && request.method == "GET")
        {
            exchange->answer(200, counters().dump());
            return;
        }
        if (request.method != "POST" || !apply_control(name, json::parse(request.body)))
        {
            exchange->answer(404, R"({"error":"no such control"})");
            return;
        }
        exchange->answer(200, "{}");
    }

    bool apply_control(std::string const& name, json const& body)
    {
        if (name == "down")
        {
            set_outage(outage_of(body.at("mode").get<std::string>()));
        }
        else if (name == "slow")
        {
            settings_.answer_delay = from_milliseconds(body.at("ms").get<double>());
        }
        else if (name == "lose_answers")
        {
            answers_to_lose_ = body.at("n").get<std::uint64_t>();
        }
        else if (name == "lapse")
        {
            state_.drop_lease(body.at("lease").get<std::string>());
        }
        else if (name == "stale")
        {
            settings_.read_lag = from_milliseconds(body.at("ms").get<double>());
        }
        else if (name == "lag")
        {
            settings_.list_lag = from_milliseconds(body.at("ms").get<double>());
        }
        else
        {
            return false;
        }
        return true;
    }

    json counters() const
    {
        return {{"get", counts_.get},
                {"compare_and_swap", counts_.compare_and_swap},
                {"watch", counts_.watch},
                {"acquire_lease", counts_.acquire_lease},
                {"release_lease", counts_.release_lease},
                {"read_instances", counts_.read_instances},
                {"over_limit", counts_.over_limit},
                {"lost_answers", counts_.lost_answers},
                {"waiting_watches", watches_.size()}};
    }

    boost::asio::io_context& io_;
    store_settings settings_;
    store_state state_;
    store_counts counts_;
    rate_limit writes_;
    rate_limit reads_;
    outage outage_ = outage::none;
    std::uint64_t answers_to_lose_ = 0;
    watch_list watches_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    http_server server_;
};

store_server::store_server(boost::asio::io_context& io, metadata::http_endpoint const& at,
                           store_settings settings)
    : impl_(std::make_unique<impl>(io, at, settings))
{
}

store_server::~store_server() = default;

metadata::http_endpoint store_server::endpoint() const
{
    return impl_->endpoint();
}

store_counts const& store_server::counts() const noexcept
{
    return impl_->counts();
}

std::size_t store_server::waiting_watches() const noexcept
{
    return impl_->waiting_watches();
}

void store_server::set_outage(outage how)
{
    impl_->set_outage(how);
}

void store_server::set_answer_delay(base::duration delay)
{
    impl_->settings().answer_delay = delay;
}

void store_server::lose_answers(std::uint64_t n)
{
    impl_->lose_answers(n);
}

void store_server::expire_lease(std::string const& name)
{
    impl_->state().drop_lease(name);
}

void store_server::set_read_lag(base::duration age)
{
    impl_->settings().read_lag = age;
}

void store_server::set_list_lag(base::duration age)
{
    impl_->settings().list_lag = age;
}

void store_server::put_instance(metadata::listed_instance instance)
{
    impl_->state().put_instance(std::move(instance), now());
}

void store_server::remove_instance(std::string const& id)
{
    impl_->state().remove_instance(id, now());
}

} // namespace fuchsiaproxy::standin
