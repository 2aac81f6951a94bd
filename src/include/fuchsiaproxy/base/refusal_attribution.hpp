#ifndef FUCHSIAPROXY_BASE_REFUSAL_ATTRIBUTION_HPP
#define FUCHSIAPROXY_BASE_REFUSAL_ATTRIBUTION_HPP

#include <string_view>

namespace fuchsiaproxy::base
{

/// Why an upstream's refusal is taken for the answer to a request.
enum class refusal_attribution
{
    /// There was no refusal.
    none,
    /// It identifies the request, or its protocol leaves no doubt.
    identified,
    /// It does not identify the request, and is the first answer on its connection.
    first_answer,
    /// It does not identify the request, and follows other answers on its connection.
    position
};

/// Returns the stable name of `it`, as used in logs. Thread safe.
constexpr std::string_view name_of(refusal_attribution it) noexcept
{
    switch (it)
    {
    case refusal_attribution::identified:
        return "identified";
    case refusal_attribution::first_answer:
        return "first_answer";
    case refusal_attribution::position:
        return "position";
    case refusal_attribution::none:
        break;
    }
    return "none";
}

} // namespace fuchsiaproxy::base

#endif
