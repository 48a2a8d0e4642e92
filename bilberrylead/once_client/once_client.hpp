#ifndef BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_HPP
#define BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once_client/once_client_effect.hpp"
#include "bilberrylead/once_client/once_client_event.hpp"
#include "bilberrylead/once_client/once_client_settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrylead::once_client
{

/// Acquires claims for an entry host's requests and reports their outcomes,
/// as a reducer without clock or I/O. Sends commands to the leader, resends
/// those that got no reply, and abandons a claim after
/// once_client_settings::claim_timeout, so that the caller is answered in
/// time.
///
/// An abandoned claim may still be granted if its message arrives late. The
/// client therefore sends a release after it, so that the work can be
/// claimed again and the record does not stay open without a holder.
class once_client
{
public:
    /// Starts without links and not registered.
    explicit once_client(once_client_settings const& settings);

    /// Processes one event and returns the resulting effects. `now` must not
    /// be earlier than in the previous call.
    std::vector<once_client_effect> reduce(once_client_event const& event,
                                           instant now);

    /// True if a link to the leader is open and a leader has registered this
    /// incarnation.
    bool reachable() const;

    /// The id of the request in claims: host, incarnation and request number.
    /// Uses the incarnation that the process started with even after it has
    /// registered with a larger one, so that a claim in flight keeps its id.
    request_id id_of(local_request_id request) const;

private:
    /// A claim or report that has no reply yet.
    struct open_command
    {
        local_request_id request = 0;
        once::once_command command;
        instant requested_at;
        instant sent_at;
        bool is_sent = false;
    };

    using command_map = std::map<std::uint64_t, open_command>;

    void on(control_link_opened const& event);
    void on(control_link_closed const& event);
    void on(leader_notice_received const& event);
    void on(registration_reply_received const& event);
    void on(claim_reply_received const& event);
    void on(settle_reply_received const& event);
    void on(claim_requested const& event);
    void on(completion_reported const& event);
    void on(release_requested const& event);
    void on(unknown_outcome_reported const& event);
    void on(client_tick const& event);

    void add_report(local_request_id request, once::once_command command);
    void add_command(local_request_id request, once::once_command command);
    std::optional<link::link_number> leader_link() const;
    void register_self();
    void send_unsent_commands();
    void send(std::uint64_t number, open_command& command);
    void resend_overdue_commands();
    void abandon_expired_claims();
    void report_reachability_change();

    once_client_settings settings;
    std::uint64_t incarnation;
    instant time;
    std::map<link::link_number, host_id> links;
    host_id leader;
    bool is_registered = false;
    instant registration_sent_at;
    bool reported_reachable = false;
    std::uint64_t last_number = 0;
    command_map commands;
    std::size_t open_claims = 0;
    std::vector<once_client_effect> effects;
};

} // namespace bilberrylead::once_client

#endif
