#include "fuchsiaproxy/encoding/cbor_structure.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiaproxy::encoding
{
namespace
{

// Nesting limit. The most deeply nested message, `digest`, has four levels.
constexpr std::size_t max_depth = 8;

enum class major_type : unsigned
{
    unsigned_integer = 0,
    negative_integer = 1,
    bytes = 2,
    text = 3,
    array = 4,
    map = 5,
    simple = 7
};

constexpr unsigned simple_false = 20;
constexpr unsigned simple_null = 22;
// In major type 7, the additional information values 25 to 27 are floats of 16, 32 and 64 bits.
constexpr unsigned first_float = 25;

struct item_head
{
    unsigned major = 0;
    /// Additional information: the low five bits of the first byte.
    unsigned info = 0;
    std::uint64_t argument = 0;
};

/// An array or map whose items are still being read.
struct open_container
{
    bool is_map = false;
    /// Remaining items; a key-value pair counts as two.
    std::uint64_t remaining = 0;
};

/// Returns the number of continuation bytes after a UTF-8 lead byte, or nothing if `lead` is not
/// one.
std::optional<unsigned> continuation_bytes(unsigned char lead)
{
    if (lead < 0x80)
    {
        return 0;
    }
    if (lead >= 0xc2 && lead <= 0xdf)
    {
        return 1;
    }
    if (lead >= 0xe0 && lead <= 0xef)
    {
        return 2;
    }
    if (lead >= 0xf0 && lead <= 0xf4)
    {
        return 3;
    }
    return std::nullopt;
}

// Rejects overlong encodings, surrogates and code points above U+10FFFF.
bool is_valid_second_byte(unsigned char lead, unsigned char second)
{
    switch (lead)
    {
    case 0xe0:
        return second >= 0xa0;
    case 0xed:
        return second <= 0x9f;
    case 0xf0:
        return second >= 0x90;
    case 0xf4:
        return second <= 0x8f;
    default:
        return true;
    }
}

bool is_utf8(std::string_view text)
{
    std::size_t n = 0;
    while (n < text.size())
    {
        auto const lead = static_cast<unsigned char>(text[n]);
        auto const more = continuation_bytes(lead);
        if (!more || text.size() - n <= *more)
        {
            return false;
        }
        for (unsigned k = 1; k <= *more; ++k)
        {
            auto const octet = static_cast<unsigned char>(text[n + k]);
            if ((octet & 0xc0U) != 0x80 || (k == 1 && !is_valid_second_byte(lead, octet)))
            {
                return false;
            }
        }
        n += *more + 1;
    }
    return true;
}

class structure_reader
{
public:
    explicit structure_reader(std::string_view bytes) : bytes_(bytes) {}

    base::result<cbor_structure> run()
    {
        do
        {
            if (!read_item())
            {
                return base::make_error(base::error_kind::bad_message,
                                        std::string("invalid CBOR at byte ") +
                                            std::to_string(position_) + ": " + failure_);
            }
            close_finished();
        } while (depth_ > 0);
        if (position_ != bytes_.size())
        {
            return base::make_error(base::error_kind::bad_message,
                                    "trailing bytes after the CBOR item");
        }
        return result_;
    }

private:
    bool fail(char const* why)
    {
        failure_ = why;
        return false;
    }

    std::size_t bytes_left() const
    {
        return bytes_.size() - position_;
    }

    bool read_item()
    {
        auto const head = read_head();
        if (!head)
        {
            return false;
        }
        bool const is_key =
            depth_ > 0 && open_[depth_ - 1].is_map && open_[depth_ - 1].remaining % 2 == 0;
        if (depth_ > 0)
        {
            --open_[depth_ - 1].remaining;
        }
        if (is_key && head->major != static_cast<unsigned>(major_type::text))
        {
            return fail("map key is not a text string");
        }
        switch (static_cast<major_type>(head->major))
        {
        case major_type::unsigned_integer:
        case major_type::negative_integer:
            return true;
        case major_type::bytes:
            return read_string(head->argument, false);
        case major_type::text:
            return read_string(head->argument, true);
        case major_type::array:
            return open(false, head->argument);
        case major_type::map:
            return open(true, head->argument);
        case major_type::simple:
            return is_supported_simple(head->info) ? true : fail("unsupported simple value");
        }
        return fail("unsupported major type");
    }

    std::optional<item_head> read_head()
    {
        if (bytes_left() == 0)
        {
            fail("truncated");
            return std::nullopt;
        }
        auto const octet = static_cast<unsigned char>(bytes_[position_++]);
        item_head out;
        out.major = octet >> 5U;
        out.info = octet & 31U;
        out.argument = out.info;
        if (out.info < 24)
        {
            return out;
        }
        if (out.info > 27)
        {
            fail("indefinite length or reserved additional information");
            return std::nullopt;
        }
        auto const size = std::size_t{1} << (out.info - 24);
        if (bytes_left() < size)
        {
            fail("truncated");
            return std::nullopt;
        }
        out.argument = 0;
        for (std::size_t n = 0; n < size; ++n)
        {
            out.argument = out.argument << 8U | static_cast<unsigned char>(bytes_[position_++]);
        }
        return out;
    }

    static bool is_supported_simple(unsigned info)
    {
        return (info >= simple_false && info <= simple_null) || info >= first_float;
    }

    bool read_string(std::uint64_t size, bool is_text)
    {
        if (size > bytes_left())
        {
            return fail("truncated");
        }
        if (is_text && !is_utf8(bytes_.substr(position_, size)))
        {
            return fail("text string is not valid UTF-8");
        }
        position_ += size;
        return true;
    }

    bool open(bool is_map, std::uint64_t size)
    {
        // Each item takes at least one byte. The check also prevents an overflow of `2 * size`.
        if (size > bytes_left())
        {
            return fail("container has more items than remaining bytes");
        }
        if (depth_ == max_depth)
        {
            return fail("nested too deep");
        }
        open_[depth_++] = open_container{is_map, is_map ? 2 * size : size};
        result_.pairs += is_map ? size : 0;
        return true;
    }

    void close_finished()
    {
        while (depth_ > 0 && open_[depth_ - 1].remaining == 0)
        {
            --depth_;
        }
    }

    std::string_view bytes_;
    std::size_t position_ = 0;
    std::array<open_container, max_depth> open_{};
    std::size_t depth_ = 0;
    cbor_structure result_;
    char const* failure_ = "";
};

} // namespace

base::result<cbor_structure> check_structure(std::string_view bytes)
{
    return structure_reader(bytes).run();
}

} // namespace fuchsiaproxy::encoding
