#ifndef FUCHSIAPROXY_OPERATORS_CONFIGURATION_SERVICE_HPP
#define FUCHSIAPROXY_OPERATORS_CONFIGURATION_SERVICE_HPP

#include <functional>
#include <memory>
#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/metadata/configuration_keys.hpp"
#include "fuchsiaproxy/metadata/store.hpp"
#include "fuchsiaproxy/model/apply_change.hpp"

namespace fuchsiaproxy::operators
{

/// The accepted configuration, with its manifest and the revision of the key that holds the
/// manifest. Version 0 and revision 0 while there is none.
struct current_configuration
{
    model::manifest head;
    metadata::key_revision revision;
    std::shared_ptr<model::configuration const> value;
};

/// Receipt of an accepted command. `replayed` is true if an earlier attempt was already accepted.
struct change_receipt
{
    model::command_record record;
    bool replayed = false;
};

/// Reads the configuration from the platform store and changes it by compare-and-swap.
///
/// A command is applied at most once, even if answers of the store are lost: it is recorded in the
/// head, and a repeated command with the same id returns the receipt of the first. Errors:
/// - `conflict`: another command was accepted first; the message names its version, operator and
///   time;
/// - `store_unavailable`: nothing was changed;
/// - `store_answer_unknown`: the command may have been accepted; repeat it with the same id;
/// - those of `model::apply_change`: nothing was changed.
///
/// Thread safety: all calls on the store's thread, where the handlers are called exactly once. The
/// service and the store must outlive pending calls.
class configuration_service
{
public:
    using read_handler = std::function<void(base::result<current_configuration>)>;
    using change_handler = std::function<void(base::result<change_receipt>)>;

    explicit configuration_service(metadata::store& store) : store_(store) {}

    /// Reads the accepted configuration.
    void read(read_handler done);

    /// Applies `command` to the accepted configuration. `loads` is passed to `model::validate`.
    void apply(model::change_command command, model::place_loads loads, change_handler done);

    /// Writes `first` as the first version if the store has none. Changes in `command` are ignored.
    void bootstrap(model::configuration first, model::change_command command, change_handler done);

private:
    friend class read_operation;
    friend class write_operation;

    metadata::store& store_;
    /// Cached segments of the head that was read last. A segment never changes under its key, so
    /// the cache needs no invalidation.
    model::segment_documents documents_;
};

} // namespace fuchsiaproxy::operators

#endif
