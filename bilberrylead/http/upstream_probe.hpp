#ifndef BILBERRYLEAD_HTTP_UPSTREAM_PROBE_HPP
#define BILBERRYLEAD_HTTP_UPSTREAM_PROBE_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/http/net.hpp"

#include <functional>

namespace bilberrylead::http
{

/// Takes what came of a probe.
using probe_function = std::function<void(entry::probe_outcome)>;

/// What the result of opening a connection says of the upstream. A connection
/// that was reset counts as accepted.
entry::probe_outcome outcome_of(error_code const& error);

/// Opens a connection to an upstream and closes it. `done` is called once,
/// after `timeout` at the latest.
void probe_upstream(executor const& where, config::endpoint const& upstream,
                    duration timeout, probe_function done);

} // namespace bilberrylead::http

#endif
