// Measures the data path on loopback: added latency of one hop, requests per second of the traffic
// thread, allocations, and memory per connection. Prints the results and checks no limits.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/relay/relay.hpp"

namespace
{

std::atomic<std::uint64_t> allocations{0};
thread_local bool counts_allocations = false;

} // namespace

// Not inlined: g++ 12 otherwise warns of mismatched malloc and delete.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    if (counts_allocations)
    {
        allocations.fetch_add(1, std::memory_order_relaxed);
    }
    if (auto* const out = std::malloc(size))
    {
        return out;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* it) noexcept
{
    std::free(it);
}

[[gnu::noinline]] void operator delete(void* it, std::size_t) noexcept
{
    std::free(it);
}

namespace
{

using namespace fuchsiaproxy;
namespace asio = boost::asio;
using asio::ip::tcp;
using clock_type = std::chrono::steady_clock;

constexpr int latency_requests = 20'000;
constexpr int throughput_connections = 32;
constexpr int throughput_requests = 200'000;
constexpr int memory_connections = 4'000;

/// Timer service on the steady clock.
class asio_timers final : public base::timer_service
{
public:
    explicit asio_timers(asio::io_context& io) : io_(io) {}

    base::time_point now() const override
    {
        return base::time_point(clock_type::now().time_since_epoch());
    }
    std::unique_ptr<base::timer_subscription> every(base::duration period, callback call) override
    {
        return std::make_unique<handle>(io_, now() + period, period, std::move(call));
    }
    std::unique_ptr<base::timer_subscription> at(base::time_point when, callback call) override
    {
        return std::make_unique<handle>(io_, when, base::duration::zero(), std::move(call));
    }

private:
    struct timer
    {
        explicit timer(asio::io_context& io) : it(io) {}
        asio::steady_timer it;
        base::duration period{};
        callback call;
    };

    class handle final : public base::timer_subscription
    {
    public:
        handle(asio::io_context& io, base::time_point when, base::duration period, callback call)
            : timer_(std::make_shared<timer>(io))
        {
            timer_->period = period;
            timer_->call = std::move(call);
            wait(timer_, clock_type::time_point(when.time_since_epoch()));
        }
        ~handle() override
        {
            timer_->it.cancel();
        }
        handle(handle const&) = delete;
        handle& operator=(handle const&) = delete;

    private:
        static void wait(std::shared_ptr<timer> const& timer, clock_type::time_point when)
        {
            timer->it.expires_at(when);
            timer->it.async_wait(
                [weak = std::weak_ptr(timer), when](boost::system::error_code ec)
                {
                    auto const self = weak.lock();
                    if (ec || !self)
                    {
                        return;
                    }
                    self->call(base::time_point(when.time_since_epoch()));
                    if (self->period > base::duration::zero())
                    {
                        wait(self, when + self->period);
                    }
                });
        }
        std::shared_ptr<timer> timer_;
    };

    asio::io_context& io_;
};

/// Decision logic that sends every request once to the same upstream.
class single_upstream_policy final : public relay::relay_events
{
public:
    void request_arrived(callers::request_head const& head) override
    {
        relay::attempt_parameters order;
        order.request = head.id;
        order.attempt = base::attempt_id(++last_);
        order.at = at;
        order.deadline = head.arrived + std::chrono::minutes(5);
        order.idempotent = true;
        request_relay->start_attempt(order);
    }
    bool attempt_head(base::attempt_id, unsigned) override
    {
        return true;
    }
    void attempt_finished(base::attempt_id, upstreams::attempt_report const&) override {}
    void caller_gone(base::local_request_id) override {}

    model::endpoint at;
    relay::relay* request_relay = nullptr;

private:
    std::uint64_t last_ = 0;
};

/// Thread that runs an io_context.
class io_thread
{
public:
    explicit io_thread(bool counts)
        : thread_(
              [this, counts]()
              {
                  counts_allocations = counts;
                  io.run();
              })
    {
    }
    ~io_thread()
    {
        io.stop();
        thread_.join();
    }
    io_thread(io_thread const&) = delete;
    io_thread& operator=(io_thread const&) = delete;

    /// Runs `call` on the thread and waits for it.
    void run(std::function<void()> const& call)
    {
        std::atomic<bool> done{false};
        asio::post(io,
                   [&]()
                   {
                       call();
                       done.store(true, std::memory_order_release);
                   });
        while (!done.load(std::memory_order_acquire))
        {
            std::this_thread::yield();
        }
    }

