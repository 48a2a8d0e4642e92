#ifndef BILBERRYLEAD_DAEMON_OWN_CONTROL_ADAPTER_HPP
#define BILBERRYLEAD_DAEMON_OWN_CONTROL_ADAPTER_HPP

#include "bilberrylead/daemon/control_adapter.hpp"

namespace bilberrylead::daemon
{

/// The product's own interface: what bilberryctl speaks.
struct own_control_adapter
{
    /// See control_bindings.
    static absl::StatusOr<control::operator_request>
    read_operator_request(link::http_request const& request,
                          std::string const& operator_name);
    /// See control_bindings. The leader is named in the text only: a client
    /// that followed a redirection would send its key along.
    static link::http_answer
    write_operator_reply(link::http_request const& request,
                         control::operator_reply const& reply,
                         std::optional<config::endpoint> const& leader);
    /// GET /steering?region=REGION&zone=ZONE&name=HOST
    static absl::StatusOr<presence::steering_query>
    read_steering_question(link::http_request const& request);
    /// {"entry_hosts": ["192.0.2.1:80"], "ttl_s": 2}
    static link::http_answer
    write_steering_reply(presence::steering_reply const& steering);
    /// See control_bindings.
    static absl::StatusOr<accepted_revision>
    read_revision(bytes const& document);
    /// /upstreams?zone=ZONE&page=PAGE
    static std::string list_target(discovery::page_call const& call);
    /// {"upstreams": [{"name", "service", "zone", "address", "slots",
    /// "leaving", "cold_ms", "started_ms"}], "next": "PAGE"}
    static absl::StatusOr<discovery::list_page>
    read_list_page(std::string const& body);
};

} // namespace bilberrylead::daemon

#endif
