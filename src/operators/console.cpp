#include "fuchsiaproxy/operators/console.hpp"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <utility>

#include <boost/outcome/try.hpp>

#include "api_json.hpp"
#include "api_session.hpp"
#include "fuchsiaproxy/model/json.hpp"
#include "fuchsiaproxy/operators/burn_text.hpp"
#include "fuchsiaproxy/operators/declarations.hpp"
#include "fuchsiaproxy/operators/table.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

using base::error_kind;
using base::make_error;
using command_result = base::result<void>;
using nlohmann::json;

constexpr std::chrono::milliseconds wait_poll_interval{200};

std::string quote(std::string const& text)
{
    return "\"" + text + "\"";
}

template <class Items, class Id>
auto const* find(Items const& items, Id const& id)
{
    auto const it =
        std::find_if(items.begin(), items.end(), [&id](auto const& item) { return item.id == id; });
    return it == items.end() ? nullptr : &*it;
}

/// Returns the service of a place. Drains and shifts of the place belong to its organisation.
base::result<model::service> service_of_place(model::configuration const& c,
                                              std::string const& name)
{
    auto const* at = find(c.places, base::place_id(name));
    auto const* owner = at == nullptr ? nullptr : find(c.services, at->service);
    if (owner == nullptr)
    {
        return make_error(error_kind::not_found, "place " + quote(name) + " does not exist");
    }
    return *owner;
}

base::result<model::shift> find_shift(model::configuration const& c, std::string const& name)
{
    auto const* it = find(c.shifts, base::shift_id(name));
    if (it == nullptr)
    {
        return make_error(error_kind::not_found, "shift " + quote(name) + " does not exist");
    }
    return *it;
}

base::shift_id shift_id_of(base::place_id const& from, base::place_id const& to)
{
    return base::shift_id(from.value() + "-to-" + to.value());
}

base::result<model::member> member_of(model::configuration const& c, base::operator_id const& id)
{
    for (auto const& it : c.members)
    {
        if (find(it.operators, id) != nullptr)
        {
            return it;
        }
    }
    return make_error(error_kind::not_found, "operator " + quote(id.value()) + " does not exist");
}

/// Returns whether a command changes the configuration. A bootstrap is not included: it is repeated
/// without reading the history, because an entry without a configuration cannot return one.
bool is_change(command const& it)
{
    return std::holds_alternative<apply_command>(it) || std::holds_alternative<drain_command>(it) ||
           std::holds_alternative<undrain_command>(it) ||
           std::holds_alternative<shift_command>(it) ||
           std::holds_alternative<stop_shift_command>(it) ||
           std::holds_alternative<reverse_shift_command>(it) ||
           std::holds_alternative<join_command>(it) ||
           std::holds_alternative<approve_command>(it) ||
           std::holds_alternative<withdraw_command>(it) ||
           std::holds_alternative<key_change_command>(it);
}

/// Converts JSON objects to the rows of a table; fields that an object lacks are empty.
table table_from(json const& objects, std::vector<std::string> const& columns)
{
    table out{columns, {}};
    for (auto const& object : objects)
    {
        std::vector<cell> row;
        for (auto const& column : columns)
        {
            auto const value = object.value(column, json());
            if (value.is_number_integer())
            {
                row.emplace_back(value.get<std::int64_t>());
            }
            else if (value.is_number())
            {
                row.emplace_back(value.get<double>());
            }
            else if (value.is_boolean())
            {
                row.emplace_back(value.get<bool>());
            }
            else
            {
                row.emplace_back(value.is_string() ? value.get<std::string>() : std::string());
            }
        }
        out.rows.push_back(std::move(row));
    }
    return out;
}

} // namespace

/// Visitor that executes a command.
class console::executor
{
public:
    explicit executor(console_environment const& environment) : env_(environment), api_(environment)
    {
    }

    /// Prints the receipt and returns true if `it` repeats a change that was already accepted. The
    /// changes are not computed again, because they may be invalid after those that were accepted.
    base::result<bool> print_earlier_receipt(command const& it)
    {
        if (env_.repeated_id.value().empty() || !is_change(it))
        {
            return false;
        }
        BOOST_OUTCOME_TRY(answer, api_.get("/v1/history"));
        for (auto const& record : answer.value("commands", json::array()))
        {
            if (record.value("command", std::string()) == env_.repeated_id.value())
            {
                auto receipt = record;
                receipt["replayed"] = true;
                print_receipt(receipt);
                return true;
            }
        }
        return false;
    }

