#include "fuchsiaproxy/operators/configuration_service.hpp"

#include <utility>
#include <vector>

namespace fuchsiaproxy::operators
{
namespace
{

using base::error_kind;
using base::make_error;

// Attempts to determine the outcome of a write before it is reported as unknown. The operator can
// repeat the command, so more attempts would only delay the answer.
constexpr int max_attempts = 4;

} // namespace

namespace
{

/// Returns the error of a command that failed at its first read and has therefore changed nothing.
base::error first_read_error(base::error it)
{
    if (it.kind == error_kind::store_answer_unknown)
    {
        it.kind = error_kind::store_unavailable;
    }
    it.message = "this attempt changed nothing: " + it.message;
    return it;
}

} // namespace

/// Reads the head, then those of its segments that are not cached.
class read_operation : public std::enable_shared_from_this<read_operation>
{
public:
    read_operation(configuration_service& service, configuration_service::read_handler done)
        : service_(service), done_(std::move(done))
    {
    }

    void start()
    {
        service_.store_.get(metadata::configuration_head_key,
                            [self = shared_from_this()](auto answer)
                            { self->on_head(std::move(answer)); });
    }

private:
    void on_head(base::result<metadata::stored_value> answer)
    {
        if (!answer)
        {
            done_(std::move(answer).error());
            return;
        }
        state_.revision = answer.value().revision;
        if (!answer.value().value)
        {
            state_.value = std::make_shared<model::configuration const>();
            done_(std::move(state_));
            return;
        }
        auto head = model::parse_manifest(*answer.value().value);
        if (!head)
        {
            done_(make_error(head.error().kind, std::string("key ") +
                                                    metadata::configuration_head_key + ": " +
                                                    head.error().message));
            return;
        }
        state_.head = std::move(head).value();
        read_segments();
    }

    void read_segments()
    {
        while (next_ < state_.head.segments.size())
        {
            auto const& hash = state_.head.segments[next_].hash;
            auto const known = service_.documents_.find(hash);
            if (known == service_.documents_.end())
            {
                service_.store_.get(metadata::configuration_segment_key(hash),
                                    [self = shared_from_this()](auto answer)
                                    { self->on_segment(std::move(answer)); });
                return;
            }
            documents_[hash] = known->second;
            ++next_;
        }
        finish();
    }

    void on_segment(base::result<metadata::stored_value> answer)
    {
        if (!answer)
        {
            done_(std::move(answer).error());
            return;
        }
        // A missing segment is reported by `assemble`.
        if (answer.value().value)
        {
            documents_[state_.head.segments[next_].hash] = std::move(*answer.value().value);
        }
        ++next_;
        read_segments();
    }

    void finish()
    {
        auto whole = model::assemble(state_.head, documents_);
        if (!whole)
        {
            done_(std::move(whole).error());
            return;
        }
        service_.documents_ = std::move(documents_);
        state_.value = std::make_shared<model::configuration const>(std::move(whole).value());
        done_(std::move(state_));
    }

    configuration_service& service_;
    configuration_service::read_handler done_;
    current_configuration state_;
    model::segment_documents documents_;
    std::size_t next_ = 0;
};

/// Writes the segments of a valid change, then the head. If an answer of the store is lost, reads
/// the head to determine the outcome.
class write_operation : public std::enable_shared_from_this<write_operation>
{
public:
    write_operation(configuration_service& service, current_configuration state,
                    model::change_outcome outcome, configuration_service::change_handler done)
        : service_(service), state_(std::move(state)), outcome_(std::move(outcome)),
          done_(std::move(done))
    {
    }

    void start()
    {
        if (outcome_.replayed)
        {
            done_(change_receipt{outcome_.record, true});
            return;
        }
        for (auto const& it : outcome_.segments)
        {
            if (it.document.size() > metadata::max_value_bytes)
            {
                done_(make_error(error_kind::value_too_large,
                                 "segment " + it.name + ": expected at most " +
                                     std::to_string(metadata::max_value_bytes) + " bytes, found " +
                                     std::to_string(it.document.size())));
                return;
            }
        }
        write_segments();
    }

private:
    void write_segments()
    {
        while (next_ < outcome_.segments.size() &&
               service_.documents_.count(outcome_.segments[next_].hash) != 0)
        {
            ++next_;
        }
        if (next_ == outcome_.segments.size())
        {
            attempts_ = 0;
            write_head();
            return;
        }
        auto const& it = outcome_.segments[next_];
        service_.store_.compare_and_swap(
            metadata::configuration_segment_key(it.hash), metadata::key_revision(0), it.document,
            [self = shared_from_this()](auto answer) { self->on_segment(std::move(answer)); });
    }

