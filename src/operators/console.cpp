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
using done = base::result<void>;
using nlohmann::json;

constexpr std::chrono::milliseconds wait_pause{200};

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

/// Service of a place, with the organisation that a drain or shift of the place belongs to.
base::result<model::service> service_at(model::configuration const& c, std::string const& name)
{
    auto const* at = find(c.places, base::place_id(name));
    auto const* owner = at == nullptr ? nullptr : find(c.services, at->service);
    if (owner == nullptr)
    {
        return make_error(error_kind::not_found, "place " + quote(name) + " does not exist");
    }
    return *owner;
}

base::result<model::shift> shift_named(model::configuration const& c, std::string const& name)
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

/// Returns whether a command changes the configuration. A bootstrap is repeated without a look at
/// the history, which an entry without a configuration does not show.
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

/// Makes a table of JSON objects; columns that an object lacks are empty.
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

/// Executes one command each time it is called.
class console::executor
{
public:
    explicit executor(console_environment const& environment) : use_(environment), api_(environment)
    {
    }

    /// Prints the receipt and returns true if `it` repeats a change that was accepted already. The
    /// changes are not worked out again, because the accepted ones may have made them impossible.
    base::result<bool> was_accepted(command const& it)
    {
        if (use_.repeated_id.value().empty() || !is_change(it))
        {
            return false;
        }
        BOOST_OUTCOME_TRY(answer, api_.get("/v1/history"));
        for (auto const& record : answer.value("commands", json::array()))
        {
            if (record.value("command", std::string()) == use_.repeated_id.value())
            {
                auto receipt = record;
                receipt["replayed"] = true;
                print_receipt(receipt);
                return true;
            }
        }
        return false;
    }

    done operator()(help_command const& it)
    {
        use_.out << command_help();
        return boost::outcome_v2::success();
    }

    done operator()(check_command const& it)
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

    done operator()(diff_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(changes, changes_to(it.folder, current));
        print_changes(changes, current);
        return boost::outcome_v2::success();
    }

    done operator()(apply_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(changes, changes_to(it.folder, current));
        if (changes.empty())
        {
            print_changes(changes, current);
            return boost::outcome_v2::success();
        }
        return change(current, changes);
    }

    done operator()(bootstrap_command const& it)
    {
        BOOST_OUTCOME_TRY(first, load_declarations(it.folder));
        BOOST_OUTCOME_TRYV(model::validate(first));
        BOOST_OUTCOME_TRY(receipt, api_.bootstrap(first));
        print_receipt(receipt);
        return boost::outcome_v2::success();
    }

    done operator()(export_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        use_.out << model::to_indented_json(current) << "\n";
        return boost::outcome_v2::success();
    }

    done operator()(history_command const& it)
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

    done operator()(wait_command const& it)
    {
        std::chrono::milliseconds waited{0};
        std::string behind;
        while (true)
        {
            auto const answer = api_.get("/v1/entries");
            // An entry without a configuration cannot check the key yet; it is behind as well.
            if (!answer && answer.error().kind != error_kind::not_ready)
            {
                return answer.error();
            }
            behind =
                answer ? entries_behind(answer.value().value("entries", json::array()), it.version)
                       : " the asked entry, which has no configuration yet";
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
            use_.pause(wait_pause);
            waited += wait_pause;
        }
    }

    done operator()(show_command const& it)
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

    done operator()(explain_command const& it)
    {
        auto target = "/v1/explain?service=" + encode_percent(it.service) +
                      "&method=" + encode_percent(it.method) + "&path=" + encode_percent(it.path);
        if (!it.zone.empty())
        {
            target += "&zone=" + encode_percent(it.zone);
        }
        BOOST_OUTCOME_TRY(answer, api_.get(target));
        if (use_.json)
        {
            use_.out << answer.dump(2) << "\n";
            return boost::outcome_v2::success();
        }
        use_.out << "class " << answer.value("class", "") << ", home place "
                 << answer.value("home", "") << "\n";
        print(table_from(answer.value("candidates", json::array()),
                         {"place", "upstream", "chosen", "cost_ms", "free_slots", "reason"}));
        return boost::outcome_v2::success();
    }

    done operator()(drain_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(owner, service_at(current, it.place));
        model::drain const drain{base::drain_id(it.place), owner.organisation,
                                 base::place_id(it.place)};
        return change(current, {model::put<model::drain>{drain}});
    }

    done operator()(undrain_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        std::vector<model::change> changes;
        for (auto const& drain : current.drains)
        {
            if (drain.place == base::place_id(it.place))
            {
                changes.emplace_back(model::removal<model::drain>{drain.id});
            }
        }
        if (changes.empty())
        {
            return make_error(error_kind::not_found,
                              "place " + quote(it.place) + " is not drained");
        }
        return change(current, changes);
    }

