#ifndef FUCHSIAPROXY_OPERATORS_API_ROUTER_HPP
#define FUCHSIAPROXY_OPERATORS_API_ROUTER_HPP

#include <functional>
#include <map>
#include <string>

#include "fuchsiaproxy/operators/authentication.hpp"
#include "fuchsiaproxy/operators/burn.hpp"
#include "fuchsiaproxy/operators/configuration_service.hpp"
#include "fuchsiaproxy/operators/daemon_view.hpp"

namespace fuchsiaproxy::operators
{

/// A request to the operators' API, without its transport.
struct api_request
{
    std::string method;
    /// Path with query.
    std::string target;
    /// Value of the `Authorization` header.
    std::string authorization;
    std::string body;
};

/// An answer of the operators' API.
struct api_answer
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// References and callbacks for the router. They must outlive the router and its pending requests.
struct api_dependencies
{
    configuration_service& configurations;
    daemon_view& daemon;
    /// Returns the body of `/metrics`.
    std::function<std::string()> metrics;
    std::function<model::wall_time()> now;
    /// Runs a function on the API's thread; called from any thread.
    std::function<void(std::function<void()>)> post;
};

/// Routes of the operators' API:
/// - `GET /healthz`, `/readyz`, `/metrics`, without a key;
/// - `POST /v1/bootstrap`, with the key of an operator in the posted configuration;
/// - `GET /v1/configuration[?source=entry]`, `/v1/history`, `/v1/entries`, `/v1/explain`,
///   `/v1/burn` and `POST /v1/changes`, with the key of an operator, as HTTP basic authentication.
///
/// Thread safety: all calls on the API's thread, where the handlers are called exactly once.
class api_router
{
public:
    using handler = std::function<void(api_answer)>;

    explicit api_router(api_dependencies dependencies);

    /// Answers `request`. Errors are answered with the status of `base::answer_for` and the body
    /// `{"error": <kind>, "message": <text>}`.
    void handle(api_request const& request, handler done);

    /// Adds a sample of the entries' counters to the burn history. To be called every few seconds.
    void sample_burn();

private:
    using query_fields = std::map<std::string, std::string>;

    void route_without_key(std::string const& path, handler const& done);
    void route_read(std::string const& path, query_fields const& query, identity const& who,
                    handler done);
    void change(std::string const& body, identity const& who, handler done);
    void bootstrap(api_request const& request, handler done);
    void read_configuration(query_fields const& query, identity const& who, handler done);
    void read_history(handler done);
    void read_entries(handler done);
    void read_explanation(query_fields const& query, handler done);
    void read_burn(handler done);
    void record(std::vector<messages::counters> const& counts);

    api_dependencies dependencies_;
    authenticator authenticator_;
    burn_history burn_;
};

} // namespace fuchsiaproxy::operators

#endif
