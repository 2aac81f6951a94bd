#ifndef FUCHSIAPROXY_CALLERS_REQUEST_EXCHANGE_HPP
#define FUCHSIAPROXY_CALLERS_REQUEST_EXCHANGE_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiaproxy/callers/exchange.hpp"

namespace fuchsiaproxy::callers
{

class connection;

/// Answer, or the beginning of one, that waits for the answers to earlier requests.
struct waiting_answer
{
    std::optional<answer_head> head;
    /// Copy of the body of a complete answer.
    std::string copy;
    /// Part of the body that belongs to the handler, which expects `write_ready`.
    std::string_view data;
    bool end = false;
    bool is_complete = false;
    bool write_pending = false;
};

/// The `exchange` that is passed to handlers: forwards each call to its connection.
class request_exchange final : public exchange
{
public:
    request_exchange(std::shared_ptr<connection> owner, request_head head);

    request_head const& head() const override;
    bool ended() const override;
    body_read read_body(char* to, std::size_t size) override;
    bool in_turn() const override;
    bool reserve(std::size_t bytes) override;
    void release(std::size_t bytes) override;
    void write_head(answer_head const& head) override;
    bool write_body(std::string_view data, bool end) override;
    bool flush() override;
    void answer(base::answer_status status, http::fields const& fields,
                std::string_view body) override;
    void abort() override;

    /// Ends the exchange by releasing its connection.
    void detach();

    // State that belongs to the connection.

    /// Answer that is not yet in turn.
    waiting_answer waiting;
    /// Bytes reserved for the answer.
    std::size_t reserved = 0;
    /// The answer was aborted before its turn.
    bool aborted = false;

private:
    std::shared_ptr<connection> owner_;
    request_head head_;
};

} // namespace fuchsiaproxy::callers

#endif
