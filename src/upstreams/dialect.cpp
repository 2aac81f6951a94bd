#include "fuchsiaproxy/upstreams/dialect.hpp"

#include <algorithm>

namespace fuchsiaproxy::upstreams
{
namespace
{

class native_dialect_impl final : public dialect
{
public:
    std::string_view deadline_field() const override
    {
        return "Deadline-Ms";
    }

    bool is_refusal(unsigned status, http::fields const& answer,
                    std::vector<unsigned> const& declared) const override
    {
        return std::find(declared.begin(), declared.end(), status) != declared.end() &&
               answer.find("Shed") == std::string_view("1");
    }

    bool is_answer_to(http::fields const&, http::fields const&) const override
    {
        return true;
    }

    /// The protocol allows no second copies.
    bool is_ambiguous(http::fields const&) const override
    {
        return false;
    }

    bool body_may_end_with_connection() const override
    {
        return false;
    }

    bool is_leaving(http::fields const& answer) const override
    {
        return answer.find("Draining").has_value();
    }

    std::optional<base::load_report> load(http::fields const&) const override
    {
        return std::nullopt;
    }
};

} // namespace

upstream_notice dialect::notice(unsigned, http::fields const&) const
{
    return {};
}

std::shared_ptr<dialect const> native_dialect()
{
    return std::make_shared<native_dialect_impl>();
}

} // namespace fuchsiaproxy::upstreams
