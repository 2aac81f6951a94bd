#include "request_exchange.hpp"

#include <utility>

#include "connection.hpp"

namespace fuchsiaproxy::callers
{

request_exchange::request_exchange(std::shared_ptr<connection> owner, request_head head)
    : owner_(std::move(owner)), head_(std::move(head))
{
}

request_head const& request_exchange::head() const
{
    return head_;
}

bool request_exchange::ended() const
{
    return owner_ == nullptr;
}

void request_exchange::detach()
{
    owner_.reset();
}

// Each function copies `owner_` to keep the connection alive, because the call may end the exchange
// and reset `owner_`.

body_read request_exchange::read_body(char* to, std::size_t size)
{
    auto const owner = owner_;
    return owner ? owner->read_body(to, size) : body_read{0, body_state::pending};
}

bool request_exchange::in_turn() const
{
    return owner_ && owner_->is_in_turn(*this);
}

bool request_exchange::reserve(std::size_t bytes)
{
    return owner_ && owner_->reserve(*this, bytes);
}

void request_exchange::release(std::size_t bytes)
{
    if (owner_)
    {
        owner_->release(*this, bytes);
    }
}

void request_exchange::write_head(answer_head const& head)
{
    if (auto const owner = owner_)
    {
        owner->write_head(*this, head);
    }
}

bool request_exchange::write_body(std::string_view data, bool end)
{
    auto const owner = owner_;
    return !owner || owner->write_body(*this, data, end);
}

bool request_exchange::flush()
{
    auto const owner = owner_;
    return !owner || owner->flush(*this);
}

void request_exchange::answer(base::answer_status status, http::fields const& fields,
                              std::string_view body)
{
    if (auto const owner = owner_)
    {
        owner->answer(*this, status, fields, body);
    }
}

void request_exchange::abort()
{
    if (auto const owner = owner_)
    {
        owner->abort(*this);
    }
}

} // namespace fuchsiaproxy::callers
