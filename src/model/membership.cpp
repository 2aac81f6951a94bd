#include "fuchsiaproxy/model/membership.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaproxy::model
{
namespace
{

using base::error_kind;
using base::make_error;

std::string quote(base::organisation_id const& id)
{
    return "\"" + id.value() + "\"";
}

template <class Items>
auto find_by_id(Items& items, base::organisation_id const& id)
{
    return std::find_if(items.begin(), items.end(), [&id](auto const& it) { return it.id == id; });
}

base::error join_request_not_found(base::organisation_id const& id)
{
    return make_error(error_kind::not_found,
                      "/joins/" + id.value() + ": expected a join request, found none");
}

bool approved_by_all(configuration const& value, join_request const& request)
{
    return std::all_of(value.members.begin(), value.members.end(),
                       [&request](member const& it)
                       {
                           return std::find(request.approvals.begin(), request.approvals.end(),
                                            it.id) != request.approvals.end();
                       });
}

} // namespace

bool is_member(configuration const& value, base::organisation_id const& id)
{
    return find_by_id(value.members, id) != value.members.end();
}

base::result<void> request_join(configuration& value, join_request request)
{
    if (is_member(value, request.id))
    {
        return make_error(error_kind::conflict,
                          "organisation " + quote(request.id) + " is already a member");
    }
    if (find_by_id(value.joins, request.id) != value.joins.end())
    {
        return make_error(error_kind::conflict,
                          "organisation " + quote(request.id) + " has already asked to join");
    }
    if (!request.approvals.empty())
    {
        return make_error(error_kind::invalid_configuration,
                          "/joins/" + request.id.value() +
                              "/approvals: expected none, each member approves by itself");
    }
    if (request.operators.empty())
    {
        return make_error(error_kind::invalid_configuration,
                          "/joins/" + request.id.value() +
                              "/operators: expected at least one operator");
    }
    value.joins.push_back(std::move(request));
    return boost::outcome_v2::success();
}

base::result<void> remove_join(configuration& value, base::organisation_id const& newcomer)
{
    auto const it = find_by_id(value.joins, newcomer);
    if (it == value.joins.end())
    {
        return join_request_not_found(newcomer);
    }
    value.joins.erase(it);
    return boost::outcome_v2::success();
}

base::result<void> approve(configuration& value, base::organisation_id const& newcomer,
                           base::organisation_id const& by)
{
    if (!is_member(value, by))
    {
        return make_error(error_kind::forbidden, "organisation " + quote(by) +
                                                     " is not a member and cannot approve a join");
    }
    auto const it = find_by_id(value.joins, newcomer);
    if (it == value.joins.end())
    {
        return join_request_not_found(newcomer);
    }
    if (std::find(it->approvals.begin(), it->approvals.end(), by) == it->approvals.end())
    {
        it->approvals.push_back(by);
    }
    return boost::outcome_v2::success();
}

base::result<void> withdraw(configuration& value, base::organisation_id const& newcomer,
                            base::organisation_id const& by)
{
    auto const it = find_by_id(value.joins, newcomer);
    if (it == value.joins.end())
    {
        return join_request_not_found(newcomer);
    }
    auto const approval = std::find(it->approvals.begin(), it->approvals.end(), by);
    if (approval == it->approvals.end())
    {
        return make_error(error_kind::not_found, "/joins/" + newcomer.value() +
                                                     "/approvals: expected an approval by " +
                                                     quote(by) + ", found none");
    }
    it->approvals.erase(approval);
    return boost::outcome_v2::success();
}

base::result<void> remove_member(configuration& value, base::organisation_id const& id)
{
    auto const it = find_by_id(value.members, id);
    if (it == value.members.end())
    {
        return make_error(error_kind::not_found,
                          "/members/" + id.value() + ": expected a member, found none");
    }
    if (value.members.size() == 1)
    {
        return make_error(error_kind::invalid_configuration,
                          "/members: expected at least one member to remain");
    }
    auto const owned = std::find_if(value.services.begin(), value.services.end(),
                                    [&id](service const& s) { return s.organisation == id; });
    if (owned != value.services.end())
    {
        return make_error(error_kind::invalid_configuration,
                          "/services/" + owned->id.value() +
                              ": expected no services of the member to remove, " + quote(id));
    }
    value.members.erase(it);
    for (auto& join : value.joins)
    {
        auto& approvals = join.approvals;
        approvals.erase(std::remove(approvals.begin(), approvals.end(), id), approvals.end());
    }
    return boost::outcome_v2::success();
}

void admit_approved_joins(configuration& value)
{
    std::sort(value.joins.begin(), value.joins.end(),
              [](join_request const& a, join_request const& b) { return a.id < b.id; });
    for (auto it = value.joins.begin(); it != value.joins.end();)
    {
        if (!approved_by_all(value, *it))
        {
            ++it;
            continue;
        }
        value.members.push_back(member{it->id, std::move(it->operators)});
        it = value.joins.erase(it);
    }
}

} // namespace fuchsiaproxy::model
