#include "fuchsiaproxy/metadata/configuration_reader.hpp"

#include <chrono>
#include <utility>
#include <vector>

#include "fuchsiaproxy/model/json.hpp"

namespace fuchsiaproxy::metadata
{
namespace
{

// Wait of one watch. A change must take effect within 4 s; an unresponsive watch is replaced after
// 1.5 s.
constexpr base::duration watch_length = std::chrono::seconds(1);

// Delay after a failed or stale answer. Limits the calls during an outage to four per second.
constexpr base::duration retry_delay = std::chrono::milliseconds(250);

} // namespace

class configuration_reader::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(store& values, base::timer_service& timers, handler accepted)
        : store_(values), timers_(timers), accepted_(std::move(accepted))
    {
    }

    void read_once()
    {
        read_requested_ = true;
        start();
    }

    void start_watching()
    {
        watching_ = true;
        start();
    }

    void stop_watching()
    {
        watching_ = false;
    }

    void close()
    {
        watching_ = false;
        read_requested_ = false;
        retry_timer_.reset();
    }

    configuration_reader_counters const& counters() const
    {
        return counters_;
    }

private:
    void start()
    {
        if (!busy_)
        {
            start_next_call();
        }
    }

    void start_next_call()
    {
        busy_ = watching_ || read_requested_;
        if (!busy_)
        {
            return;
        }
        auto const done = [self = shared_from_this()](base::result<stored_value> const& answer)
        { self->on_head(answer); };
        if (read_requested_)
        {
            store_.get(configuration_head_key, done);
            return;
        }
        ++counters_.watches;
        watch_started_ = timers_.now();
        store_.watch(configuration_head_key, revision_, watch_length, done);
    }

    void retry_later()
    {
        busy_ = true;
        retry_timer_ =
            timers_.at(timers_.now() + retry_delay,
                       [self = shared_from_this()](base::time_point) { self->start_next_call(); });
    }

    void on_head(base::result<stored_value> const& answer)
    {
        if (!answer)
        {
            ++counters_.failed_calls;
            retry_later();
            return;
        }
        auto const& head = answer.value();
        if (!head.value || head.revision < revision_)
        {
            counters_.stale_answers += head.revision < revision_ ? 1 : 0;
            retry_later();
            return;
        }
        if (head.revision == revision_)
        {
            read_requested_ = false;
            // Avoids a busy loop if the store returns the unchanged value immediately.
            bool const early = timers_.now() - watch_started_ < watch_length / 2;
            early ? retry_later() : start_next_call();
            return;
        }
        auto manifest = model::parse_manifest(*head.value);
        if (!manifest)
        {
            ++counters_.invalid_manifests;
            retry_later();
            return;
        }
        manifest_ = std::move(manifest).value();
        loading_revision_ = head.revision;
        load_next_segment();
    }

    void load_next_segment()
    {
        for (auto const& it : manifest_.segments)
        {
            if (documents_.count(it.hash) == 0)
            {
                auto const hash = it.hash;
                store_.get(configuration_segment_key(hash),
                           [self = shared_from_this(), hash](base::result<stored_value> const& got)
                           { self->on_segment(hash, got); });
                return;
            }
        }
        finish_load();
    }

    void on_segment(std::string const& hash, base::result<stored_value> const& got)
    {
        if (!got || !got.value().value)
        {
            ++counters_.failed_calls;
            retry_later();
            return;
        }
        documents_[hash] = *got.value().value;
        load_next_segment();
    }

    void finish_load()
    {
        auto assembled = model::assemble(manifest_, documents_);
        drop_unused_segments();
        if (!assembled)
        {
            ++counters_.invalid_manifests;
            documents_.clear();
            retry_later();
            return;
        }
        ++counters_.loads;
        revision_ = loading_revision_;
        read_requested_ = false;
        auto value = std::make_shared<model::configuration>(std::move(assembled).value());
        value->version = manifest_.version;
        auto document = model::to_json(*value);
        accepted_({std::move(value), std::move(document)});
        start_next_call();
    }

    void drop_unused_segments()
    {
        model::segment_documents used;
        for (auto const& it : manifest_.segments)
        {
            used[it.hash] = documents_[it.hash];
        }
        documents_ = std::move(used);
    }

    store& store_;
    base::timer_service& timers_;
    handler accepted_;
    bool watching_ = false;
    bool read_requested_ = false;
    bool busy_ = false;
    key_revision revision_;
    key_revision loading_revision_;
    model::manifest manifest_;
    model::segment_documents documents_;
    base::time_point watch_started_;
    std::unique_ptr<base::timer_subscription> retry_timer_;
    configuration_reader_counters counters_;
};

configuration_reader::configuration_reader(store& values, base::timer_service& timers,
                                           handler accepted)
    : impl_(std::make_shared<impl>(values, timers, std::move(accepted)))
{
}

configuration_reader::~configuration_reader()
{
    impl_->close();
}

void configuration_reader::read_once()
{
    impl_->read_once();
}

void configuration_reader::start_watching()
{
    impl_->start_watching();
}

void configuration_reader::stop_watching()
{
    impl_->stop_watching();
}

configuration_reader_counters const& configuration_reader::counters() const
{
    return impl_->counters();
}

} // namespace fuchsiaproxy::metadata
