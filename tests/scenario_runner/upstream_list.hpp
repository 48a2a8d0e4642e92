#ifndef BILBERRYLEAD_SCENARIO_RUNNER_UPSTREAM_LIST_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_UPSTREAM_LIST_HPP

#include "bilberrylead/config/upstream.hpp"

#include <cstdint>
#include <memory>

namespace bilberrylead::scenario
{

/// The list of upstreams that control hosts read, in the product's own
/// format, served on loopback by a thread of its own.
class upstream_list
{
public:
    /// Serves an empty list on a free port.
    upstream_list();
    ~upstream_list();
    upstream_list(upstream_list const&) = delete;
    upstream_list& operator=(upstream_list const&) = delete;

    /// The port to ask.
    std::uint16_t port() const;

    /// Adds an upstream.
    void add(config::upstream const& upstream);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::scenario

#endif
