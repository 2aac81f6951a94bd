#include "fuchsiaproxy/http/message_writer.hpp"

#include <algorithm>

#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::http
{
namespace
{

// A text buffer with a larger capacity is deallocated after use, to limit the memory of idle
// connections.
constexpr std::size_t max_retained_text_bytes = 2048;

} // namespace

std::string& message_writer::begin()
{
    text_.clear();
    text_sent_ = 0;
    data_ = {};
    suffix_ = {};
    bytes_sent_ = 0;
    ended_ = false;
    return text_;
}

void message_writer::end_head(body_framing framing, std::optional<std::uint64_t> length)
{
    framing_ = framing;
    body_remaining_ = length.value_or(0);
    if (framing == body_framing::chunked)
    {
        append_field(text_, "Transfer-Encoding", "chunked");
    }
    else if (length)
    {
        append_field(text_, "Content-Length", std::to_string(*length));
    }
    text_ += "\r\n";
}

bool message_writer::put(std::string_view data, bool end)
{
    ended_ = end;
    switch (framing_)
    {
    case body_framing::counted:
        return put_counted(data, end);
    case body_framing::chunked:
        put_chunk(data, end);
        return true;
    case body_framing::none:
        break;
    }
    return true;
}

bool message_writer::put_counted(std::string_view data, bool end)
{
    if (data.size() > body_remaining_ || (end && data.size() != body_remaining_))
    {
        return false;
    }
    body_remaining_ -= data.size();
    data_ = data;
    return true;
}

void message_writer::put_chunk(std::string_view data, bool end)
{
    if (!data.empty())
    {
        append_chunk_header(text_, data.size());
        data_ = data;
        suffix_ = end ? "\r\n0\r\n\r\n" : "\r\n";
    }
    else if (end)
    {
        suffix_ = "0\r\n\r\n";
    }
}

void message_writer::copy_unsent_data()
{
    text_.append(data_).append(suffix_);
    data_ = {};
    suffix_ = {};
}

bool message_writer::sent_all() const noexcept
{
    return text_sent_ == text_.size() && data_.empty() && suffix_.empty();
}

bool message_writer::finished() const noexcept
{
    return ended_ && sent_all();
}

std::uint64_t message_writer::bytes_sent() const noexcept
{
    return bytes_sent_;
}

std::array<boost::asio::const_buffer, 3> message_writer::pending_buffers() const
{
    return {boost::asio::buffer(text_.data() + text_sent_, text_.size() - text_sent_),
            boost::asio::buffer(data_.data(), data_.size()),
            boost::asio::buffer(suffix_.data(), suffix_.size())};
}

void message_writer::consume(std::size_t size)
{
    bytes_sent_ += size;
    auto const text = std::min(size, text_.size() - text_sent_);
    text_sent_ += text;
    auto const data = std::min(size - text, data_.size());
    data_.remove_prefix(data);
    suffix_.remove_prefix(size - text - data);
    if (text_sent_ == text_.size())
    {
        text_.clear();
        text_sent_ = 0;
        if (text_.capacity() > max_retained_text_bytes)
        {
            std::string().swap(text_);
        }
    }
}

} // namespace fuchsiaproxy::http
