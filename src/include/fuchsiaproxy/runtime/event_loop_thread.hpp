#ifndef FUCHSIAPROXY_RUNTIME_EVENT_LOOP_THREAD_HPP
#define FUCHSIAPROXY_RUNTIME_EVENT_LOOP_THREAD_HPP

#include <functional>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "fuchsiaproxy/base/bounded_ring.hpp"

namespace fuchsiaproxy::runtime
{

/// One thread that runs one io_context, with a bounded ring of items from other threads.
///
/// Thread safety: `push` and `refused` on any thread; the rest on the thread that owns the object.
template <class Item>
class event_loop_thread
{
public:
    /// `handle` is called on the new thread for each item. Precondition: `ring_items > 0`.
    event_loop_thread(std::size_t ring_items, std::function<void(Item)> handle)
        : handle_(std::move(handle)), io_(1), work_(io_.get_executor()),
          ring_(ring_items, [this] { boost::asio::post(io_, [this] { drain(); }); })
    {
    }

    /// Stops the thread without running what is still queued.
    ~event_loop_thread()
    {
        stop();
    }

    event_loop_thread(event_loop_thread const&) = delete;
    event_loop_thread& operator=(event_loop_thread const&) = delete;

    /// Starts the thread. Precondition: called once, after all objects that run on it were created.
    void start()
    {
        thread_ = std::thread([this] { io_.run(); });
    }

    /// Stops the io_context and joins the thread.
    void stop()
    {
        io_.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    /// Queues `item`; returns false and counts a refusal when the ring is full.
    bool push(Item item)
    {
        return ring_.try_push(std::move(item));
    }

    /// Returns how many items were refused.
    std::uint64_t refused() const
    {
        return ring_.refused();
    }

    /// Returns the io_context of the thread.
    boost::asio::io_context& io()
    {
        return io_;
    }

private:
    void drain()
    {
        ring_.drain([this](Item&& item) { handle_(std::move(item)); });
    }

    std::function<void(Item)> handle_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    base::bounded_ring<Item> ring_;
    std::thread thread_;
};

} // namespace fuchsiaproxy::runtime

#endif
