#include "entry_directory.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "clock.hpp"

namespace fuchsiaproxy::standin
{
namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds query_deadline{500};
// Keeps a caller from sending a query per request while all entries fail.
constexpr std::chrono::milliseconds retry_delay{200};
constexpr std::size_t max_queued_per_entry = 100'000;

} // namespace

metadata::http_client& client_pool::at(std::string const& address)
{
    auto& it = clients_[address];
    if (!it)
    {
        metadata::http_client_limits limits;
        limits.max_connections = max_connections_;
        limits.max_queued = max_queued_per_entry;
        it =
            std::make_unique<metadata::http_client>(io_, metadata::parse_endpoint(address), limits);
    }
    return *it;
}

entry_directory::entry_directory(client_pool& pool,
                                 std::vector<metadata::http_endpoint> const& bootstrap,
                                 std::string target)
    : pool_(pool), target_(std::move(target))
{
    for (auto const& it : bootstrap)
    {
        bootstrap_.push_back(it.address + ":" + std::to_string(it.port));
    }
}

void entry_directory::read(handler done)
{
    if (now() < valid_until_)
    {
        done(entries_);
        return;
    }
    waiting_.push_back(std::move(done));
    if (waiting_.size() == 1)
    {
        query(0);
    }
}

void entry_directory::expire()
{
    valid_until_ = {};
}

std::uint64_t entry_directory::queries() const noexcept
{
    return queries_;
}

std::uint64_t entry_directory::failed_queries() const noexcept
{
    return failed_queries_;
}

void entry_directory::query(std::size_t attempt)
{
    ++queries_;
    // Known entries are queried first, because the bootstrap list may be outdated.
    auto const known = entries_.size();
    auto const& address = attempt < known ? entries_[attempt].address
                                          : bootstrap_[next_bootstrap_++ % bootstrap_.size()];
    metadata::http_call call;
    call.target = target_;
    call.deadline = query_deadline;
    pool_.at(address).start(std::move(call),
                            [this, attempt, known](metadata::http_answer const& answer)
                            {
                                if (update_entries(answer))
                                {
                                    complete_waiting_reads();
                                    return;
                                }
                                ++failed_queries_;
                                if (attempt + 1 < known + bootstrap_.size())
                                {
                                    query(attempt + 1);
                                    return;
                                }
                                valid_until_ = now() + retry_delay;
                                complete_waiting_reads();
                            });
}

bool entry_directory::update_entries(metadata::http_answer const& answer)
{
    if (answer.state != metadata::http_call_state::answered || answer.status != 200)
    {
        return false;
    }
    try
    {
        auto const body = json::parse(answer.body);
        std::vector<usable_entry> entries;
        for (auto const& it : body.at("entries"))
        {
            entries.push_back({it.at("id").get<std::string>(), it.at("address").get<std::string>(),
                               it.at("ticket").get<std::string>()});
        }
        valid_until_ = now() + from_milliseconds(body.at("ttl_ms").get<double>());
        if (entries.empty())
        {
            return false;
        }
        entries_ = std::move(entries);
        return true;
    }
    catch (json::exception const&)
    {
        return false;
    }
}

void entry_directory::complete_waiting_reads()
{
    auto const waiting = std::exchange(waiting_, {});
    for (auto const& it : waiting)
    {
        it(entries_);
    }
}

} // namespace fuchsiaproxy::standin
