#include "fuchsiaproxy/metadata/platform_clients.hpp"

#include <utility>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace fuchsiaproxy::metadata
{
namespace
{

using base::error_kind;
using base::make_error;
using nlohmann::json;

std::string escape(std::string const& key)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    for (auto const c : key)
    {
        auto const octet = static_cast<unsigned char>(c);
        bool const plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '/';
        if (plain)
        {
            out += c;
            continue;
        }
        out += '%';
        out += digits[octet >> 4U];
        out += digits[octet & 15U];
    }
    return out;
}

std::int64_t milliseconds_of(base::duration it)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

bool is_write(call_kind kind)
{
    return kind == call_kind::compare_and_swap || kind == call_kind::acquire_lease ||
           kind == call_kind::release_lease;
}

/// Returns the error that status 409 stands for.
error_kind conflict_error_kind(call_kind kind)
{
    return kind == call_kind::acquire_lease || kind == call_kind::release_lease
               ? error_kind::lease_lost
               : error_kind::store_conflict;
}

error_kind missing_answer_error_kind(call_kind kind, bool sent)
{
    return sent && is_write(kind) ? error_kind::store_answer_unknown
                                  : error_kind::store_unavailable;
}

base::error error_of(call_kind kind, http_answer const& answer)
{
    auto const name = std::string(name_of(kind));
    if (answer.state != http_call_state::answered)
    {
        bool const sent = answer.state == http_call_state::sent_unanswered;
        return make_error(missing_answer_error_kind(kind, sent),
                          name + " not answered: " + answer.failure);
    }
    auto const text = name + " answered with status " + std::to_string(answer.status);
    switch (answer.status)
    {
    case 409:
        return make_error(conflict_error_kind(kind), text);
    case 413:
        return make_error(error_kind::value_too_large, text);
    case 429:
    case 503:
        // The store sends these before it applies any change.
        return make_error(error_kind::store_unavailable, text);
    default:
        break;
    }
    if (answer.status >= 500)
    {
        return make_error(missing_answer_error_kind(kind, true), text);
    }
    return make_error(error_kind::bad_request, text);
}

/// Sends calls to the platform, counts them and decodes their answers.
class platform_http_client
{
public:
    platform_http_client(boost::asio::io_context& io, http_endpoint endpoint,
                         http_timeouts timeouts, std::shared_ptr<platform_counters> counters)
        : io_(io), client_(io, std::move(endpoint), {}), timeouts_(timeouts),
          counters_(counters ? std::move(counters) : std::make_shared<platform_counters>())
    {
    }

    http_timeouts const& timeouts() const noexcept
    {
        return timeouts_;
    }

    /// Calls `done` with the result of `read` on the JSON answer, or with an error.
    template <class T, class Read>
    void start(call_kind kind, http_call call, Read read, std::function<void(base::result<T>)> done)
    {
        ++counters_->of(kind).calls;
        if (!call.body.empty())
        {
            call.fields.push_back({"Content-Type", "application/json"});
        }
        client_.start(std::move(call), [this, kind, read = std::move(read),
                                        done = std::move(done)](http_answer const& answer)
                      { finish<T>(kind, answer, read, done); });
    }

    /// Fails a call with `why` without sending it.
    template <class T>
    void fail_unsent(call_kind kind, base::error why, std::function<void(base::result<T>)> done)
    {
        ++counters_->of(kind).calls;
        ++counters_->of(kind).failures;
        std::weak_ptr<bool> const alive = alive_;
        boost::asio::post(io_,
                          [alive, why = std::move(why), done = std::move(done)]
                          {
                              if (!alive.expired())
                              {
                                  done(why);
                              }
                          });
    }

private:
    template <class T, class Read>
    void finish(call_kind kind, http_answer const& answer, Read const& read,
                std::function<void(base::result<T>)> const& done)
    {
        auto const timed_out = client_.counts().timed_out;
        counters_->timed_out_connections += timed_out - counted_timeouts_;
        counted_timeouts_ = timed_out;
        auto out = interpret<T>(kind, answer, read);
        if (!out)
        {
            ++counters_->of(kind).failures;
        }
        done(std::move(out));
    }

    template <class T, class Read>
    static base::result<T> interpret(call_kind kind, http_answer const& answer, Read const& read)
    {
        if (answer.state != http_call_state::answered || answer.status != 200)
        {
            return error_of(kind, answer);
        }
        try
        {
            return read(json::parse(answer.body));
        }
        catch (json::exception const& e)
        {
            return make_error(missing_answer_error_kind(kind, true),
                              std::string(name_of(kind)) +
                                  " answered with invalid JSON: " + e.what());
        }
    }

    boost::asio::io_context& io_;
    http_client client_;
    http_timeouts timeouts_;
    std::shared_ptr<platform_counters> counters_;
    std::uint64_t counted_timeouts_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

stored_value read_value(json const& it)
{
    stored_value out;
    out.revision = key_revision(it.at("revision").get<std::uint64_t>());
    if (!it.at("value").is_null())
    {
        out.value = it.at("value").get<std::string>();
    }
    return out;
}

class http_store final : public store
{
public:
    http_store(boost::asio::io_context& io, http_endpoint const& endpoint, http_timeouts timeouts,
               std::shared_ptr<platform_counters> const& counters)
        : call_client_(io, endpoint, timeouts, counters),
          watch_client_(io, endpoint, timeouts, counters)
    {
    }

    void get(std::string key, value_handler done) override
    {
        http_call call;
        call.target = "/v1/keys/" + escape(key);
        call.deadline = call_client_.timeouts().call;
        call_client_.start<stored_value>(call_kind::get, std::move(call), read_value,
                                         std::move(done));
    }

    void compare_and_swap(std::string key, key_revision expected, std::string value,
                          revision_handler done) override
    {
        constexpr auto kind = call_kind::compare_and_swap;
        if (value.size() > max_value_bytes)
        {
            auto const text = "value of key \"" + key + "\" has " + std::to_string(value.size()) +
                              " bytes, the limit is " + std::to_string(max_value_bytes);
            call_client_.fail_unsent<key_revision>(
                kind, make_error(error_kind::value_too_large, text), std::move(done));
            return;
        }
        http_call call;
        call.method = "PUT";
        call.target = "/v1/keys/" + escape(key);
        call.deadline = call_client_.timeouts().call;
        try
        {
            call.body = json{{"expected", expected.value()}, {"value", std::move(value)}}.dump();
        }
        catch (json::exception const& e)
        {
            call_client_.fail_unsent<key_revision>(
                kind, make_error(error_kind::bad_request, e.what()), std::move(done));
            return;
        }
        auto const read = [](json const& it)
        { return key_revision(it.at("revision").get<std::uint64_t>()); };
        call_client_.start<key_revision>(kind, std::move(call), read, std::move(done));
    }

    void watch(std::string key, key_revision known, base::duration wait,
               value_handler done) override
    {
        http_call call;
        call.target = "/v1/keys/" + escape(key) + "?watch=" + std::to_string(known.value()) +
                      "&wait_ms=" + std::to_string(milliseconds_of(wait));
        call.deadline = wait + watch_client_.timeouts().watch_grace;
        watch_client_.start<stored_value>(call_kind::watch, std::move(call), read_value,
                                          std::move(done));
    }

    void acquire_lease(std::string name, std::string holder, base::duration ttl,
                       lease_handler done) override
    {
        auto call = lease_call("PUT", name);
        call.body = json{{"holder", holder}, {"ttl_ms", milliseconds_of(ttl)}}.dump();
        auto const read = [](json const& it)
        {
            lease_grant out;
            out.holder = it.at("holder").get<std::string>();
            out.fencing_token = it.at("fencing_token").get<std::uint64_t>();
            out.valid_for = std::chrono::milliseconds(it.at("valid_for_ms").get<std::int64_t>());
            return out;
        };
        call_client_.start<lease_grant>(call_kind::acquire_lease, std::move(call), read,
                                        std::move(done));
    }

    void release_lease(std::string name, std::string holder, release_handler done) override
    {
        auto call = lease_call("DELETE", name);
        call.body = json{{"holder", holder}}.dump();
        auto const read = [](json const&) -> base::result<void>
        { return boost::outcome_v2::success(); };
        call_client_.start<void>(call_kind::release_lease, std::move(call), read, std::move(done));
    }

private:
    http_call lease_call(std::string method, std::string const& name)
    {
        http_call call;
        call.method = std::move(method);
        call.target = "/v1/leases/" + escape(name);
        call.deadline = call_client_.timeouts().call;
        return call;
    }

    platform_http_client call_client_;
    // Watches use separate connections, because a waiting watch would block other calls.
    platform_http_client watch_client_;
};

std::vector<listed_instance> read_instances(json const& it)
{
    std::vector<listed_instance> out;
    for (auto const& one : it.at("instances"))
    {
        listed_instance instance;
        instance.id = one.at("id").get<std::string>();
        instance.role = one.at("role").get<std::string>();
        instance.address = one.at("address").get<std::string>();
        instance.state = one.at("state").get<std::string>() == "leaving" ? instance_state::leaving
                                                                         : instance_state::live;
        out.push_back(std::move(instance));
    }
    return out;
}

class http_instance_list final : public instance_list
{
public:
    http_instance_list(boost::asio::io_context& io, http_endpoint const& endpoint,
                       http_timeouts timeouts, std::shared_ptr<platform_counters> const& counters)
        : call_client_(io, endpoint, timeouts, counters)
    {
    }

    void read(handler done) override
    {
        http_call call;
        call.target = "/v1/instances";
        call.deadline = call_client_.timeouts().call;
        call_client_.start<std::vector<listed_instance>>(call_kind::read_instances, std::move(call),
                                                         read_instances, std::move(done));
    }

private:
    platform_http_client call_client_;
};

} // namespace

std::string_view name_of(call_kind kind) noexcept
{
    constexpr std::array<std::string_view, call_kind_count> names{
        "get", "compare_and_swap", "watch", "acquire_lease", "release_lease", "read_instances"};
    return names[static_cast<std::size_t>(kind)];
}

std::unique_ptr<store> make_http_store(boost::asio::io_context& io, http_endpoint const& endpoint,
                                       http_timeouts timeouts,
                                       std::shared_ptr<platform_counters> const& counters)
{
    return std::make_unique<http_store>(
        io, endpoint, timeouts, counters ? counters : std::make_shared<platform_counters>());
}

std::unique_ptr<instance_list>
make_http_instance_list(boost::asio::io_context& io, http_endpoint const& endpoint,
                        http_timeouts timeouts, std::shared_ptr<platform_counters> const& counters)
{
    return std::make_unique<http_instance_list>(io, endpoint, timeouts, counters);
}

} // namespace fuchsiaproxy::metadata
