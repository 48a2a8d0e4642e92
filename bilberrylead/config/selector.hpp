#ifndef BILBERRYLEAD_CONFIG_SELECTOR_HPP
#define BILBERRYLEAD_CONFIG_SELECTOR_HPP

#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/ids.hpp"

#include <string>

namespace bilberrylead::config
{

/// Says that callers whose labels match may reach upstreams whose labels
/// match, for one service. A service without a selector reaches all of its
/// upstreams; with selectors, the union of those that match the caller.
struct selector
{
    /// Name, unique in the configuration, for errors and `explain`.
    std::string name;
    /// The service it speaks of.
    service_id service;
    /// Labels the caller must carry, all of them; empty matches every one.
    labels callers;
    /// Labels the upstream must carry, all of them; empty matches every one.
    labels upstreams;

    friend bool operator==(selector const&, selector const&) = default;
};

} // namespace bilberrylead::config

#endif
