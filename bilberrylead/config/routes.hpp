#ifndef BILBERRYLEAD_CONFIG_ROUTES_HPP
#define BILBERRYLEAD_CONFIG_ROUTES_HPP

#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/config/route.hpp"
#include "bilberrylead/core/ids.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrylead::config
{

struct configuration;
struct selector;
struct upstream;

/// Which upstreams a caller may reach, worked out once for a configuration
/// that passed `check`. Callers fall into classes by the selectors that
/// match them, so there are few routes however many callers there are.
/// Immutable: share it between threads.
class routes
{
public:
    /// Compiles a configuration, which stays alive as long as the routes.
    static std::shared_ptr<routes const>
    compile(std::shared_ptr<configuration const> source);

    /// The route of a service for a caller with these labels; null if no
    /// service has this name or no selector matches the caller.
    route const* find(service_id const& service, labels const& caller) const;

    /// Says in whole sentences why a caller with these labels reaches what
    /// it reaches: each selector of the service, what it asks for and what
    /// the caller lacks; then the upstreams by zone.
    std::string explain(service_id const& service, labels const& caller) const;

private:
    explicit routes(std::shared_ptr<configuration const> source);

    /// One bit for each selector of a service.
    using selector_set = std::vector<bool>;

    struct service_routes
    {
        std::vector<selector const*> selectors;
        std::vector<upstream const*> upstreams;
        std::unordered_map<selector_set, route> by_selectors;
    };

    void compile_classes(service_routes& of) const;
    route make_route(service_routes const& of, selector_set const& set) const;
    static selector_set matching(service_routes const& of,
                                 labels const& caller);

    std::shared_ptr<configuration const> content;
    std::unordered_map<zone_id, region_id> regions;
    std::unordered_map<service_id, service_routes> services;
};

} // namespace bilberrylead::config

#endif
