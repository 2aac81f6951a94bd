#include "fuchsiaproxy/standin/caller.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "clock.hpp"
#include "entry_directory.hpp"
#include "fuchsiaproxy/standin/upstream.hpp"

namespace fuchsiaproxy::standin
{
namespace
{

using base::request_outcome;
using boost::system::error_code;
using metadata::http_answer;
using metadata::http_call_state;
using nlohmann::json;

/// A request of the load and the state of its attempts.
struct load_request
{
    bool order = false;
    std::string body;
    base::time_point started{};
    base::time_point deadline{};
    std::size_t attempts = 0;
    /// Id of an order that was sent and whose outcome is unknown. It must be resolved before the
    /// order may be retried with a new id.
    std::string unresolved_id;
    std::string id;
    /// Whether any attempt of a look-up may have run.
    bool may_have_run = false;
};

using request_ptr = std::shared_ptr<load_request>;

bool answer_matches(load_request const& request, http_answer const& answer)
{
    auto const body = json::parse(answer.body, nullptr, false);
    return body.is_object() && body.value("request_id", "") == request.id &&
           body.value("body_checksum", "") == checksum(request.body);
}

request_outcome outcome_of(http_answer const& answer)
{
    auto const name = metadata::field_of(answer, "Request-Outcome");
    for (auto const it :
         {request_outcome::run, request_outcome::not_run, request_outcome::already_run})
    {
        if (name == base::name_of(it))
        {
            return it;
        }
    }
    // An upstream that is called directly, not through an entry, sets no outcome.
    return name.empty() && answer.status == 200 ? request_outcome::run
                                                : request_outcome::may_have_run;
}

double percentile(std::vector<double> const& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * share)];
}

} // namespace

class load_generator::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(boost::asio::io_context& io, caller_settings settings)
        : io_(io), settings_(std::move(settings)), pool_(io, settings_.max_connections_per_entry),
          directory_(pool_, settings_.entries,
                     "/lookup?service=" + settings_.service + "&zone=" + settings_.zone),
          random_(settings_.seed), next_start_(io)
    {
    }

    void start(handler done)
    {
        done_ = std::move(done);
        scheduled_start_ = now();
        open_ = settings_.count;
        schedule();
        end_if_done();
    }

    void stop()
    {
        done_ = nullptr;
        stopped_ = true;
        next_start_.cancel();
    }

