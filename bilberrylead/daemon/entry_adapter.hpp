#ifndef BILBERRYLEAD_DAEMON_ENTRY_ADAPTER_HPP
#define BILBERRYLEAD_DAEMON_ENTRY_ADAPTER_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/daemon/accepted_revision.hpp"
#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/link/http_endpoint.hpp"

#include <absl/status/statusor.h>

#include <concepts>

namespace bilberrylead::daemon
{

/// How the world outside speaks to an entry host: the headers of callers
/// and upstreams, and the form of accepted configurations. An adapter
/// translates and decides nothing.
template <class Adapter>
concept entry_adapter =
    requires(bytes const& document, link::http_request const& request) {
        { Adapter::names() } -> std::same_as<http::header_names>;
        {
            Adapter::read_revision(document)
        } -> std::same_as<absl::StatusOr<accepted_revision>>;
        { Adapter::asks_whether_ready(request) } -> std::same_as<bool>;
    };

/// An adapter's functions, for a program that was compiled before it.
struct entry_bindings
{
    /// The headers.
    http::header_names (*names)();
    /// Reads what control hosts distribute.
    absl::StatusOr<accepted_revision> (*read_revision)(bytes const& document);
    /// True if a call to the readiness port is what it should be.
    bool (*asks_whether_ready)(link::http_request const& request);
};

/// The functions of an adapter.
template <entry_adapter Adapter>
entry_bindings bindings_of()
{
    return {&Adapter::names, &Adapter::read_revision,
            &Adapter::asks_whether_ready};
}

} // namespace bilberrylead::daemon

#endif
