#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_SIMULATION_TEST_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_SIMULATION_TEST_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "claim_scenario_test.hpp"
#include "fuchsiaproxy/requests/claim_protocol.hpp"

namespace fuchsiaproxy::requests::testing
{

/// Simulation of entries with the messages in transit, the runs at upstreams and the answers that
/// callers got. Copyable, so that an exploration can branch. Every entry has its own clock.
class claim_simulation
{
public:
    explicit claim_simulation(scenario const& s)
        : scenario_(&s), remaining_{s.losses,      s.duplicates, s.crashes,    s.unreachable,
                                    s.short_waits, s.long_waits, s.heartbeats, s.caller_losses}
    {
        for (int n = 0; n < s.entries; ++n)
        {
            entry_incarnation const self{name(n), base::incarnation{std::uint64_t(n) + 1}};
            entries_.push_back(std::make_shared<entry>(
                entry{claim_protocol{self, s.limits, start}, self, start, true, {}}));
        }
        for (std::size_t n = 0; n < s.ids.size(); ++n)
        {
            auto const [primary, witness] = s.ids[n];
            auto& p = mutable_entry(primary);
            p.protocol.set_witness(witness < 0 ? std::optional<entry_incarnation>{}
                                               : entries_[witness]->self);
            ids_.push_back(p.protocol.issue_ticket(start) + ".n" + std::to_string(n));
            if (witness >= 0)
            {
                send_heartbeat(primary, witness);
            }
        }
        id_outcomes_.resize(ids_.size());
        answers_.resize(s.submissions.size());
        submitted_at_.resize(s.submissions.size(), base::incarnation{0});
        for (int n = 0; n < s.entries; ++n)
        {
            update_state_text(n);
        }
    }

    /// Returns every event that can happen now.
    std::vector<step> steps() const
    {
        std::vector<step> all;
        auto const& s = *scenario_;
        for (int n = 0; n < int(s.submissions.size()); ++n)
        {
            if (submitted_at_[n].value() == 0 && entries_[s.submissions[n].entry]->alive)
            {
                all.push_back({step_kind::submit, n});
            }
            else if (answers_[n] == 0 && remaining_[callers] > 0 && is_connected(n))
            {
                all.push_back({step_kind::caller_gone, n});
            }
        }
        for (int n = 0; n < int(in_transit_.size()); ++n)
        {
            if (n > 0 && in_transit_[n].key == in_transit_[n - 1].key)
            {
                continue;
            }
            all.push_back({step_kind::deliver, n});
            add_if(all, remaining_[duplicates], {step_kind::deliver_and_keep, n});
            add_if(all, remaining_[losses], {step_kind::lose, n});
        }
        for (int n = 0; n < s.entries; ++n)
        {
            if (!entries_[n]->alive)
            {
                all.push_back({step_kind::restart, n});
                continue;
            }
            all.push_back({step_kind::tick, n});
            add_if(all, remaining_[crashes], {step_kind::crash, n});
            add_if(all, remaining_[short_waits], {step_kind::short_wait, n});
            add_if(all, remaining_[long_waits], {step_kind::long_wait, n});
            for (int m = 0; m < s.entries; ++m)
            {
                if (m != n)
                {
                    add_if(all, remaining_[unreachable], {step_kind::unreachable, n, m});
                    add_if(all, remaining_[heartbeats], {step_kind::heartbeat, n, m});
                }
            }
        }
        for (int n = 0; n < int(runs_.size()); ++n)
        {
            add_run_steps(all, n);
        }
        return all;
    }

