#include "fuchsiaproxy/standin/upstream.hpp"

#include <algorithm>
#include <cstdlib>
#include <list>
#include <set>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "clock.hpp"
#include "fuchsiaproxy/standin/http_server.hpp"
#include "fuchsiaproxy/standin/upstream_json.hpp"
#include "service_time.hpp"
#include "store_state.hpp"

namespace fuchsiaproxy::standin
{
namespace
{

using boost::system::error_code;
using nlohmann::json;

constexpr char cancel_prefix[] = "/control/cancel/";

/// A received request that has not been answered yet.
struct work_item
{
    std::string request_id;
    std::string body_checksum;
    std::size_t body_bytes = 0;
    std::optional<base::time_point> deadline;
    exchange_ptr exchange;
    bool started = false;
};

using work_ptr = std::shared_ptr<work_item>;

} // namespace

class upstream_server::impl
{
public:
    impl(boost::asio::io_context& io, metadata::http_endpoint const& at, std::string id,
         upstream_settings settings, std::uint64_t seed, std::shared_ptr<run_journal> journal)
        : io_(io), id_(std::move(id)), settings_(settings), service_times_(seed),
          journal_(std::move(journal)),
          server_(io, at,
                  [this](server_request const& request, exchange_ptr const& exchange)
                  { dispatch(request, exchange); })
    {
        server_.limit_connections(settings_.max_connections);
    }

    ~impl()
    {
        *alive_ = false;
    }

    metadata::http_endpoint endpoint() const
    {
        return server_.endpoint();
    }

    upstream_counts const& counts() const noexcept
    {
        return counts_;
    }

    upstream_settings& settings() noexcept
    {
        return settings_;
    }

    void release_held()
    {
        auto const due = std::exchange(held_, {});
        for (auto const& it : due)
        {
            finish(*it);
        }
    }

    void close_connections()
    {
        counts_.cancelled += queue_.size();
        queue_.clear();
        counts_.queued = 0;
        server_.close_connections();
    }

private:
    void dispatch(server_request const& request, exchange_ptr const& exchange)
    {
        if (request.path.compare(0, 9, "/control/") == 0)
        {
            handle_control(request, *exchange);
        }
        else if (request.path == "/load")
        {
            exchange->answer(200, json{{"load", reported_load()}}.dump());
        }
        else if (request.path == "/health")
        {
            bool const healthy = settings_.reported_healthy.value_or(!settings_.draining);
            exchange->answer(healthy ? 200 : 503, json{{"healthy", healthy}}.dump());
        }
        else
        {
            receive_work(request, exchange);
        }
    }

    double reported_load() const
    {
        return settings_.reported_load.value_or(load_.at(now() - settings_.report_lag));
    }

    void record_load()
    {
        auto const slots = std::max<std::size_t>(settings_.slots, 1);
        load_.record(now(), static_cast<double>(counts_.running + counts_.queued) /
                                static_cast<double>(slots));
    }

    void receive_work(server_request const& request, exchange_ptr const& exchange)
    {
        ++counts_.received;
        auto const it = std::make_shared<work_item>();
        it->request_id = field_of(request, "Request-Id");
        it->body_checksum = checksum(request.body);
        it->body_bytes = request.body.size();
        it->exchange = exchange;
        auto const limit = field_of(request, "Deadline-Ms");
        if (!limit.empty())
        {
            it->deadline = now() + from_milliseconds(std::strtod(limit.c_str(), nullptr));
        }
        if (cancelled_.count(it->request_id) != 0)
        {
            ++counts_.cancelled;
            shed(*exchange, "cancelled");
            return;
        }
        bool const waits = counts_.running >= settings_.slots;
        if (settings_.draining || (waits && queue_.size() >= settings_.max_queued))
        {
            ++counts_.shed;
            shed(*exchange, settings_.draining ? "draining" : "queue full");
            return;
        }
        enqueue(it);
        start_next();
    }

    void shed(server_exchange& exchange, std::string const& reason)
    {
        std::vector<metadata::http_field> fields{{"Shed", "1"}};
        if (settings_.draining)
        {
            fields.push_back({"Draining", "1"});
        }
        exchange.answer(503, json{{"shed", reason}}.dump(), std::move(fields));
    }

    void enqueue(work_ptr const& it)
    {
        queue_.push_back(it);
        counts_.queued = queue_.size();
        counts_.most_queued = std::max(counts_.most_queued, counts_.queued);
        record_load();
        it->exchange->on_closed(
            [this, alive = alive_, weak = std::weak_ptr<work_item>(it)]
            {
                auto const work = weak.lock();
                if (*alive && work && !work->started)
                {
                    dequeue(work);
                    ++counts_.cancelled;
                }
            });
    }

    void dequeue(work_ptr const& it)
    {
        queue_.remove(it);
        counts_.queued = queue_.size();
        record_load();
    }

    void start_next()
    {
        while (!queue_.empty() && counts_.running < settings_.slots)
        {
            auto const it = queue_.front();
            dequeue(it);
            if (it->deadline && now() >= *it->deadline)
            {
                ++counts_.expired;
                shed(*it->exchange, "deadline passed");
                continue;
            }
            start(it);
        }
    }

