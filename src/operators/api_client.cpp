#include "fuchsiaproxy/operators/api_client.hpp"

#include <openssl/evp.h>

#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace fuchsiaproxy::operators
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using base::error_kind;
using base::make_error;
using boost::system::error_code;

// A whole configuration at target size, and the samples of an hour, stay far below this.
constexpr std::uint64_t max_answer_bytes = 64'000'000;

/// One request on a connection of its own.
class exchange
{
public:
    exchange(asio::ip::tcp::endpoint at, std::chrono::milliseconds timeout,
             api_request const& request)
        : endpoint_(std::move(at)), stream_(context_)
    {
        parser_.body_limit(max_answer_bytes);
        message_.method_string(request.method);
        message_.target(request.target);
        message_.version(11);
        message_.set(http::field::host, endpoint_.address().to_string());
        message_.set(http::field::connection, "close");
        if (!request.authorization.empty())
        {
            message_.set(http::field::authorization, request.authorization);
        }
        message_.body() = request.body;
        message_.prepare_payload();
        stream_.expires_after(timeout);
    }

    base::result<api_answer> run()
    {
        stream_.async_connect(endpoint_, [this](error_code ec) { on_connect(ec); });
        context_.run();
        if (error_)
        {
            return failure();
        }
        auto const& answer = parser_.get();
        auto const type = answer[http::field::content_type];
        return api_answer{answer.result_int(), std::string(type.data(), type.size()),
                          answer.body()};
    }

private:
    void on_connect(error_code ec)
    {
        if (failed(ec))
        {
            return;
        }
        connected_ = true;
        http::async_write(stream_, message_,
                          [this](error_code write_error, std::size_t) { on_write(write_error); });
    }

    void on_write(error_code ec)
    {
        // The answer is read even if the write failed: an entry that rejects a request early may
        // answer before it has read the whole body.
        write_error_ = ec;
        http::async_read(stream_, buffer_, parser_,
                         [this](error_code read_error, std::size_t) { failed(read_error); });
    }

    bool failed(error_code ec)
    {
        error_ = ec;
        return static_cast<bool>(ec);
    }

    base::error failure() const
    {
        auto const where = endpoint_.address().to_string() + ":" + std::to_string(endpoint_.port());
        if (!connected_)
        {
            return make_error(error_kind::peer_unreachable,
                              "cannot connect to the entry at " + where + ": " + error_.message());
        }
        return make_error(error_kind::may_have_run, "no complete answer from the entry at " +
                                                        where + ": " + error_.message());
    }

    asio::ip::tcp::endpoint endpoint_;
    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> message_;
    http::response_parser<http::string_body> parser_;
    error_code error_;
    error_code write_error_;
    bool connected_ = false;
};

class http_transport : public api_transport
{
public:
    http_transport(asio::ip::tcp::endpoint at, std::chrono::milliseconds timeout)
        : endpoint_(std::move(at)), timeout_(timeout)
    {
    }

    base::result<api_answer> send(api_request const& request) override
    {
        return exchange(endpoint_, timeout_, request).run();
    }

private:
    asio::ip::tcp::endpoint endpoint_;
    std::chrono::milliseconds timeout_;
};

} // namespace

std::string basic_authorization(std::string const& id, std::string const& key)
{
    auto const text = id + ":" + key;
    // Base64 takes four characters for every three bytes; the encoder appends a terminating zero.
    std::vector<unsigned char> buf((text.size() + 2) / 3 * 4 + 1);
    auto const n = EVP_EncodeBlock(buf.data(), reinterpret_cast<unsigned char const*>(text.data()),
                                   static_cast<int>(text.size()));
    return "Basic " + std::string(buf.begin(), buf.begin() + n);
}

base::result<std::unique_ptr<api_transport>> make_http_transport(std::string const& address,
                                                                 std::chrono::milliseconds timeout)
{
    auto const colon = address.rfind(':');
    auto const port = colon == std::string::npos ? "" : address.substr(colon + 1);
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    error_code ec;
    auto const ip = asio::ip::make_address(host, ec);
    bool const is_number = !port.empty() && port.size() <= 5 &&
                           port.find_first_not_of("0123456789") == std::string::npos;
    if (ec || !is_number || std::stoul(port) == 0 || std::stoul(port) > 65'535)
    {
        return make_error(error_kind::invalid_command,
                          "entry: expected an address such as 127.0.0.1:7080, found \"" + address +
                              "\"");
    }
    asio::ip::tcp::endpoint const at(ip, static_cast<std::uint16_t>(std::stoul(port)));
    return std::unique_ptr<api_transport>(std::make_unique<http_transport>(at, timeout));
}

} // namespace fuchsiaproxy::operators