    void apply(step const& it)
    {
        switch (it.kind)
        {
        case step_kind::submit:
            submit(it.a);
            break;
        case step_kind::deliver:
        case step_kind::deliver_and_keep:
        {
            auto const message = in_transit_[it.a];
            if (it.kind == step_kind::deliver)
            {
                in_transit_.erase(in_transit_.begin() + it.a);
            }
            else
            {
                --remaining_[duplicates];
            }
            if (entries_[message.to]->alive)
            {
                handle_event(message.to,
                             [&](entry& e, claim_actions& actions) {
                                 e.protocol.on_message(message.from, message.body, e.now, actions);
                             });
            }
            break;
        }
        case step_kind::lose:
            --remaining_[losses];
            in_transit_.erase(in_transit_.begin() + it.a);
            break;
        case step_kind::crash:
            --remaining_[crashes];
            crash(it.a);
            break;
        case step_kind::restart:
            restart(it.a);
            break;
        case step_kind::unreachable:
            --remaining_[unreachable];
            handle_event(it.a, [&](entry& e, claim_actions& actions)
                         { e.protocol.on_peer_unreachable(name(it.b), e.now, actions); });
            break;
        case step_kind::short_wait:
            --remaining_[short_waits];
            mutable_entry(it.a).now += std::chrono::milliseconds{300};
            update_state_text(it.a);
            break;
        case step_kind::long_wait:
            --remaining_[long_waits];
            mutable_entry(it.a).now += std::chrono::hours{1};
            update_state_text(it.a);
            break;
        case step_kind::tick:
            handle_event(it.a,
                         [](entry& e, claim_actions& actions) { e.protocol.tick(e.now, actions); });
            break;
        case step_kind::heartbeat:
            --remaining_[heartbeats];
            send_heartbeat(it.a, it.b);
            update_state_text(it.a);
            update_state_text(it.b);
            break;
        case step_kind::caller_gone:
            --remaining_[callers];
            answers_[it.a] = 'g';
            handle_event(scenario_->submissions[it.a].entry, [&](entry& e, claim_actions& actions)
                         { e.protocol.on_caller_gone(local(it.a), e.now, actions); });
            break;
        default:
            apply_run(it);
            break;
        }
    }

    /// Returns a description of the violated guarantee, or an empty string.
    std::string violation() const
    {
        for (auto const& it : id_outcomes_)
        {
            if (it.runs > 1)
            {
                return "an id ran twice";
            }
            if (it.runs > 0 && it.reported_not_run)
            {
                return "\"not run\" was reported for an id that ran";
            }
            if (it.runs == 0 && it.reported_already_run)
            {
                return "\"already run\" was reported for an id that did not run";
            }
        }
        if (answered_twice_)
        {
            return "a caller got two answers";
        }
        for (auto const& it : entries_)
        {
            if (it->protocol.counters().contradictions != 0)
            {
                return "an entry counted a contradiction";
            }
        }
        return {};
    }

    /// Returns a description of a submission that is still unanswered after every deadline, or an
    /// empty string.
    std::string unanswered() const
    {
        auto after_deadlines = *this;
        for (int n = 0; n < scenario_->entries; ++n)
        {
            if (entries_[n]->alive)
            {
                after_deadlines.mutable_entry(n).now += std::chrono::hours{24};
                after_deadlines.apply({step_kind::tick, n});
            }
        }
        for (std::size_t n = 0; n < answers_.size(); ++n)
        {
            if (after_deadlines.answers_[n] == 0 && after_deadlines.is_connected(int(n)))
            {
                return "caller " + std::to_string(n) + " got no answer";
            }
        }
        return {};
    }

    /// Returns a hash of the complete state; equal states have the same continuations.
    std::uint64_t hash() const
    {
        std::string text;
        for (auto const& it : entries_)
        {
            text += it->state;
            text += it->alive ? '+' : '-';
        }
        for (auto const& it : in_transit_)
        {
            text += it.key;
        }
        for (auto const& it : runs_)
        {
            text += std::to_string(it.submission) + '.' + std::to_string(it.number.value()) + '.' +
                    char('0' + int(it.state)) + ';';
        }
        for (auto const& it : id_outcomes_)
        {
            text += char('0' + it.runs);
            text += it.reported_not_run ? 'n' : '-';
            text += it.reported_already_run ? 'a' : '-';
        }
        for (std::size_t n = 0; n < answers_.size(); ++n)
        {
            text += answers_[n] == 0 ? '.' : answers_[n];
            text += std::to_string(submitted_at_[n].value());
        }
        for (auto const it : remaining_)
        {
            text += char('0' + it);
        }
        return std::hash<std::string>{}(text);
    }

    /// Answer of a submission: 0 none, 'r' run, 'n' not run, 'a' already run, 'm' may have run,
    /// 'g' caller disconnected.
    char answer(std::size_t n) const
    {
        return answers_[n];
    }

    int receiver(int message_index) const
    {
        return in_transit_[message_index].to;
    }

