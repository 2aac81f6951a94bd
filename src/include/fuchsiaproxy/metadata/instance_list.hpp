#ifndef FUCHSIAPROXY_METADATA_INSTANCE_LIST_HPP
#define FUCHSIAPROXY_METADATA_INSTANCE_LIST_HPP

#include <functional>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::metadata
{

/// State of an instance as last reported by the platform, possibly out of date.
enum class instance_state
{
    live,
    leaving
};

/// An entry or an upstream known to the platform. Terminated instances are not listed.
struct listed_instance
{
    std::string id;
    /// "entry" or "upstream".
    std::string role;
    /// Address and port, "ip:port". For an entry this is the peer port.
    std::string address;
    instance_state state = instance_state::live;
};

/// The platform's list of live and leaving instances.
///
/// Thread safety: all calls on one thread; the completion is called exactly once on that thread.
class instance_list
{
public:
    using handler = std::function<void(base::result<std::vector<listed_instance>>)>;

    virtual ~instance_list() = default;

    /// Reads the whole list.
    virtual void read(handler done) = 0;
};

} // namespace fuchsiaproxy::metadata

#endif