    command_result operator()(help_command const& it)
    {
        env_.out << command_help();
        return boost::outcome_v2::success();
    }

    command_result operator()(check_command const& it)
    {
        BOOST_OUTCOME_TRY(c, load_declarations(it.folder));
        BOOST_OUTCOME_TRYV(model::validate(c));
        print(json{{"valid", true},
                   {"services", c.services.size()},
                   {"places", c.places.size()},
                   {"caps", c.caps.size()}},
              "valid: " + std::to_string(c.services.size()) + " services, " +
                  std::to_string(c.places.size()) + " places, " + std::to_string(c.caps.size()) +
                  " caps");
        return boost::outcome_v2::success();
    }

    command_result operator()(diff_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(changes, changes_from_folder(it.folder, current));
        print_changes(changes, current);
        return boost::outcome_v2::success();
    }

    command_result operator()(apply_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(changes, changes_from_folder(it.folder, current));
        if (changes.empty())
        {
            print_changes(changes, current);
            return boost::outcome_v2::success();
        }
        return change(current, changes);
    }

    command_result operator()(bootstrap_command const& it)
    {
        BOOST_OUTCOME_TRY(first, load_declarations(it.folder));
        BOOST_OUTCOME_TRYV(model::validate(first));
        BOOST_OUTCOME_TRY(receipt, api_.bootstrap(first));
        print_receipt(receipt);
        return boost::outcome_v2::success();
    }

    command_result operator()(export_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        env_.out << model::to_indented_json(current) << "\n";
        return boost::outcome_v2::success();
    }

    command_result operator()(history_command const& it)
    {
        BOOST_OUTCOME_TRY(answer, api_.get("/v1/history"));
        auto rows = table_from(answer.value("commands", json::array()),
                               {"version", "at", "operator", "organisation", "command"});
        if (it.count && *it.count < rows.rows.size())
        {
            rows.rows.erase(rows.rows.begin(),
                            rows.rows.end() - static_cast<std::ptrdiff_t>(*it.count));
        }
        print(rows);
        return boost::outcome_v2::success();
    }

    command_result operator()(wait_command const& it)
    {
        std::chrono::milliseconds waited{0};
        std::string behind;
        while (true)
        {
            auto const answer = api_.get("/v1/entries");
            // An entry without a configuration cannot authenticate the operator. It does not have
            // the version either, so it counts as behind.
            if (!answer && answer.error().kind != error_kind::not_ready)
            {
                return answer.error();
            }
            behind =
                answer ? entries_behind(answer.value().value("entries", json::array()), it.version)
                       : " the queried entry, which has no configuration yet";
            if (behind.empty())
            {
                print(json{{"version", it.version.value()}, {"in_force", true}},
                      "version " + std::to_string(it.version.value()) + " is in force");
                return boost::outcome_v2::success();
            }
            if (waited >= it.timeout)
            {
                return make_error(error_kind::not_ready,
                                  "version " + std::to_string(it.version.value()) +
                                      " is not in force after " +
                                      std::to_string(it.timeout.count()) + " s at:" + behind);
            }
            env_.pause(wait_poll_interval);
            waited += wait_poll_interval;
        }
    }

    command_result operator()(show_command const& it)
    {
        table rows;
        if (it.subject == show_subject::entries)
        {
            BOOST_OUTCOME_TRY(answer, api_.get("/v1/entries"));
            rows = table_from(answer.value("entries", json::array()),
                              {"id", "region", "zone", "version", "draining", "load_permille",
                               "silent_ms", "caller_address", "peer_address", "incarnation"});
        }
        else
        {
            BOOST_OUTCOME_TRY(current, api_.configuration("entry"));
            rows = table_of(it.subject, current);
        }
        BOOST_OUTCOME_TRY(selected, select(std::move(rows), it));
        print(selected);
        return boost::outcome_v2::success();
    }