    void start(work_ptr const& it)
    {
        it->started = true;
        started_.insert(it->request_id);
        journal_->record(it->request_id);
        auto const time = service_times_.draw(settings_, counts_.started, now());
        ++counts_.started;
        ++counts_.running;
        counts_.most_running = std::max(counts_.most_running, counts_.running);
        record_load();
        if (settings_.hold)
        {
            held_.push_back(it);
            return;
        }
        auto const timer = std::make_shared<boost::asio::steady_timer>(io_, time);
        timer->async_wait(
            [this, alive = alive_, timer, it](error_code)
            {
                if (*alive)
                {
                    finish(*it);
                }
            });
    }

    void finish(work_item& it)
    {
        --counts_.running;
        ++counts_.answered;
        record_load();
        json body{{"request_id", it.request_id},
                  {"upstream", id_},
                  {"body_checksum", it.body_checksum},
                  {"body_bytes", it.body_bytes}};
        auto text = body.dump();
        if (text.size() < settings_.answer_bytes)
        {
            body["padding"] = std::string(settings_.answer_bytes - text.size(), '.');
            text = body.dump();
        }
        std::vector<metadata::http_field> fields;
        if (settings_.draining)
        {
            fields.push_back({"Connection", "close"});
        }
        it.exchange->answer(200, std::move(text), std::move(fields));
        start_next();
    }

    void handle_control(server_request const& request, server_exchange& exchange)
    {
        bool const post = request.method == "POST";
        if (post && request.path.compare(0, sizeof cancel_prefix - 1, cancel_prefix) == 0)
        {
            cancel(request.path.substr(sizeof cancel_prefix - 1), exchange);
        }
        else if (post && request.path == "/control/set")
        {
            apply_settings(request.body, exchange);
        }
        else if (post && request.path == "/control/release")
        {
            release_held();
            exchange.answer(200, "{}");
        }
        else if (request.path == "/control/runs")
        {
            exchange.answer(200, json{{"total", journal_->total()},
                                      {"repeated", journal_->repeated()},
                                      {"ids", journal_->runs()}}
                                     .dump());
        }
        else if (request.path == "/control/counters")
        {
            exchange.answer(200, counters().dump());
        }
        else
        {
            exchange.answer(404, R"({"error":"no such control"})");
        }
    }

    void apply_settings(std::string const& text, server_exchange& exchange)
    {
        auto const changed = change_settings(settings_, text);
        if (!changed)
        {
            exchange.answer(400, json{{"error", changed.error().message}}.dump());
            return;
        }
        server_.limit_connections(settings_.max_connections);
        exchange.answer(200, "{}");
        start_next();
    }

    void cancel(std::string const& request_id, server_exchange& exchange)
    {
        if (started_.count(request_id) != 0)
        {
            exchange.answer(200, R"({"started":true,"cancelled":false})");
            return;
        }
        // Requests that arrive after their cancellation are rejected as well.
        cancelled_.insert(request_id);
        std::list<work_ptr> due;
        std::copy_if(queue_.begin(), queue_.end(), std::back_inserter(due),
                     [&request_id](auto const& it) { return it->request_id == request_id; });
        for (auto const& it : due)
        {
            dequeue(it);
            ++counts_.cancelled;
            shed(*it->exchange, "cancelled");
        }
        exchange.answer(200, R"({"started":false,"cancelled":true})");
    }

    json counters() const
    {
        return {{"upstream", id_},
                {"received", counts_.received},
                {"started", counts_.started},
                {"answered", counts_.answered},
                {"shed", counts_.shed},
                {"cancelled", counts_.cancelled},
                {"expired", counts_.expired},
                {"running", counts_.running},
                {"queued", counts_.queued},
                {"most_running", counts_.most_running},
                {"most_queued", counts_.most_queued},
                {"connections", server_.connections()}};
    }

    boost::asio::io_context& io_;
    std::string id_;
    upstream_settings settings_;
    service_time_source service_times_;
    std::shared_ptr<run_journal> journal_;
    upstream_counts counts_;
    value_history<double> load_;
    std::list<work_ptr> queue_;
    std::list<work_ptr> held_;
    std::set<std::string> started_;
    std::set<std::string> cancelled_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    http_server server_;
};

upstream_server::upstream_server(boost::asio::io_context& io, metadata::http_endpoint const& at,
                                 std::string id, upstream_settings settings, std::uint64_t seed,
                                 std::shared_ptr<run_journal> journal)
    : impl_(std::make_unique<impl>(io, at, std::move(id), settings, seed, std::move(journal)))
{
}

upstream_server::~upstream_server() = default;

metadata::http_endpoint upstream_server::endpoint() const
{
    return impl_->endpoint();
}

upstream_counts const& upstream_server::counts() const noexcept
{
    return impl_->counts();
}

upstream_settings& upstream_server::settings() noexcept
{
    return impl_->settings();
}

void upstream_server::release_held()
{
    impl_->release_held();
}

void upstream_server::close_connections()
{
    impl_->close_connections();
}

} // namespace fuchsiaproxy::standin