    int runner(int run_number) const
    {
        return scenario_->submissions[runs_[run_number].submission].entry;
    }
    bool is_alive(int n) const
    {
        return entries_[n]->alive;
    }

    int messages_in_transit() const
    {
        return int(in_transit_.size());
    }

private:
    enum limited_event
    {
        losses,
        duplicates,
        crashes,
        unreachable,
        short_waits,
        long_waits,
        heartbeats,
        callers,
        limited_event_count
    };

    struct entry
    {
        claim_protocol protocol;
        entry_incarnation self;
        base::time_point now;
        bool alive;
        std::string state;
    };

    struct message_in_transit
    {
        entry_incarnation from;
        int to = 0;
        messages::message body;
        std::string key;
    };

    enum class run_state
    {
        decided,
        sent,
        /// Sent, but its entry crashed or lost the connection, so the outcome is not observed.
        orphaned
    };

    struct run
    {
        int submission = 0;
        base::incarnation number;
        run_state state = run_state::decided;
    };

    struct id_outcome
    {
        int runs = 0;
        bool reported_not_run = false;
        bool reported_already_run = false;
    };

    static constexpr base::time_point start{std::chrono::hours{1}};
    static constexpr std::uint32_t upstream_status = 200;

    static base::instance_id name(int n)
    {
        return base::instance_id{std::string(1, char('a' + n))};
    }

    static base::local_request_id local(int submission)
    {
        return base::local_request_id{std::uint64_t(submission) + 1};
    }

    static void add_if(std::vector<step>& all, int left, step it)
    {
        if (left > 0)
        {
            all.push_back(it);
        }
    }

    bool is_connected(int submission) const
    {
        auto const& e = *entries_[scenario_->submissions[submission].entry];
        return e.alive && e.self.number == submitted_at_[submission];
    }

    entry& mutable_entry(int n)
    {
        // Branches of an exploration share the entries that they did not change.
        if (entries_[n].use_count() > 1)
        {
            entries_[n] = std::make_shared<entry>(*entries_[n]);
        }
        return *entries_[n];
    }

    void update_state_text(int n)
    {
        auto& e = mutable_entry(n);
        e.state.clear();
        e.protocol.append_state(e.state);
        e.state += std::to_string((e.now - start).count() / 1'000'000);
    }

    template <class Event>
    void handle_event(int n, Event&& event)
    {
        claim_actions actions;
        auto& e = mutable_entry(n);
        event(e, actions);
        auto const self = e.self;
        update_state_text(n);
        for (auto const& it : actions)
        {
            apply_action(self, it);
        }
    }

    void apply_action(entry_incarnation const& self, claim_action const& action)
    {
        if (auto const* const send = std::get_if<send_message>(&action))
        {
            int const to = send->to.value().front() - 'a';
            in_transit_.push_back({self, to, send->body, key_of(self.number, to, send->body)});
            std::sort(in_transit_.begin(), in_transit_.end(),
                      [](message_in_transit const& a, message_in_transit const& b)
                      { return a.key < b.key; });
        }
        else if (auto const* const it = std::get_if<run_request>(&action))
        {
            int const n = int(it->request.value()) - 1;
            record_answer(n, 'r');
            runs_.push_back({n, self.number, run_state::decided});
        }
        else if (auto const* const refused = std::get_if<refuse_request>(&action))
        {
            int const n = int(refused->request.value()) - 1;
            auto& known = id_outcomes_[scenario_->submissions[n].id];
            switch (base::answer_for(refused->kind).outcome)
            {
            case base::request_outcome::not_run:
                known.reported_not_run = true;
                record_answer(n, 'n');
                break;
            case base::request_outcome::already_run:
                known.reported_already_run = true;
                record_answer(n, 'a');
                break;
            default:
                record_answer(n, 'm');
                break;
            }
        }
    }

    void record_answer(int n, char what)
    {
        answered_twice_ = answered_twice_ || answers_[n] != 0;
        answers_[n] = what;
    }