    void on_segment(base::result<metadata::key_revision> answer)
    {
        // A conflict means that the key exists. It is the hash of the content, so the values are
        // equal.
        if (answer || answer.error().kind == error_kind::store_conflict)
        {
            ++next_;
            attempts_ = 0;
            write_segments();
            return;
        }
        // Repeating the write of a segment is harmless, because a change takes effect only with the
        // write of the head.
        if (answer.error().kind == error_kind::store_answer_unknown && ++attempts_ < max_attempts)
        {
            write_segments();
            return;
        }
        done_(make_error(error_kind::store_unavailable,
                         "this attempt changed nothing: " + answer.error().message));
    }

    void write_head()
    {
        service_.store_.compare_and_swap(
            metadata::configuration_head_key, state_.revision, model::to_json(outcome_.head),
            [self = shared_from_this()](auto answer) { self->on_head(std::move(answer)); });
    }

    void on_head(base::result<metadata::key_revision> answer)
    {
        if (answer)
        {
            done_(change_receipt{outcome_.record, false});
            return;
        }
        auto const kind = answer.error().kind;
        if (kind == error_kind::store_answer_unknown)
        {
            may_have_run_ = true;
        }
        else if (kind != error_kind::store_conflict && !may_have_run_)
        {
            done_(std::move(answer).error());
            return;
        }
        resolve_outcome();
    }

    /// Reads the head to determine the outcome of the write.
    void resolve_outcome()
    {
        if (++attempts_ > max_attempts)
        {
            report_unresolved();
            return;
        }
        service_.store_.get(metadata::configuration_head_key,
                            [self = shared_from_this()](auto answer)
                            { self->on_outcome_read(std::move(answer)); });
    }

    void on_outcome_read(base::result<metadata::stored_value> answer)
    {
        if (!answer)
        {
            resolve_outcome();
            return;
        }
        if (answer.value().revision == state_.revision)
        {
            // The write has not taken effect so far. If it takes effect later, this repeated write
            // fails with a conflict.
            write_head();
            return;
        }
        auto const head = answer.value().value ? model::parse_manifest(*answer.value().value)
                                               : base::result<model::manifest>(model::manifest{});
        if (!head)
        {
            report_unresolved();
            return;
        }
        finish(head.value());
    }

    void finish(model::manifest const& head)
    {
        if (auto const* record = head.commands.find(outcome_.record.command))
        {
            done_(change_receipt{*record, false});
            return;
        }
        // Only a log that reaches back to the version that the command would have made proves that
        // the command was not accepted.
        if (may_have_run_ && head.commands.find(outcome_.record.version) == nullptr)
        {
            report_unresolved();
            return;
        }
        done_(model::conflict_error(head, state_.head.version));
    }

    void report_unresolved()
    {
        if (may_have_run_)
        {
            done_(make_error(error_kind::store_answer_unknown,
                             "the command may have been accepted; repeat it with the same id, \"" +
                                 outcome_.record.command.value() + "\""));
            return;
        }
        done_(make_error(error_kind::conflict,
                         "nothing was changed: another command was accepted after version " +
                             std::to_string(state_.head.version.value()) +
                             "; the store could not be read to find out which"));
    }

    configuration_service& service_;
    current_configuration state_;
    model::change_outcome outcome_;
    configuration_service::change_handler done_;
    std::size_t next_ = 0;
    int attempts_ = 0;
    bool may_have_run_ = false;
};

void configuration_service::read(read_handler done)
{
    std::make_shared<read_operation>(*this, std::move(done))->start();
}

void configuration_service::apply(model::change_command command, model::place_loads loads,
                                  change_handler done)
{
    read(
        [this, command = std::move(command), loads = std::move(loads),
         done = std::move(done)](base::result<current_configuration> state)
        {
            if (!state)
            {
                done(first_read_error(std::move(state).error()));
                return;
            }
            auto outcome =
                model::apply_change(state.value().head, *state.value().value, command, loads);
            if (!outcome)
            {
                done(std::move(outcome).error());
                return;
            }
            std::make_shared<write_operation>(*this, std::move(state).value(),
                                              std::move(outcome).value(), done)
                ->start();
        });
}

void configuration_service::bootstrap(model::configuration first, model::change_command command,
                                      change_handler done)
{
    read(
        [this, first = std::move(first), command = std::move(command),
         done = std::move(done)](base::result<current_configuration> state)
        {
            if (!state)
            {
                done(first_read_error(std::move(state).error()));
                return;
            }
            auto outcome = model::apply_bootstrap(state.value().head, first, command);
            if (!outcome)
            {
                done(std::move(outcome).error());
                return;
            }
            std::make_shared<write_operation>(*this, std::move(state).value(),
                                              std::move(outcome).value(), done)
                ->start();
        });
}

} // namespace fuchsiaproxy::operators