    command_result operator()(explain_command const& it)
    {
        auto target = "/v1/explain?service=" + encode_percent(it.service) +
                      "&method=" + encode_percent(it.method) + "&path=" + encode_percent(it.path);
        if (!it.zone.empty())
        {
            target += "&zone=" + encode_percent(it.zone);
        }
        BOOST_OUTCOME_TRY(answer, api_.get(target));
        if (env_.json)
        {
            env_.out << answer.dump(2) << "\n";
            return boost::outcome_v2::success();
        }
        env_.out << "class " << answer.value("class", "") << ", home place "
                 << answer.value("home", "") << "\n";
        print(table_from(answer.value("candidates", json::array()),
                         {"place", "upstream", "chosen", "cost_ms", "free_slots", "reason"}));
        return boost::outcome_v2::success();
    }

    command_result operator()(drain_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(owner, service_of_place(current, it.place));
        model::drain const drain{base::drain_id(it.place), owner.organisation,
                                 base::place_id(it.place)};
        return change(current, {model::put_element<model::drain>{drain}});
    }

    command_result operator()(undrain_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        std::vector<model::change> changes;
        for (auto const& drain : current.drains)
        {
            if (drain.place == base::place_id(it.place))
            {
                changes.emplace_back(model::remove_element<model::drain>{drain.id});
            }
        }
        if (changes.empty())
        {
            return make_error(error_kind::not_found,
                              "place " + quote(it.place) + " is not drained");
        }
        return change(current, changes);
    }

    command_result operator()(shift_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(owner, service_of_place(current, it.from));
        BOOST_OUTCOME_TRYV(service_of_place(current, it.to));
        model::shift shift;
        shift.organisation = owner.organisation;
        shift.service = owner.id;
        shift.from = base::place_id(it.from);
        shift.to = base::place_id(it.to);
        shift.percent = it.percent;
        shift.id = shift_id_of(shift.from, shift.to);
        return change(current, {model::put_element<model::shift>{shift}});
    }

    command_result operator()(stop_shift_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(shift, find_shift(current, it.shift));
        return change(current, {model::remove_element<model::shift>{shift.id}});
    }

    command_result operator()(reverse_shift_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(shift, find_shift(current, it.shift));
        auto reversed = shift;
        std::swap(reversed.from, reversed.to);
        reversed.id = shift_id_of(reversed.from, reversed.to);
        if (find(current.shifts, reversed.id) != nullptr)
        {
            return make_error(error_kind::conflict,
                              "shift " + quote(reversed.id.value()) + " exists already");
        }
        return change(current, {model::remove_element<model::shift>{shift.id},
                                model::put_element<model::shift>{reversed}});
    }

    command_result operator()(join_command const& it)
    {
        BOOST_OUTCOME_TRY(declared, load_declaration_file(it.file));
        if (declared.joins.size() != 1)
        {
            return make_error(error_kind::invalid_configuration,
                              it.file + ": /joins: expected one join request, found " +
                                  std::to_string(declared.joins.size()));
        }
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        return change(current, {model::put_element<model::join_request>{declared.joins.front()}});
    }

    command_result operator()(approve_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        return change(current, {model::approve_join{base::organisation_id(it.member)}});
    }

    command_result operator()(withdraw_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        return change(current, {model::withdraw_approval{base::organisation_id(it.member)}});
    }

    command_result operator()(key_hash_command const& it)
    {
        BOOST_OUTCOME_TRY(text, env_.read_new_key("new key of " + it.id));
        BOOST_OUTCOME_TRY(key, make_operator_key(base::operator_id(it.id), text));
        env_.out << json{{"id", key.id.value()}, {"salt", key.salt}, {"hash", key.hash}}.dump()
                 << "\n";
        return boost::outcome_v2::success();
    }

    command_result operator()(key_change_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(own, member_of(current, env_.id));
        BOOST_OUTCOME_TRY(text, env_.read_new_key("new key of " + env_.id.value()));
        BOOST_OUTCOME_TRY(key, make_operator_key(env_.id, text));
        auto changed = own;
        for (auto& known : changed.operators)
        {
            if (known.id == env_.id)
            {
                known = key;
            }
        }
        return change(current, {model::put_element<model::member>{changed}});
    }