    void send_heartbeat(int from, int to)
    {
        auto& sender = mutable_entry(from);
        messages::heartbeat beat;
        beat.self.id = sender.self.instance;
        beat.self.incarnation = sender.self.number;
        beat.self.generation = sender.protocol.generation(sender.now);
        beat.self.witness = entries_[to]->self.instance;
        beat.self.witness_incarnation = entries_[to]->self.number;
        auto const self = sender.self;
        if (entries_[to]->alive)
        {
            handle_event(to, [&](entry& e, claim_actions& actions)
                         { e.protocol.on_message(self, beat, e.now, actions); });
        }
    }

    void submit(int n)
    {
        auto const& it = scenario_->submissions[n];
        submitted_at_[n] = entries_[it.entry]->self.number;
        handle_event(it.entry,
                     [&](entry& e, claim_actions& actions)
                     {
                         e.protocol.on_request(local(n), ids_[it.id],
                                               e.now + std::chrono::seconds{10}, e.now, actions);
                     });
    }

    void crash(int n)
    {
        auto const number = entries_[n]->self.number;
        mutable_entry(n).alive = false;
        for (auto it = runs_.begin(); it != runs_.end();)
        {
            if (it->number != number || it->state == run_state::orphaned)
            {
                ++it;
            }
            else if (it->state == run_state::decided)
            {
                it = runs_.erase(it);
            }
            else
            {
                it->state = run_state::orphaned;
                ++it;
            }
        }
    }

    void restart(int n)
    {
        auto& e = mutable_entry(n);
        e.self.number = base::incarnation{e.self.number.value() + 10};
        e.protocol = claim_protocol{e.self, scenario_->limits, e.now};
        e.alive = true;
        update_state_text(n);
    }

    void add_run_steps(std::vector<step>& all, int n) const
    {
        auto const& it = runs_[n];
        if (it.state == run_state::orphaned)
        {
            all.push_back({step_kind::run_unobserved, n});
            return;
        }
        if (it.state == run_state::decided)
        {
            all.push_back({step_kind::send, n});
            add_if(all, scenario_->upstream_faults ? 1 : 0, {step_kind::give_up, n});
            return;
        }
        all.push_back({step_kind::run_and_answer, n});
        if (scenario_->upstream_faults)
        {
            all.push_back({step_kind::shed, n});
            all.push_back({step_kind::shed_and_retry, n});
            all.push_back({step_kind::break_connection, n});
        }
    }

    void apply_run(step const& it)
    {
        auto const current = runs_[it.a];
        auto const& submission = scenario_->submissions[current.submission];
        auto& known = id_outcomes_[submission.id];
        auto const number = local(current.submission);
        auto const end = [&](run_result result)
        {
            known.reported_not_run = known.reported_not_run || result == run_result::not_run;
            handle_event(submission.entry,
                         [&](entry& e, claim_actions& actions) {
                             e.protocol.on_result(number, result, upstream_status, e.now, actions);
                         });
        };
        runs_.erase(runs_.begin() + it.a);
        switch (it.kind)
        {
        case step_kind::send:
        {
            auto& e = mutable_entry(submission.entry);
            auto const allowed = e.protocol.may_send(number, e.now);
            update_state_text(submission.entry);
            if (allowed)
            {
                runs_.push_back({current.submission, current.number, run_state::sent});
                return;
            }
            end(run_result::not_run);
            return;
        }
        case step_kind::run_and_answer:
            ++known.runs;
            end(run_result::ran);
            return;
        case step_kind::shed_and_retry:
            mutable_entry(submission.entry).protocol.on_attempt_not_run(number);
            update_state_text(submission.entry);
            runs_.push_back({current.submission, current.number, run_state::decided});
            return;
        case step_kind::break_connection:
            runs_.push_back({current.submission, current.number, run_state::orphaned});
            end(run_result::unknown);
            return;
        case step_kind::run_unobserved:
            ++known.runs;
            return;
        default:
            end(run_result::not_run);
            return;
        }
    }

    scenario const* scenario_;
    std::vector<std::shared_ptr<entry>> entries_;
    std::vector<std::string> ids_;
    std::vector<message_in_transit> in_transit_;
    std::vector<run> runs_;
    std::vector<id_outcome> id_outcomes_;
    std::vector<char> answers_;
    std::vector<base::incarnation> submitted_at_;
    bool answered_twice_ = false;
    int remaining_[limited_event_count];
};

} // namespace fuchsiaproxy::requests::testing

#endif
