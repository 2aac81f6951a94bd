#include "fuchsiaproxy/telemetry/state_log.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <thread>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "fuchsiaproxy/base/bounded_ring.hpp"

namespace fuchsiaproxy::telemetry
{
namespace
{

constexpr std::size_t ring_lines = 1024;
constexpr int lines_per_event_and_second = 2000;

struct line
{
    log_level level = log_level::info;
    std::string event;
    std::vector<log_field> fields;
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

// Quotes values that would break the form of the line.
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

log4cxx::LoggerPtr make_logger(std::string const& level)
{
    auto const layout =
        std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %p %m%n"));
    auto const appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
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
    explicit impl(std::string const& level)
        : logger_(make_logger(level)), ring_(ring_lines, [this] { wake(); }),
          thread_([this] { run(); })
    {
    }

    ~impl()
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            stopping_ = true;
        }
        woken_.notify_one();
        thread_.join();
    }

    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

    void write(line it)
    {
        if (!within_rate(it.event))
        {
            ++over_rate_;
            return;
        }
        ring_.try_push(std::move(it));
    }

    std::uint64_t dropped() const
    {
        return ring_.refused() + over_rate_;
    }

private:
    bool within_rate(std::string const& event)
    {
        auto const second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        std::lock_guard<std::mutex> const lock(rate_mutex_);
        if (second != rate_second_)
        {
            rate_second_ = second;
            lines_in_second_.clear();
        }
        return ++lines_in_second_[event] <= lines_per_event_and_second;
    }

    void wake()
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            woken_up_ = true;
        }
        woken_.notify_one();
    }

    void run()
    {
        bool stopping = false;
        while (!stopping)
        {
            {
                std::unique_lock<std::mutex> lock(mutex_);
                woken_.wait(lock, [this] { return woken_up_ || stopping_; });
                woken_up_ = false;
                stopping = stopping_;
            }
            ring_.drain([this](line const& it)
                        { LOG4CXX_LOG(logger_, level_of(it.level), text_of(it)); });
        }
    }

    log4cxx::LoggerPtr logger_;
    std::mutex mutex_;
    std::condition_variable woken_;
    bool woken_up_ = false;
    bool stopping_ = false;
    std::mutex rate_mutex_;
    std::chrono::seconds rate_second_{};
    std::map<std::string, int> lines_in_second_;
    std::atomic<std::uint64_t> over_rate_{0};
    base::bounded_ring<line> ring_;
    std::thread thread_;
};

state_log::state_log(std::string const& level) : impl_(std::make_unique<impl>(level)) {}

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
