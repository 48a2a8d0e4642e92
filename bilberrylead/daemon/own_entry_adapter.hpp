#ifndef BILBERRYLEAD_DAEMON_OWN_ENTRY_ADAPTER_HPP
#define BILBERRYLEAD_DAEMON_OWN_ENTRY_ADAPTER_HPP

#include "bilberrylead/daemon/entry_adapter.hpp"

namespace bilberrylead::daemon
{

/// The product's own interface.
struct own_entry_adapter
{
    /// See entry_bindings.
    static http::header_names names();
    /// JSON with comments, as operators wrote it.
    static absl::StatusOr<accepted_revision>
    read_revision(bytes const& document);
    /// GET /ready
    static bool asks_whether_ready(link::http_request const& request);
};

} // namespace bilberrylead::daemon

#endif