    command_result operator()(report_burn_command const& it)
    {
        BOOST_OUTCOME_TRY(answer, api_.get("/v1/burn"));
        BOOST_OUTCOME_TRY(burn, parse_burn_report(answer));
        bool const as_json =
            it.form == report_form::json || (it.form == report_form::table && env_.json);
        auto const text = as_json                        ? answer.dump(2) + "\n"
                          : it.form == report_form::html ? to_html(burn)
                                                         : to_text(burn);
        if (it.file.empty())
        {
            env_.out << text;
            return boost::outcome_v2::success();
        }
        std::ofstream file(it.file, std::ios::binary);
        file << text;
        file.close();
        if (!file)
        {
            return make_error(error_kind::invalid_command,
                              it.file + ": expected a file that can be written");
        }
        return boost::outcome_v2::success();
    }

private:
    void print(json const& as_json, std::string const& text)
    {
        env_.out << (env_.json ? as_json.dump(2) : text) << "\n";
    }

    void print(table const& it)
    {
        env_.out << (env_.json ? to_json(it) + "\n" : to_text(it));
    }

    void print_receipt(json const& receipt)
    {
        auto text = "version " + receipt.value("version", json()).dump() + " is accepted";
        if (receipt.value("replayed", false))
        {
            text += " already, by an earlier attempt";
        }
        print(receipt, text);
    }

    void print_changes(std::vector<model::change> const& changes,
                       model::configuration const& current)
    {
        if (env_.json)
        {
            env_.out << json{{"base_version", current.version.value()},
                             {"changes", json::parse(model::to_json(changes))}}
                            .dump(2)
                     << "\n";
            return;
        }
        if (changes.empty())
        {
            env_.out << "no changes against version " << current.version << "\n";
        }
        for (auto const& it : changes)
        {
            env_.out << model::describe(it, current) << "\n";
        }
    }

    base::result<std::vector<model::change>>
    changes_from_folder(std::string const& folder, model::configuration const& current)
    {
        BOOST_OUTCOME_TRY(declared, load_declarations(folder));
        BOOST_OUTCOME_TRY(own, member_of(current, env_.id));
        return model::diff_of_organisation(own.id, current, declared);
    }

    command_result change(model::configuration const& current,
                          std::vector<model::change> const& changes)
    {
        BOOST_OUTCOME_TRY(receipt, api_.change(current.version, changes));
        if (!env_.json)
        {
            print_changes(changes, current);
        }
        print_receipt(receipt);
        return boost::outcome_v2::success();
    }

    static std::string entries_behind(json const& entries, base::config_version version)
    {
        if (entries.empty())
        {
            return " (no entry is known)";
        }
        std::string out;
        for (auto const& it : entries)
        {
            if (it.value("version", std::uint64_t{0}) < version.value())
            {
                out += " " + it.value("id", std::string());
            }
        }
        return out;
    }

    console_environment const& env_;
    api_session api_;
};

console::console(console_environment environment)
    : environment_(std::move(environment)), executor_(std::make_unique<executor>(environment_))
{
}

console::~console() = default;

int console::run(std::string_view text)
{
    auto const commands = parse_commands(text);
    if (!commands)
    {
        return report(commands.error());
    }
    try
    {
        for (auto const& it : commands.value())
        {
            auto const accepted = executor_->print_earlier_receipt(it);
            if (!accepted)
            {
                return report(accepted.error());
            }
            if (accepted.value())
            {
                continue;
            }
            auto const finished = std::visit(*executor_, it);
            if (!finished)
            {
                return report(finished.error());
            }
        }
    }
    catch (json::exception const& e)
    {
        // The JSON library throws if an answer does not have the expected structure.
        return report(
            make_error(error_kind::bad_message, std::string("unexpected answer: ") + e.what()));
    }
    return 0;
}

int console::report(base::error const& it)
{
    auto const name = std::string(base::name_of(it.kind));
    if (environment_.json)
    {
        environment_.err << json{{"error", name}, {"message", it.message}}.dump() << "\n";
    }
    else
    {
        environment_.err << "fuchsiactl: " << name << ": " << it.message << "\n";
    }
    return base::answer_for(it.kind).exit_code;
}

} // namespace fuchsiaproxy::operators
