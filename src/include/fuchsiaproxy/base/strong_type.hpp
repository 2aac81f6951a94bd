#ifndef FUCHSIAPROXY_BASE_STRONG_TYPE_HPP
#define FUCHSIAPROXY_BASE_STRONG_TYPE_HPP

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace fuchsiaproxy::base
{

/// A value of type `Rep` that does not convert to values with another tag.
///
/// Thread safety: as for `Rep`; distinct objects are independent.
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    strong_type() = default;

    /// Wraps `value`. Preconditions: none.
    explicit strong_type(Rep value) : value_(std::move(value)) {}

    /// Returns the wrapped value.
    Rep const& value() const noexcept
    {
        return value_;
    }

    friend bool operator==(strong_type const& a, strong_type const& b)
    {
        return a.value_ == b.value_;
    }
    friend bool operator!=(strong_type const& a, strong_type const& b)
    {
        return !(a == b);
    }
    friend bool operator<(strong_type const& a, strong_type const& b)
    {
        return a.value_ < b.value_;
    }
    friend bool operator>(strong_type const& a, strong_type const& b)
    {
        return b < a;
    }
    friend bool operator<=(strong_type const& a, strong_type const& b)
    {
        return !(b < a);
    }
    friend bool operator>=(strong_type const& a, strong_type const& b)
    {
        return !(a < b);
    }
    friend std::ostream& operator<<(std::ostream& out, strong_type const& it)
    {
        return out << it.value_;
    }

private:
    Rep value_{};
};

/// An identifier in text form.
template <class Tag>
using string_id = strong_type<Tag, std::string>;

} // namespace fuchsiaproxy::base

namespace std
{
template <class Tag, class Rep>
struct hash<fuchsiaproxy::base::strong_type<Tag, Rep>>
{
    std::size_t operator()(fuchsiaproxy::base::strong_type<Tag, Rep> const& it) const
    {
        return std::hash<Rep>{}(it.value());
    }
};
} // namespace std

#endif