    double cpu_seconds()
    {
        timespec spent{};
        run([&]() { clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent); });
        return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
    }

    asio::io_context io;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_{io.get_executor()};
    std::thread thread_;
};

/// Upstream that answers each request immediately, or never.
class upstream
{
public:
    explicit upstream(bool answers) : answers_(answers), thread_(false)
    {
        thread_.run(
            [this]()
            {
                acceptor_.emplace(thread_.io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
                acceptor_->listen(4096);
                accept();
            });
    }

    ~upstream()
    {
        thread_.run([this]() { acceptor_.reset(); });
    }
    upstream(upstream const&) = delete;
    upstream& operator=(upstream const&) = delete;

    std::uint16_t port()
    {
        return acceptor_->local_endpoint().port();
    }

private:
    struct session : std::enable_shared_from_this<session>
    {
        session(tcp::socket it, bool answers_requests)
            : socket(std::move(it)), answers(answers_requests)
        {
        }

        void read()
        {
            socket.async_read_some(
                asio::buffer(input),
                [self = shared_from_this()](boost::system::error_code ec, std::size_t n)
                {
                    if (!ec)
                    {
                        self->on_read(n);
                    }
                });
        }

        void on_read(std::size_t n)
        {
            auto const whole = std::string_view(input.data(), n).find("\r\n\r\n") < n;
            if (whole && answers)
            {
                static std::string const answer =
                    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 100\r\n\r\n" +
                    std::string(100, 'a');
                boost::system::error_code ec;
                asio::write(socket, asio::buffer(answer), ec);
            }
            read();
        }

        tcp::socket socket;
        bool answers;
        std::array<char, 1024> input{};
    };

    void accept()
    {
        acceptor_->async_accept(
            [this](boost::system::error_code ec, tcp::socket socket)
            {
                if (ec)
                {
                    return;
                }
                socket.set_option(tcp::no_delay(true), ec);
                std::make_shared<session>(std::move(socket), answers_)->read();
                accept();
            });
    }

    bool answers_;
    io_thread thread_;
    std::optional<tcp::acceptor> acceptor_;
};

/// Server, relay and client on a traffic thread of their own.
class entry
{
public:
    explicit entry(std::uint16_t upstream_port) : thread_(true)
    {
        thread_.run(
            [&]()
            {
                events_.at = model::endpoint{"127.0.0.1", upstream_port};
                upstreams::client_settings limits;
                limits.max_connections = memory_connections;
                callers::server_settings served;
                served.at = model::endpoint{"127.0.0.1", 0};
                served.max_connections_per_address = served.max_connections;
                client_ =
                    std::make_unique<upstreams::client>(thread_.io, timers_, buffers_, limits);
                request_relay_ =
                    std::make_unique<relay::relay>(thread_.io, buffers_, *client_, events_);
                events_.request_relay = request_relay_.get();
                server_ = std::make_unique<callers::server>(thread_.io, timers_, buffers_,
                                                            *request_relay_, served);
                port_ = server_->listen().value();
            });
    }
    ~entry()
    {
        thread_.run(
            [this]()
            {
                server_.reset();
                client_.reset();
                request_relay_.reset();
            });
    }
    entry(entry const&) = delete;
    entry& operator=(entry const&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }
    io_thread& thread()
    {
        return thread_;
    }
    std::size_t exchanges()
    {
        std::size_t out = 0;
        thread_.run([&]() { out = server_->exchanges(); });
        return out;
    }
    std::size_t connections()
    {
        std::size_t out = 0;
        thread_.run([&]() { out = server_->connections(); });
        return out;
    }

private:
    http::buffer_pool buffers_{20'000};
    single_upstream_policy events_;
    std::unique_ptr<upstreams::client> client_;
    std::unique_ptr<relay::relay> request_relay_;
    std::unique_ptr<callers::server> server_;
    std::uint16_t port_ = 0;
    io_thread thread_;
    asio_timers timers_{thread_.io};
};

/// Blocking caller on a plain socket, so that callers add no memory to this process.
class caller
{
public:
    explicit caller(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int const on = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (connect(socket_, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0)
        {
            std::perror("connect");
            std::exit(1);
        }
    }
    ~caller()
    {
        if (socket_ >= 0)
        {
            close(socket_);
        }
    }
    caller(caller&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}
    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;
    caller& operator=(caller&&) = delete;

    void send() const
    {
        static std::string const text =
            "GET /catalog/item HTTP/1.1\r\nHost: h\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n";
        if (::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(text.size()))
        {
            std::perror("send");
            std::exit(1);
        }
    }
    void receive() const
    {
        std::array<char, 4096> bytes;
        std::size_t got = 0;
        while (true)
        {
            auto const n = recv(socket_, bytes.data() + got, bytes.size() - got, 0);
            if (n <= 0)
            {
                std::fprintf(stderr, "the connection ended early\n");
                std::exit(1);
            }
            got += static_cast<std::size_t>(n);
            auto const head = std::string_view(bytes.data(), got).find("\r\n\r\n");
            if (head != std::string_view::npos && got >= head + 4 + 100)
            {
                return;
            }
        }
    }

private:
    int socket_;
};

struct latency
{
    double median_us;
    double p99_us;
};

latency measure_latency(std::uint16_t port)
{
    caller it(port);
    std::vector<double> times;
    times.reserve(latency_requests);
    for (int n = 0; n < latency_requests; ++n)
    {
        auto const begin = clock_type::now();
        it.send();
        it.receive();
        times.push_back(
            std::chrono::duration<double, std::micro>(clock_type::now() - begin).count());
    }
    std::sort(times.begin(), times.end());
    return latency{times[times.size() / 2], times[times.size() * 99 / 100]};
}

void print_latency()
{
    upstream backend(true);
    entry proxy(backend.port());
    measure_latency(proxy.port()); // Warms up both paths.
    auto const direct = measure_latency(backend.port());
    auto const relayed = measure_latency(proxy.port());
    std::printf("latency direct:  median %.1f us, p99 %.1f us\n", direct.median_us, direct.p99_us);
    std::printf("latency relayed: median %.1f us, p99 %.1f us\n", relayed.median_us,
                relayed.p99_us);
    std::printf("added by a hop:  median %.1f us, p99 %.1f us\n",
                relayed.median_us - direct.median_us, relayed.p99_us - direct.p99_us);
}

void print_throughput()
{
    upstream backend(true);
    entry proxy(backend.port());
    std::vector<caller> callers;
    callers.reserve(throughput_connections);
    for (int n = 0; n < throughput_connections; ++n)
    {
        callers.emplace_back(proxy.port());
    }
    auto const round = [&]()
    {
        for (auto const& it : callers)
        {
            it.send();
        }
        for (auto const& it : callers)
        {
            it.receive();
        }
    };
    round();
    auto const cpu_before = proxy.thread().cpu_seconds();
    auto const allocated_before = allocations.load();
    auto const begin = clock_type::now();
    int const rounds = throughput_requests / throughput_connections;
    for (int n = 0; n < rounds; ++n)
    {
        round();
    }
    double const requests = rounds * throughput_connections;
    auto const wall = std::chrono::duration<double>(clock_type::now() - begin).count();
    auto const allocated = static_cast<double>(allocations.load() - allocated_before);
    auto const cpu = proxy.thread().cpu_seconds() - cpu_before;
    std::printf("throughput: %.0f requests/s, %.0f requests per CPU second of the traffic thread "
                "(%.1f us each), %.1f allocations each\n",
                requests / wall, requests / cpu, cpu / requests * 1e6, allocated / requests);
}

/// Returns the resident memory of this process in bytes.
double resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void print_memory(bool busy)
{
    upstream backend(!busy);
    entry proxy(backend.port());
    std::vector<caller> callers;
    callers.reserve(memory_connections);
    { // The first request allocates what all connections share.
        caller first(proxy.port());
        first.send();
        if (!busy)
        {
            first.receive();
        }
    }
    auto const before = resident_bytes();
    for (int n = 0; n < memory_connections; ++n)
    {
        callers.emplace_back(proxy.port());
        callers.back().send();
        if (!busy)
        {
            callers.back().receive();
        }
    }
    auto const wanted = static_cast<std::size_t>(memory_connections);
    while (proxy.connections() < wanted || (busy && proxy.exchanges() < wanted))
    {
        std::this_thread::yield();
    }
    auto const each = (resident_bytes() - before) / memory_connections;
    std::printf("memory per %s connection: %.0f bytes\n",
                busy ? "busy (upstream does not answer; includes the benchmark's 1 KiB buffer)"
                     : "idle (after one request)",
                each);
}

} // namespace

int main()
{
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    std::printf("latency of %d requests one after the other, %d-byte answers\n", latency_requests,
                100);
    print_latency();
    print_throughput();
    print_memory(false);
    print_memory(true);
    return 0;
}