private:
    void schedule()
    {
        if (stopped_ || started_ == settings_.count)
        {
            return;
        }
        scheduled_start_ += from_milliseconds(
            std::exponential_distribution<double>(settings_.rate)(random_) * 1000);
        next_start_.expires_at(std::chrono::steady_clock::time_point(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                scheduled_start_.time_since_epoch())));
        next_start_.async_wait(
            [self = shared_from_this()](error_code ec)
            {
                if (!ec && !self->stopped_)
                {
                    self->start_request();
                    self->schedule();
                }
            });
    }

    void start_request()
    {
        ++started_;
        auto const it = std::make_shared<load_request>();
        it->order = std::uniform_real_distribution<double>(0, 1)(random_) < settings_.order_share;
        std::uniform_int_distribution<std::size_t> size(settings_.min_body_bytes,
                                                        settings_.max_body_bytes);
        auto const bytes = size(random_);
        if (it->order)
        {
            it->body = make_body(bytes);
        }
        // Latency is measured from the scheduled start. Measured from the actual start, it would
        // leave out the time by which the load generator lags behind its schedule (coordinated
        // omission).
        it->started = scheduled_start_;
        it->deadline = it->started + settings_.deadline;
        ++report_of(*it).sent;
        attempt(it);
    }

    std::string make_body(std::size_t bytes)
    {
        std::string out(bytes, '\0');
        for (auto& c : out)
        {
            c = static_cast<char>(random_());
        }
        return out;
    }

    request_report& report_of(load_request const& it)
    {
        return it.order ? report_.orders : report_.lookups;
    }

    void attempt(request_ptr const& it)
    {
        directory_.read([self = shared_from_this(), it](std::vector<usable_entry> const& entries)
                        { self->attempt_at(it, entries); });
    }

    void attempt_at(request_ptr const& it, std::vector<usable_entry> const& entries)
    {
        if (stopped_)
        {
            return;
        }
        bool const resolving = !it->unresolved_id.empty();
        auto const left = it->deadline - now();
        bool const too_late = !resolving && left <= base::duration::zero();
        if (entries.empty() || it->attempts == settings_.max_attempts || too_late)
        {
            finish_without_result(it);
            return;
        }
        auto const& entry = entries[it->attempts % entries.size()];
        report_.further_attempts += it->attempts > 0 ? 1 : 0;
        ++it->attempts;
        it->id = resolving ? it->unresolved_id
                           : entry.ticket + "." + std::to_string(++nonce_) + "-" +
                                 std::to_string(settings_.seed);
        send(it, entry.address, resolving ? settings_.resolve_timeout : left);
    }

    void send(request_ptr const& it, std::string const& address, base::duration left)
    {
        metadata::http_call call;
        call.method = it->order ? "POST" : "GET";
        call.target = it->order ? settings_.order_target : settings_.lookup_target;
        call.body = it->body;
        auto const ms = std::max<std::int64_t>(1, static_cast<std::int64_t>(milliseconds_of(left)));
        call.fields = {{"Request-Id", it->id},
                       {"Deadline-Ms", std::to_string(ms)},
                       {"Service", settings_.service}};
        call.deadline = left + settings_.late_grace;
        pool_.at(address).start(std::move(call),
                                [self = shared_from_this(), it](http_answer const& answer)
                                {
                                    if (!self->stopped_)
                                    {
                                        self->handle_answer(it, answer);
                                    }
                                });
    }

    void handle_answer(request_ptr const& it, http_answer const& answer)
    {
        if (answer.state != http_call_state::answered)
        {
            handle_missing_answer(it, answer.state);
            return;
        }
        auto const outcome = outcome_of(answer);
        switch (outcome)
        {
        case request_outcome::run:
            record_outcome(*it, outcome);
            finish_run(it, answer);
            break;
        case request_outcome::not_run:
            record_outcome(*it, outcome);
            it->unresolved_id.clear();
            attempt(it);
            break;
        case request_outcome::already_run:
            record_outcome(*it, outcome);
            ++report_of(*it).already_run;
            finish(it);
            break;
        case request_outcome::may_have_run:
            handle_unknown_outcome(it);
            break;
        }
    }

    void handle_missing_answer(request_ptr const& it, http_call_state state)
    {
        directory_.expire();
        it->may_have_run = it->may_have_run || state == http_call_state::sent_unanswered;
        bool const first_time = it->unresolved_id.empty();
        if (it->order && state == http_call_state::sent_unanswered)
        {
            it->unresolved_id = it->id;
        }
        else if (it->order && first_time)
        {
            record_outcome(*it, request_outcome::not_run);
        }
        attempt(it);
    }

    void handle_unknown_outcome(request_ptr const& it)
    {
        if (!it->order)
        {
            it->may_have_run = true;
            attempt(it);
            return;
        }
        it->unresolved_id = it->id;
        it->attempts = settings_.max_attempts;
        finish_without_result(it);
    }

    void finish_without_result(request_ptr const& it)
    {
        auto& report = report_of(*it);
        if (!it->unresolved_id.empty())
        {
            record_outcome(*it, request_outcome::may_have_run);
            ++report.unknown;
        }
        else if (!it->order && it->may_have_run)
        {
            ++report.unknown;
        }
        else
        {
            ++report.not_run;
        }
        finish(it);
    }

    void finish_run(request_ptr const& it, http_answer const& answer)
    {
        auto& report = report_of(*it);
        auto const end = now();
        bool const success = answer.status >= 200 && answer.status < 300;
        if (!success)
        {
            ++report.failed;
        }
        else if (!answer_matches(*it, answer))
        {
            ++report.wrong;
        }
        else
        {
            ++(end <= it->deadline ? report.on_time : report.late);
            latencies_of(*it).push_back(milliseconds_of(end - it->started));
        }
        finish(it);
    }

    std::vector<double>& latencies_of(load_request const& it)
    {
        return it.order ? order_latencies_ : lookup_latencies_;
    }

    void record_outcome(load_request const& it, request_outcome outcome)
    {
        if (it.order)
        {
            report_.order_outcomes.push_back({it.id, outcome});
        }
    }

    void finish(request_ptr const& it)
    {
        --open_;
        end_if_done();
    }

    void end_if_done()
    {
        if (open_ > 0 || !done_)
        {
            return;
        }
        summarise(report_.lookups, lookup_latencies_);
        summarise(report_.orders, order_latencies_);
        report_.entry_queries = directory_.queries();
        report_.failed_entry_queries = directory_.failed_queries();
        auto const done = std::exchange(done_, nullptr);
        done(report_);
    }

    static void summarise(request_report& report, std::vector<double>& latencies)
    {
        std::sort(latencies.begin(), latencies.end());
        report.p50_ms = percentile(latencies, 0.5);
        report.p99_ms = percentile(latencies, 0.99);
    }

    boost::asio::io_context& io_;
    caller_settings settings_;
    client_pool pool_;
    entry_directory directory_;
    std::mt19937_64 random_;
    boost::asio::steady_timer next_start_;
    handler done_;
    caller_report report_;
    std::vector<double> lookup_latencies_;
    std::vector<double> order_latencies_;
    base::time_point scheduled_start_{};
    std::size_t started_ = 0;
    std::size_t open_ = 0;
    std::uint64_t nonce_ = 0;
    bool stopped_ = false;
};

load_generator::load_generator(boost::asio::io_context& io, caller_settings settings)
    : impl_(std::make_shared<impl>(io, std::move(settings)))
{
}

load_generator::~load_generator()
{
    impl_->stop();
}

void load_generator::start(handler done)
{
    impl_->start(std::move(done));
}

} // namespace fuchsiaproxy::standin
