#include "fuchsiaproxy/telemetry/state_log.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include "fuchsiaproxy/base/bounded_ring.hpp"

namespace fuchsiaproxy::telemetry
{
namespace
{

constexpr std::size_t ring_capacity = 1024;
constexpr int max_lines_per_event_and_second = 20;

struct line
{
    log_level level = log_level::info;
    std::string event;
    std::vector<log_field> fields;
    std::int64_t time_ms = 0;
};

log4cxx::LevelPtr level_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

// Quotes values with characters that would make `field=value` ambiguous, and replaces line breaks.
std::string quoted(std::string const& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\\") == std::string::npos)
    {
        return value;
    }
    std::string text = "\"";
    for (char const c : value)
    {
        if (c == '"' || c == '\\')
        {
            text += '\\';
        }
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    return text + "\"";
}

std::string text_of(line const& it)
{
    std::string text = "event=" + it.event;
    for (auto const& field : it.fields)
    {
        text += " " + field.first + "=" + quoted(field.second);
    }
    return text;
}

std::string_view name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warn:
        return "warn";
    case log_level::error:
        break;
    }
    return "error";
}

/// Returns the system's wall clock time in milliseconds since the Unix epoch.
std::int64_t wall_clock_ms()
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

std::string json_of(line const& it)
{
    nlohmann::ordered_json out{
        {"time_ms", it.time_ms}, {"level", name_of(it.level)}, {"event", it.event}};
    for (auto const& field : it.fields)
    {
        out[field.first] = field.second;
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

log4cxx::LoggerPtr make_logger(std::string const& level, log_format format)
{
    auto const is_json = format == log_format::json_on_stdout;
    auto const layout = std::make_shared<log4cxx::PatternLayout>(
        is_json ? LOG4CXX_STR("%m%n") : LOG4CXX_STR("%d{ISO8601} %p %m%n"));
    auto const appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, is_json ? log4cxx::ConsoleAppender::getSystemOut()
                        : log4cxx::ConsoleAppender::getSystemErr());
    auto logger = log4cxx::Logger::getLogger("fuchsiaproxy");
    logger->setAdditivity(false);
    logger->removeAllAppenders();
    logger->addAppender(appender);
    logger->setLevel(log4cxx::Level::toLevel(level));
    return logger;
}

} // namespace

class state_log::impl
{
public:
    impl(std::string const& level, log_format format)
        : logger_(make_logger(level, format)), format_(format),
          ring_(ring_capacity, [this] { wake(); }), thread_([this] { run(); })
    {
    }

    ~impl()
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            stopping_ = true;
        }
        wake_condition_.notify_one();
        thread_.join();
    }

    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

    void write(line it)
    {
        it.time_ms = wall_clock_ms();
        auto [within_rate, left_out] = check_rate(it);
        for (auto& one : left_out)
        {
            ring_.try_push(std::move(one));
        }
        if (!within_rate)
        {
            ++rate_limited_;
            return;
        }
        ring_.try_push(std::move(it));
    }

    std::uint64_t dropped() const
    {
        return ring_.refused() + rate_limited_;
    }

private:
    /// Returns whether the line is within the rate limit of its event. The first call within a new
    /// second also returns a `lines_left_out` line for each event that exceeded the limit before.
    std::pair<bool, std::vector<line>> check_rate(line const& it)
    {
        std::vector<line> left_out;
        auto const second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        std::lock_guard<std::mutex> const lock(rate_mutex_);
        if (second != rate_second_)
        {
            rate_second_ = second;
            for (auto const& one : lines_in_second_)
            {
                if (one.second > max_lines_per_event_and_second)
                {
                    auto const count = one.second - max_lines_per_event_and_second;
                    left_out.push_back({log_level::info,
                                        "lines_left_out",
                                        {{"of", one.first}, {"count", std::to_string(count)}},
                                        it.time_ms});
                }
            }
            lines_in_second_.clear();
        }
        auto const within_rate = ++lines_in_second_[it.event] <= max_lines_per_event_and_second;
        return {within_rate, std::move(left_out)};
    }

    void wake()
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            wake_requested_ = true;
        }
        wake_condition_.notify_one();
    }

    void run()
    {
        bool stopping = false;
        while (!stopping)
        {
            {
                std::unique_lock<std::mutex> lock(mutex_);
                wake_condition_.wait(lock, [this] { return wake_requested_ || stopping_; });
                wake_requested_ = false;
                stopping = stopping_;
            }
            ring_.drain(
                [this](line const& it)
                {
                    auto const is_json = format_ == log_format::json_on_stdout;
                    auto const text = is_json ? json_of(it) : text_of(it);
                    LOG4CXX_LOG(logger_, level_of(it.level), text);
                });
        }
    }

    log4cxx::LoggerPtr logger_;
    log_format format_;
    std::mutex mutex_;
    std::condition_variable wake_condition_;
    bool wake_requested_ = false;
    bool stopping_ = false;
    std::mutex rate_mutex_;
    std::chrono::seconds rate_second_{};
    std::map<std::string, int> lines_in_second_;
    std::atomic<std::uint64_t> rate_limited_{0};
    base::bounded_ring<line> ring_;
    std::thread thread_;
};

state_log::state_log(std::string const& level, log_format format)
    : impl_(std::make_unique<impl>(level, format))
{
}

state_log::~state_log() = default;

void state_log::write(log_level level, std::string event, std::vector<log_field> fields)
{
    impl_->write(line{level, std::move(event), std::move(fields)});
}

std::uint64_t state_log::dropped() const
{
    return impl_->dropped();
}

} // namespace fuchsiaproxy::telemetry
