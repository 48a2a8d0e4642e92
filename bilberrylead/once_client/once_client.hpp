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

/// Gets claims for an entry host's requests and reports how they ended, as
/// a reducer without clock or I/O. It finds the leader, sends again what
/// was lost, and gives up a claim in time for the caller's answer.
///
/// A claim that is given up may still be granted later, when its message
/// arrives late: a release follows it, so that the work can be claimed
/// again and the record never waits for somebody who has gone.
class once_client
{
public:
    /// Makes a client without links.
    explicit once_client(once_client_settings const& settings);

    /// Takes one event. `now` never goes back.
    std::vector<once_client_effect> reduce(once_client_event const& event,
                                           instant now);

    /// True if a leader is linked and knows this incarnation.
    bool reachable() const;

    /// The request's id in claims: this host's, this process's. It keeps the
    /// number that the process started with when a larger incarnation is
    /// taken, so that a claim under way keeps its id.
    request_id id_of(local_request_id request) const;

private:
    /// A claim or report without an answer yet.
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