    done operator()(shift_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(owner, service_at(current, it.from));
        BOOST_OUTCOME_TRYV(service_at(current, it.to));
        model::shift shift;
        shift.organisation = owner.organisation;
        shift.service = owner.id;
        shift.from = base::place_id(it.from);
        shift.to = base::place_id(it.to);
        shift.percent = it.percent;
        shift.id = shift_id_of(shift.from, shift.to);
        return change(current, {model::put<model::shift>{shift}});
    }

    done operator()(stop_shift_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(shift, shift_named(current, it.shift));
        return change(current, {model::removal<model::shift>{shift.id}});
    }

    done operator()(reverse_shift_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(shift, shift_named(current, it.shift));
        auto reversed = shift;
        std::swap(reversed.from, reversed.to);
        reversed.id = shift_id_of(reversed.from, reversed.to);
        if (find(current.shifts, reversed.id) != nullptr)
        {
            return make_error(error_kind::conflict,
                              "shift " + quote(reversed.id.value()) + " exists already");
        }
        return change(current,
                      {model::removal<model::shift>{shift.id}, model::put<model::shift>{reversed}});
    }

    done operator()(join_command const& it)
    {
        BOOST_OUTCOME_TRY(declared, load_declaration_file(it.file));
        if (declared.joins.size() != 1)
        {
            return make_error(error_kind::invalid_configuration,
                              it.file + ": /joins: expected one join request, found " +
                                  std::to_string(declared.joins.size()));
        }
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        return change(current, {model::put<model::join_request>{declared.joins.front()}});
    }

    done operator()(approve_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        return change(current, {model::approve_join{base::organisation_id(it.member)}});
    }

    done operator()(withdraw_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        return change(current, {model::withdraw_approval{base::organisation_id(it.member)}});
    }

    done operator()(key_hash_command const& it)
    {
        BOOST_OUTCOME_TRY(text, use_.read_new_key("new key of " + it.id));
        BOOST_OUTCOME_TRY(key, make_operator_key(base::operator_id(it.id), text));
        use_.out << json{{"id", key.id.value()}, {"salt", key.salt}, {"hash", key.hash}}.dump()
                 << "\n";
        return boost::outcome_v2::success();
    }

    done operator()(key_change_command const& it)
    {
        BOOST_OUTCOME_TRY(current, api_.configuration("store"));
        BOOST_OUTCOME_TRY(own, member_of(current, use_.id));
        BOOST_OUTCOME_TRY(text, use_.read_new_key("new key of " + use_.id.value()));
        BOOST_OUTCOME_TRY(key, make_operator_key(use_.id, text));
        auto changed = own;
        for (auto& known : changed.operators)
        {
            if (known.id == use_.id)
            {
                known = key;
            }
        }
        return change(current, {model::put<model::member>{changed}});
    }

    done operator()(report_burn_command const& it)
    {
        BOOST_OUTCOME_TRY(answer, api_.get("/v1/burn"));
        BOOST_OUTCOME_TRY(burn, parse_burn_report(answer));
        bool const as_json =
            it.form == report_form::json || (it.form == report_form::table && use_.json);
        auto const text = as_json                        ? answer.dump(2) + "\n"
                          : it.form == report_form::html ? to_html(burn)
                                                         : to_text(burn);
        if (it.file.empty())
        {
            use_.out << text;
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
        use_.out << (use_.json ? as_json.dump(2) : text) << "\n";
    }

    void print(table const& it)
    {
        use_.out << (use_.json ? to_json(it) + "\n" : to_text(it));
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
        if (use_.json)
        {
            use_.out << json{{"base_version", current.version.value()},
                             {"changes", json::parse(model::to_json(changes))}}
                            .dump(2)
                     << "\n";
            return;
        }
        if (changes.empty())
        {
            use_.out << "no changes against version " << current.version << "\n";
        }
        for (auto const& it : changes)
        {
            use_.out << model::describe(it, current) << "\n";
        }
    }

    base::result<std::vector<model::change>> changes_to(std::string const& folder,
                                                        model::configuration const& current)
    {
        BOOST_OUTCOME_TRY(declared, load_declarations(folder));
        BOOST_OUTCOME_TRY(own, member_of(current, use_.id));
        return model::diff_of(own.id, current, declared);
    }

    done change(model::configuration const& current, std::vector<model::change> const& changes)
    {
        BOOST_OUTCOME_TRY(receipt, api_.change(current.version, changes));
        if (!use_.json)
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

    console_environment const& use_;
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
            auto const accepted = executor_->was_accepted(it);
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
        // The JSON library throws where an answer has another form than expected.
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
