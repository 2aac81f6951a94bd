#include "fuchsiaproxy/metadata/configuration_reader.hpp"

#include <chrono>
#include <utility>
#include <vector>

#include "fuchsiaproxy/model/json.hpp"

namespace fuchsiaproxy::metadata
{
namespace
{

// A change must be in force within 4 s; a watch that went silent is replaced after 1.5 s.
constexpr base::duration watch_length = std::chrono::seconds(1);

// Pause after a failed or stale answer. Bounds the calls during an outage to four a second.
constexpr base::duration retry_pause = std::chrono::milliseconds(250);

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
        wanted_once_ = true;
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
        wanted_once_ = false;
        pause_.reset();
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
            next();
        }
    }

    void next()
    {
        busy_ = watching_ || wanted_once_;
        if (!busy_)
        {
            return;
        }
        auto const done = [self = shared_from_this()](base::result<stored_value> const& answer)
        { self->on_head(answer); };
        if (wanted_once_)
        {
            store_.get(configuration_head_key, done);
            return;
        }
        ++counters_.watches;
        watch_started_ = timers_.now();
        store_.watch(configuration_head_key, revision_, watch_length, done);
    }

    void pause()
    {
        busy_ = true;
        pause_ = timers_.at(timers_.now() + retry_pause,
                            [self = shared_from_this()](base::time_point) { self->next(); });
    }

    void on_head(base::result<stored_value> const& answer)
    {
        if (!answer)
        {
            ++counters_.failed_calls;
            pause();
            return;
        }
        auto const& head = answer.value();
        if (!head.value || head.revision < revision_)
        {
            counters_.stale_answers += head.revision < revision_ ? 1 : 0;
            pause();
            return;
        }
        if (head.revision == revision_)
        {
            wanted_once_ = false;
            // A store that answers unchanged at once must not be asked in a tight loop.
            bool const early = timers_.now() - watch_started_ < watch_length / 2;
            early ? pause() : next();
            return;
        }
        auto manifest = model::parse_manifest(*head.value);
        if (!manifest)
        {
            ++counters_.invalid_manifests;
            pause();
            return;
        }
        manifest_ = std::move(manifest).value();
        loading_ = head.revision;
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
        finish();
    }

    void on_segment(std::string const& hash, base::result<stored_value> const& got)
    {
        if (!got || !got.value().value)
        {
            ++counters_.failed_calls;
            pause();
            return;
        }
        documents_[hash] = *got.value().value;
        load_next_segment();
    }

    void finish()
    {
        auto assembled = model::assemble(manifest_, documents_);
        drop_unused_segments();
        if (!assembled)
        {
            ++counters_.invalid_manifests;
            documents_.clear();
            pause();
            return;
        }
        ++counters_.loads;
        revision_ = loading_;
        wanted_once_ = false;
        auto value = std::make_shared<model::configuration>(std::move(assembled).value());
        value->version = manifest_.version;
        auto document = model::to_json(*value);
        accepted_({std::move(value), std::move(document)});
        next();
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
    bool wanted_once_ = false;
    bool busy_ = false;
    key_revision revision_;
    key_revision loading_;
    model::manifest manifest_;
    model::segment_documents documents_;
    base::time_point watch_started_;
    std::unique_ptr<base::timer_subscription> pause_;
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
